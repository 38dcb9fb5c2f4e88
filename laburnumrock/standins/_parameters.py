"""Parameters and message types of the emulated model engine."""

from dataclasses import dataclass
from enum import StrEnum


class RefusalReason(StrEnum):
    """Reason for which an engine refuses a request before it starts any work."""

    OVERLOADED = "overloaded"
    COLD = "cold"
    NO_MEMORY = "no_memory"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Speed and size of one emulated engine, in engine time.

    Parameters
    ----------
    kv_capacity_tokens : int
        KV memory in tokens. With the default, a prompt of 1,000,000 tokens needs more than twice
        the memory of one engine.
    max_batch : int
        Largest number of requests in one step.
    max_waiting : int
        Requests that wait for memory or a place in the batch; more are refused as overloaded.
    decode_step_s : float
        Time of a step without prefill and with one sequence, in seconds.
    sequence_step_s : float
        Additional time per further sequence in the step, in seconds.
    prefill_chunk_tokens : int
        Largest number of prompt tokens that one step computes.
    compute_tokens_per_s : float
        Rate at which a step computes prompt tokens.
    cache_capacity_tokens : int
        Upper bound of the prefix cache; the cache also yields to requests that need memory.
    cold_running : int
        Requests that a cold engine can hold before it has finished any.
    cold_growth : int
        Additional requests that it can hold per finished request.
    warm_running : int
        Number of requests at which the engine counts as ready.
    cold_load_s : float
        Time from a cold start during which every request is refused as cold, in seconds.
    """

    kv_capacity_tokens: int = 450_000
    max_batch: int = 64
    max_waiting: int = 64
    decode_step_s: float = 0.010
    sequence_step_s: float = 0.0001
    prefill_chunk_tokens: int = 1_024
    compute_tokens_per_s: float = 100_000.0
    cache_capacity_tokens: int = 100_000
    cold_running: int = 2
    cold_growth: int = 2
    warm_running: int = 32
    cold_load_s: float = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Rate of a lone prefill, with the fixed part of every step included."""
        step_s = self.decode_step_s + self.prefill_chunk_tokens / self.compute_tokens_per_s
        return self.prefill_chunk_tokens / step_s


@dataclass(slots=True)
class EngineRequest:
    """One attempt of a completion, or the prefill of one segment.

    Parameters
    ----------
    request_id : str
        Name of the request; a new attempt replaces a running one.
    attempt : int
        Number of the attempt.
    prompt_tokens : int
        Tokens of the prompt, or of the segment.
    max_tokens : int
        Tokens to generate in total, those before `resume_from` included; 0 for a segment.
    priority : int
        Higher is more urgent.
    resume_from : int
        Index of the first token to deliver.
    remote_tokens : int
        Prompt tokens whose KV memory other engines hold.
    computed_tokens : int
        Prompt tokens that an earlier prefill of a segment computed here.
    prefixes : tuple of (int, str)
        Length and hash of each prefix of the prompt that may be cached.
    """

    request_id: str
    attempt: int
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    resume_from: int = 0
    remote_tokens: int = 0
    computed_tokens: int = 0
    prefixes: tuple[tuple[int, str], ...] = ()

    @property
    def memory_tokens(self) -> int:
        """KV memory that the request needs on this engine."""
        return self.prompt_tokens + self.max_tokens - self.remote_tokens


@dataclass(frozen=True, slots=True)
class TokenEvent:
    """A generated token."""

    request_id: str
    attempt: int
    index: int
    is_last: bool


@dataclass(frozen=True, slots=True)
class PrefillFinished:
    """The prefill of a segment is complete."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RequestAborted:
    """A request ended before its last token."""

    request_id: str
    attempt: int
    reason: str


EngineEvent = TokenEvent | PrefillFinished | RequestAborted
