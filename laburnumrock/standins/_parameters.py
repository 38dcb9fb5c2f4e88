"""Parameters, requests and events of the emulated model engine."""

from dataclasses import dataclass
from enum import StrEnum


class RefusalReason(StrEnum):
    """Reason why an engine refuses a request before processing it."""

    OVERLOADED = "overloaded"
    COLD = "cold"
    NO_MEMORY = "no_memory"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Speed and capacity of one emulated engine; durations are in engine time.

    Parameters
    ----------
    kv_capacity_tokens : int
        KV memory in tokens. With the default, a prompt of 1,000,000 tokens needs more than twice
        the memory of one engine.
    max_batch : int
        Maximum number of requests in one step.
    max_waiting : int
        Maximum number of requests that wait for memory or a batch slot; further ones are refused as
        overloaded.
    decode_step_s : float
        Duration of a step with one sequence and no prefill, in seconds.
    sequence_step_s : float
        Additional duration per further sequence in the step, in seconds.
    prefill_chunk_tokens : int
        Maximum number of prompt tokens computed in one step.
    compute_tokens_per_s : float
        Prompt tokens computed per second within a step.
    cache_capacity_tokens : int
        Maximum size of the prefix cache. It also shrinks when requests need memory.
    cold_running : int
        Concurrent requests that a cold engine accepts before it has finished any.
    cold_growth : int
        Additional concurrent requests that it accepts per finished request.
    warm_running : int
        Limit of concurrent requests at which the engine becomes ready.
    cold_load_s : float
        Time after a cold start during which every request is refused as cold, in seconds.
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
        """Rate of a prefill that runs alone, including the fixed duration of each step."""
        step_s = self.decode_step_s + self.prefill_chunk_tokens / self.compute_tokens_per_s
        return self.prefill_chunk_tokens / step_s


@dataclass(slots=True)
class EngineRequest:
    """Attempt of a completion, or prefill of one segment.

    Parameters
    ----------
    request_id : str
        Id of the request; a new attempt replaces a running one.
    attempt : int
        Number of the attempt.
    prompt_tokens : int
        Length of the prompt or of the segment.
    max_tokens : int
        Number of output tokens, including those before `resume_from`; 0 for a segment.
    priority : int
        Scheduling priority; requests with a higher value are scheduled first.
    resume_from : int
        Index of the first output token to generate.
    remote_tokens : int
        Number of prompt tokens whose KV memory is on other engines.
    computed_tokens : int
        Number of prompt tokens already computed here by the prefill of a segment.
    prefixes : tuple of (int, str)
        Length and hash of each cacheable prefix of the prompt.
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
