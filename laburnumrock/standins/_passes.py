"""Fleet of engines that work in passes, in virtual time, by the published cost model.

It replays a load against a policy of placement without sockets, so that policies can be compared
on the same requests.
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
    """One generation.

    Parameters
    ----------
    number : int
        Unique number.
    arrives_s : float
        Arrival in virtual time.
    prompt_tokens, output_tokens : int
        Size.
    goal_s, gap_goal_s : float
        Goals of the first event and of the pauses.
    worth : float
        Worth of an answer in time; a late one is worth a quarter.
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
        """Worth that the answer earned."""
        if not self.finished:
            return 0.0
        in_time = self.first_s <= self.goal_s and self.longest_gap_s <= self.gap_goal_s
        return self.value if in_time else self.value / 4


@dataclass(slots=True)
class _Read:
    """Prompt, or part of one, that an engine reads."""

    request: ReplayRequest
    tokens: float
    done: float
    pairs_share: float
    is_part: bool


@dataclass(slots=True)
class _Write:
    """Answer that an engine writes."""

    request: ReplayRequest
    tokens_left: float
    last_event_s: float | None = None


@dataclass(slots=True)
class _Engine:
    reads: list[_Read] = field(default_factory=list)
    writes: list[_Write] = field(default_factory=list)
    queue: list[ReplayRequest] = field(default_factory=list)
    busy: bool = False


class FleetReplay:
    """Engines, and the events of their requests.

    Parameters
    ----------
    engines : int
        Number of engines.
    parameters : EngineParameters
        Cost model of each of them.
    on_first : callable
        Called with the request and the time when its first event is out.
    on_end : callable
        Called with the request and the time when its answer is whole.
    """

    def __init__(
        self,
        engines: int,
        parameters: EngineParameters,
        on_first: Callable[[ReplayRequest, float], None],
        on_end: Callable[[ReplayRequest, float], None],
    ) -> None:
        self.model = EngineModel(parameters)
        self.parameters = parameters
        self.engines = [_Engine() for _ in range(engines)]
        self.on_first = on_first
        self.on_end = on_end
        self.parts_left: dict[int, int] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.now_s = 0.0

    def at(self, time_s: float, work: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self.events, (time_s, next(self.order), work))

    def run(self, until_s: float) -> None:
        """Let time pass."""
        while self.events and self.events[0][0] <= until_s:
            self.now_s, _, work = heapq.heappop(self.events)
            work()

    def send(self, request: ReplayRequest, engine: int, helpers: list[int]) -> None:
        """Send a request to an engine, with others that read equal parts of its prompt."""
        share = 1 + len(helpers)
        self.parts_left[request.number] = share
        tokens = request.prompt_tokens / share
        for number in (engine, *helpers):
            is_part = number != engine
            read = _Read(request, tokens, 0.0, 1.0 / share, is_part)
            reads = self.engines[number].reads
            # Parts are read ahead of the engine's own prompts.
            index = len(reads)
            if is_part:
                index = sum(1 for other in reads if other.is_part)
            reads.insert(index, read)
            self._start_pass(number)

    def _start_pass(self, number: int) -> None:
        engine = self.engines[number]
        if engine.busy or not (engine.reads or engine.writes):
            return
        engine.busy = True
        parameters = self.parameters
        context = sum(write.request.prompt_tokens for write in engine.writes)
        duration_ms = self.model.decode_pass_ms(len(engine.writes), context)
        steps = parameters.stride if engine.writes else 1
        budget = float(steps * parameters.chunk_tokens)
        finished = []
        for read in engine.reads:
            taken = min(budget, read.tokens - read.done)
            duration_ms += self._read_ms(read, taken)
            read.done += taken
            budget -= taken
            if read.done >= read.tokens:
                finished.append(read)
            if budget <= 0:
                break
        if not engine.writes:
            duration_ms += parameters.step_ms
        ends_s = self.now_s + duration_ms / MS_PER_S
        self.at(ends_s, lambda: self._end_pass(number, finished))

    def _read_ms(self, read: _Read, taken: float) -> float:
        # A part has its share of the pairs of the whole prompt.
        scale = read.request.prompt_tokens / max(read.tokens, 1.0)
        whole = self.model.prefill_ms(read.done * scale, (read.done + taken) * scale)
        return whole * read.pairs_share

    def _end_pass(self, number: int, finished: list[_Read]) -> None:
        engine = self.engines[number]
        engine.busy = False
        for write in list(engine.writes):
            self._emit(engine, write)
        for read in finished:
            engine.reads.remove(read)
            request = read.request
            self.parts_left[request.number] -= 1
            if not read.is_part:
                engine.queue.append(request)
        self._start_answers()
        self._start_pass(number)

    def _start_answers(self) -> None:
        """Begin the answers whose prompts are read on all their engines."""
        for number, engine in enumerate(self.engines):
            ready = [one for one in engine.queue if self.parts_left[one.number] == 0]
            for request in ready:
                engine.queue.remove(request)
                engine.writes.append(_Write(request, float(request.output_tokens)))
            if ready:
                self._start_pass(number)

    def _emit(self, engine: _Engine, write: _Write) -> None:
        request = write.request
        if write.last_event_s is None:
            request.first_s = self.now_s - request.arrives_s
            self.on_first(request, self.now_s)
        else:
            gap_s = self.now_s - write.last_event_s
            request.longest_gap_s = max(request.longest_gap_s, gap_s)
        write.last_event_s = self.now_s
        write.tokens_left -= self.parameters.stride
        if write.tokens_left <= 0:
            engine.writes.remove(write)
            request.finished = True
            self.on_end(request, self.now_s)
