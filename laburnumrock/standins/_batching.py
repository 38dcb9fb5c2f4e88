"""Simulation of the continuous batching of one model engine, without I/O."""

import bisect
import random
from dataclasses import dataclass

from laburnumrock.standins._cold_start import ColdStart
from laburnumrock.standins._kv_memory import KvMemory
from laburnumrock.standins._parameters import (
    EngineEvent,
    EngineParameters,
    EngineRequest,
    PrefillFinished,
    RefusalReason,
    RequestAborted,
    TokenEvent,
)
from laburnumrock.standins._prefix_cache import PrefixCache


@dataclass(slots=True)
class _Sequence:
    """Scheduling state of a waiting or running request."""

    request: EngineRequest
    order: tuple[int, int]
    remaining_prefill: int = 0
    next_index: int = 0
    chunk: int = 0
    is_in_step: bool = False


class BatchingModel:
    """Model of an engine that processes requests in steps of one shared batch.

    Each step generates one token for every decoding sequence and computes at most one chunk of
    prompt tokens, in the order of priority and arrival. The duration of a step grows with the batch
    size and with the number of prompt tokens.

    Parameters
    ----------
    parameters : EngineParameters
        Speed and capacity.
    rng : random.Random
        Random number generator.
    is_cold : bool
        Whether the engine starts without warm-up progress.

    Notes
    -----
    All methods take the current time `now_s` of the engine clock in seconds. It must not decrease.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        rng: random.Random,
        is_cold: bool = False,
    ) -> None:
        self.parameters = parameters
        self.memory = KvMemory(parameters.kv_capacity_tokens)
        self.cache = PrefixCache(parameters.cache_capacity_tokens, rng)
        self.cold_start = ColdStart(parameters, is_cold)
        self.is_leaving = False
        self.waiting: list[_Sequence] = []
        self.running: dict[str, _Sequence] = {}
        self.step_end_s: float | None = None
        self.arrival_count = 0
        self.events: list[EngineEvent] = []
        self.generated_tokens = 0

    @property
    def active_requests(self) -> int:
        """Number of running and waiting requests."""
        return len(self.running) + len(self.waiting)

    def submit(self, request: EngineRequest, now_s: float) -> RefusalReason | None:
        """Queue a request, or return why it is refused.

        Parameters
        ----------
        request : EngineRequest
            The request. It replaces an earlier attempt that is still waiting or running.
        now_s : float
            Current time in seconds.

        Returns
        -------
        RefusalReason or None
            ``None`` when the request was accepted.
        """
        self._run_due_steps(now_s)
        self._abort(request.request_id, "replaced", now_s)
        refusal = self._find_refusal(request, now_s)
        if refusal is not None:
            return refusal
        self.arrival_count += 1
        sequence = _Sequence(request, (-request.priority, self.arrival_count))
        sequence.next_index = request.resume_from
        bisect.insort(self.waiting, sequence, key=lambda waiting: waiting.order)
        self._start_step(now_s)
        return None

    def cancel(self, request_id: str, now_s: float, reason: str = "cancelled") -> bool:
        """Abort a request and free its memory; return whether the engine knew it."""
        self._run_due_steps(now_s)
        was_known = self._abort(request_id, reason, now_s)
        was_held = self.memory.release(request_id)
        self._start_step(now_s)
        return was_known or was_held

    def reserve(self, request_id: str, tokens: int, ttl_s: float, now_s: float) -> bool:
        """Reserve KV memory; return whether enough was free."""
        self._run_due_steps(now_s)
        is_reserved = self.memory.reserve(request_id, tokens, ttl_s, now_s)
        self.cache.shrink(self.memory.free_tokens, now_s)
        return is_reserved

    def advance(self, now_s: float) -> list[EngineEvent]:
        """Run all steps that end by `now_s` and return the events since the last call."""
        self._run_due_steps(now_s)
        events, self.events = self.events, []
        return events

    def next_event_s(self) -> float | None:
        """Return the end time of the current step, or ``None`` if the engine is idle."""
        return self.step_end_s

    def _run_due_steps(self, now_s: float) -> None:
        while self.step_end_s is not None and self.step_end_s <= now_s:
            ended_s = self.step_end_s
            self.memory.expire(ended_s)
            self._finish_step(ended_s)
            self._start_step(ended_s)
        if self.memory.expire(now_s):
            self._start_step(now_s)

    def _find_refusal(self, request: EngineRequest, now_s: float) -> RefusalReason | None:
        if self.is_leaving and request.request_id not in self.memory.allocations:
            return RefusalReason.LEAVING
        if request.memory_tokens > self.parameters.kv_capacity_tokens:
            return RefusalReason.NO_MEMORY
        refusal = self.cold_start.admit(self.active_requests, now_s)
        if refusal is None and len(self.waiting) >= self.parameters.max_waiting:
            return RefusalReason.OVERLOADED
        return refusal

    def _abort(self, request_id: str, reason: str, now_s: float) -> bool:
        sequence = self.running.pop(request_id, None)
        if sequence is None:
            matches = [held for held in self.waiting if held.request.request_id == request_id]
            if not matches:
                return False
            sequence = matches[0]
            self.waiting.remove(sequence)
        if request_id in self.memory.allocations:
            # Unreserved memory is freed immediately; a reservation stays until its TTL expires.
            self.memory.start_expiry(request_id, now_s)
        self.events.append(RequestAborted(request_id, sequence.request.attempt, reason))
        return True

    def _start_step(self, now_s: float) -> None:
        if self.step_end_s is not None:
            return
        self._admit_waiting(now_s)
        if not self.running:
            return
        chunk = self._assign_chunks()
        parameters = self.parameters
        duration_s = parameters.decode_step_s
        duration_s += parameters.sequence_step_s * (len(self.running) - 1)
        duration_s += chunk / parameters.compute_tokens_per_s
        self.step_end_s = now_s + duration_s

    def _admit_waiting(self, now_s: float) -> None:
        while self.waiting and len(self.running) < self.parameters.max_batch:
            request = self.waiting[0].request
            if not self.memory.allocate(request.request_id, request.memory_tokens):
                return
            self.cache.shrink(self.memory.free_tokens, now_s)
            sequence = self.waiting.pop(0)
            cached = self.cache.find(request.prefixes)
            done = max(cached, request.remote_tokens + request.computed_tokens)
            # A resumed sequence recomputes its earlier output as part of the prompt.
            sequence.remaining_prefill = max(1, request.prompt_tokens + request.resume_from - done)
            self.running[request.request_id] = sequence

    def _assign_chunks(self) -> int:
        budget = self.parameters.prefill_chunk_tokens
        for sequence in sorted(self.running.values(), key=lambda running: running.order):
            sequence.is_in_step = True
            sequence.chunk = min(budget, sequence.remaining_prefill)
            budget -= sequence.chunk
        return self.parameters.prefill_chunk_tokens - budget

    def _finish_step(self, ended_s: float) -> None:
        self.step_end_s = None
        for sequence in list(self.running.values()):
            if not sequence.is_in_step:
                continue
            sequence.is_in_step = False
            if sequence.remaining_prefill == 0:
                self._emit_token(sequence)
                continue
            sequence.remaining_prefill -= sequence.chunk
            if sequence.remaining_prefill == 0:
                self._finish_prefill(sequence, ended_s)

    def _finish_prefill(self, sequence: _Sequence, ended_s: float) -> None:
        request = sequence.request
        self.cache.store(request.prefixes, self.memory.free_tokens, ended_s)
        if request.max_tokens > 0:
            # The step that computes the last prompt chunk also generates the first token.
            self._emit_token(sequence)
            return
        del self.running[request.request_id]
        self.memory.start_expiry(request.request_id, ended_s)
        self.events.append(PrefillFinished(request.request_id, request.attempt))

    def _emit_token(self, sequence: _Sequence) -> None:
        request = sequence.request
        index = sequence.next_index
        sequence.next_index += 1
        is_last = sequence.next_index >= request.max_tokens
        self.generated_tokens += 1
        self.events.append(TokenEvent(request.request_id, request.attempt, index, is_last))
        if is_last:
            del self.running[request.request_id]
            self.memory.release(request.request_id)
            self.cold_start.observe_finished()
