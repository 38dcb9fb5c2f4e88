"""Discrete-event simulation of engines that run forward passes, using the published cost model.

It replays a workload against a placement policy in virtual time and without sockets, so that
policies can be compared on the same requests.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from laburnumrock.dispatch import EngineModel
from laburnumrock.routing import EngineParameters

MS_PER_S = 1000.0


@dataclass(slots=True)
class ReplayRequest:
    """Simulated completion request.

    Parameters
    ----------
    number : int
        Unique id.
    arrives_s : float
        Arrival time in virtual seconds.
    prompt_tokens, output_tokens : int
        Prompt and output length.
    goal_s, gap_goal_s : float
        Latency goals of the first event and of the gaps between events, in seconds.
    value : float
        Value of a response that meets both goals; a late response has a quarter of it.
    """

    number: int
    arrives_s: float
    prompt_tokens: int
    output_tokens: int
    goal_s: float
    gap_goal_s: float
    value: float
    first_s: float | None = None
    longest_gap_s: float = 0.0
    finished: bool = False
    refused: bool = False

    @property
    def earned_value(self) -> float:
        """Value of the response, or 0 if it is not finished."""
        if not self.finished:
            return 0.0
        in_time = self.first_s <= self.goal_s and self.longest_gap_s <= self.gap_goal_s
        return self.value if in_time else self.value / 4


@dataclass(slots=True)
class _PrefillTask:
    """Prefill of a prompt, or of one of its equal parts, on one engine."""

    request: ReplayRequest
    tokens: float
    done: float
    attention_share: float
    is_helper_part: bool


@dataclass(slots=True)
class _DecodeTask:
    """Generation of the output of a request."""

    request: ReplayRequest
    tokens_left: float
    last_event_s: float | None = None


@dataclass(slots=True)
class _Engine:
    """Tasks of one engine, and its requests whose prompt part on this engine is computed."""

    prefills: list[_PrefillTask] = field(default_factory=list)
    decodes: list[_DecodeTask] = field(default_factory=list)
    prefilled: list[ReplayRequest] = field(default_factory=list)
    busy: bool = False


class FleetReplay:
    """Simulates a fleet of engines with an event queue.

    Parameters
    ----------
    engines : int
        Number of engines.
    parameters : EngineParameters
        Cost model parameters of each engine.
    on_first_event : callable
        Called with the request and the current time when its first event is sent.
    on_end : callable
        Called with the request and the current time when its response is complete.
    """

    def __init__(
        self,
        engines: int,
        parameters: EngineParameters,
        on_first_event: Callable[[ReplayRequest, float], None],
        on_end: Callable[[ReplayRequest, float], None],
    ) -> None:
        self.model = EngineModel(parameters)
        self.parameters = parameters
        self.engines = [_Engine() for _ in range(engines)]
        self.on_first_event = on_first_event
        self.on_end = on_end
        self.unfinished_parts: dict[int, int] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_counter = itertools.count()
        self.now_s = 0.0

    def at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a virtual time."""
        heapq.heappush(self.events, (time_s, next(self.event_counter), callback))

    def run(self, until_s: float) -> None:
        """Process the events up to a virtual time."""
        while self.events and self.events[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self.events)
            callback()

    def send(self, request: ReplayRequest, engine: int, helpers: list[int]) -> None:
        """Send a request to an engine; `helpers` prefill equal parts of its prompt."""
        part_count = 1 + len(helpers)
        self.unfinished_parts[request.number] = part_count
        tokens = request.prompt_tokens / part_count
        for number in (engine, *helpers):
            is_helper_part = number != engine
            prefill = _PrefillTask(request, tokens, 0.0, 1.0 / part_count, is_helper_part)
            prefills = self.engines[number].prefills
            # Parts for other engines are computed before the engine's own prompts.
            index = len(prefills)
            if is_helper_part:
                index = sum(1 for other in prefills if other.is_helper_part)
            prefills.insert(index, prefill)
            self._start_pass(number)

    def _start_pass(self, number: int) -> None:
        engine = self.engines[number]
        if engine.busy or not (engine.prefills or engine.decodes):
            return
        engine.busy = True
        parameters = self.parameters
        context = sum(decode.request.prompt_tokens for decode in engine.decodes)
        duration_ms = self.model.decode_pass_ms(len(engine.decodes), context)
        steps = parameters.stride if engine.decodes else 1
        budget = float(steps * parameters.chunk_tokens)
        finished = []
        for prefill in engine.prefills:
            new_tokens = min(budget, prefill.tokens - prefill.done)
            duration_ms += self._compute_prefill_ms(prefill, new_tokens)
            prefill.done += new_tokens
            budget -= new_tokens
            if prefill.done >= prefill.tokens:
                finished.append(prefill)
            if budget <= 0:
                break
        if not engine.decodes:
            duration_ms += parameters.step_ms
        ends_s = self.now_s + duration_ms / MS_PER_S
        self.at(ends_s, lambda: self._end_pass(number, finished))

    def _compute_prefill_ms(self, prefill: _PrefillTask, new_tokens: float) -> float:
        # Each part is charged its share of the attention pairs of the whole prompt.
        scale = prefill.request.prompt_tokens / max(prefill.tokens, 1.0)
        whole_prompt_ms = self.model.prefill_ms(
            prefill.done * scale, (prefill.done + new_tokens) * scale
        )
        return whole_prompt_ms * prefill.attention_share

    def _end_pass(self, number: int, finished: list[_PrefillTask]) -> None:
        engine = self.engines[number]
        engine.busy = False
        for decode in list(engine.decodes):
            self._emit(engine, decode)
        for prefill in finished:
            engine.prefills.remove(prefill)
            request = prefill.request
            self.unfinished_parts[request.number] -= 1
            if not prefill.is_helper_part:
                engine.prefilled.append(request)
        self._start_decoding()
        self._start_pass(number)

    def _start_decoding(self) -> None:
        """Start decoding the requests whose prompt parts are all computed."""
        for number, engine in enumerate(self.engines):
            ready = [one for one in engine.prefilled if self.unfinished_parts[one.number] == 0]
            for request in ready:
                engine.prefilled.remove(request)
                engine.decodes.append(_DecodeTask(request, float(request.output_tokens)))
            if ready:
                self._start_pass(number)

    def _emit(self, engine: _Engine, decode: _DecodeTask) -> None:
        request = decode.request
        if decode.last_event_s is None:
            request.first_s = self.now_s - request.arrives_s
            self.on_first_event(request, self.now_s)
        else:
            gap_s = self.now_s - decode.last_event_s
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
        decode.last_event_s = self.now_s
        decode.tokens_left -= self.parameters.stride
        if decode.tokens_left <= 0:
            engine.decodes.remove(decode)
            request.finished = True
            self.on_end(request, self.now_s)
