"""Predicted load of an upstream, tracked by the dispatcher from the sends that it placed."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from laburnumrock.dispatch._engine_model import MS_PER_S, EngineModel

SLOWDOWN_WEIGHT = 0.3
"""Weight of the newest observation in the moving average of an upstream's slowdown."""
SLOWDOWN_MIN, SLOWDOWN_MAX = 0.8, 12.0
"""Bounds of the slowdown; sends to a slower engine fail by their time limits."""
FAILURE_WEIGHT = 0.25
"""Weight of the newest outcome in the moving average of an upstream's failure rate."""
FAILURE_HALF_LIFE_S = 4.0
"""Half-life of the failure rate, so that an upstream that failed is tried again."""
MIN_PREFILL_LEFT_SHARE = 0.1
"""Share of the prefill time that counts as outstanding until the first event arrives."""
EJECTION_INITIAL_S = 0.5
"""Ejection time after the first broken or unanswered send; doubles with each further one."""
EJECTION_MAX_S = 4.0
"""Maximum ejection time; reports of an upstream arrive about every second."""


@dataclass(slots=True)
class ActiveSend:
    """One send to an upstream.

    Parameters
    ----------
    permit : int
        Number of the send.
    entry : str
        Entry node that sends the request.
    upstream_id : str
        Upstream that receives the request.
    prompt_tokens, output_tokens : int
        Size of the request.
    memory_tokens : int
        KV cache that it takes on this upstream.
    gap_goal_s : float
        Latency target for the time between events; 0 for none.
    value : float
        Value of the request relative to the mean of its service.
    started_s : float
        Clock reading when the permit was granted.
    prefill_left_ms : float
        Predicted remaining prefill time; 0 once the request decodes.
    prefill_ms : float
        Predicted prefill time of the whole prompt or part.
    expected_first_s : float
        Predicted time to the first event.
    goal_s : float
        Latency target for the first event; 0 for none.
    peak_prefill_ms : float
        Longest time that its prefill adds to one pass of the engine.
    helped_by : tuple of str
        Upstreams that prefill parts of the prompt.
    is_part : bool
        Whether this upstream only prefills a part of a prompt for another one.
    has_stalled : bool
        Whether the send was reported as stalled since its last sign of progress.
    """

    permit: int
    entry: str
    upstream_id: str
    prompt_tokens: int
    output_tokens: int
    memory_tokens: int
    gap_goal_s: float
    value: float
    started_s: float
    prefill_left_ms: float
    prefill_ms: float
    expected_first_s: float = 0.0
    goal_s: float = 0.0
    peak_prefill_ms: float = 0.0
    helped_by: tuple[str, ...] = ()
    is_part: bool = False
    has_stalled: bool = False

    @property
    def is_decoding(self) -> bool:
        """Whether prefill is complete."""
        return self.prefill_left_ms <= 0.0


@dataclass(slots=True)
class LoadSummary:
    """Properties of an upstream's sends that change only when a send is added, removed or decodes.

    Parameters
    ----------
    parts : int
        Number of parts of other engines' prompts.
    memory_tokens : int
        KV cache that the sends take.
    base_ms : float
        Predicted time of a pass without prefill, once all pending prompts decode.
    decode_ms : float
        Predicted time of a pass without prefill, with the requests that decode now; 0 for none.
    values : dict of float to float
        Value of the decoding streams, by their latency target between events in seconds.
    min_gap_goal_s : float
        Shortest of these targets; infinite if no stream decodes.
    prefilling : list of ActiveSend
        Own prompts whose prefill is running or pending.
    pending : list of ActiveSend
        The same with the parts of other engines' prompts.
    """

    parts: int = 0
    memory_tokens: int = 0
    base_ms: float = 0.0
    decode_ms: float = 0.0
    values: dict[float, float] = field(default_factory=dict)
    min_gap_goal_s: float = math.inf
    prefilling: list[ActiveSend] = field(default_factory=list)
    pending: list[ActiveSend] = field(default_factory=list)


def summarize_sends(model: EngineModel | None, sends: Iterable[ActiveSend]) -> LoadSummary:
    """Compute the summary of the sends of an upstream."""
    summary = LoadSummary()
    count = context = decoding = decoding_context = 0
    for send in sends:
        summary.memory_tokens += send.memory_tokens
        if not send.is_decoding:
            summary.pending.append(send)
        if send.is_part:
            summary.parts += 1
            continue
        count += 1
        context += send.prompt_tokens
        if send.is_decoding:
            decoding += 1
            decoding_context += send.prompt_tokens
            goal_s = send.gap_goal_s
            summary.values[goal_s] = summary.values.get(goal_s, 0.0) + send.value
        else:
            summary.prefilling.append(send)
    if model is not None:
        summary.base_ms = model.decode_pass_ms(count, context)
        summary.decode_ms = model.decode_pass_ms(decoding, decoding_context)
    summary.min_gap_goal_s = min((goal for goal in summary.values if goal > 0), default=math.inf)
    return summary


class UpstreamLoad:
    """Active sends of one upstream, and its recent performance.

    Parameters
    ----------
    model : EngineModel, optional
        Cost model; None for upstreams that are not model engines.
    slots : int
        Requests that the upstream runs concurrently.
    """

    def __init__(self, model: EngineModel | None, slots: int) -> None:
        self.model = model
        self.slots = slots
        self.sends: dict[int, ActiveSend] = {}
        self.cached_summary: LoadSummary | None = None
        self.advanced_s = float("-inf")
        self.slowdown = 1.0
        self.failure_rate = 0.0
        self.failure_recorded_s = 0.0
        self.ejection_s = 0.0
        self.ejected_until_s = float("-inf")
        self.cold_sends: list[float] = []

    @property
    def summary(self) -> LoadSummary:
        """Properties of the sends that do not change with time."""
        if self.cached_summary is None:
            self.cached_summary = summarize_sends(self.model, self.sends.values())
        return self.cached_summary

    def set_model(self, model: EngineModel | None) -> None:
        """Replace the cost model after a change of the declared service."""
        if model is not self.model:
            self.model = model
            self.cached_summary = None

    @property
    def free_slots(self) -> int:
        """Further requests that fit; prompt parts for other engines take no slot."""
        return self.slots - len(self.sends) + self.summary.parts

    @property
    def parts(self) -> int:
        """Number of parts of other engines' prompts on this upstream."""
        return self.summary.parts

    @property
    def memory_tokens(self) -> int:
        """KV cache that the sends take."""
        return self.summary.memory_tokens

    def add(self, send: ActiveSend, now_s: float) -> None:
        self.advance(now_s)
        self.sends[send.permit] = send
        self.cached_summary = None

    def remove(self, permit: int, now_s: float) -> ActiveSend | None:
        """Remove a send that ended."""
        self.advance(now_s)
        self.cached_summary = None
        return self.sends.pop(permit, None)

    def advance(self, now_s: float) -> None:
        """Advance the predicted prefill to `now_s`; prompts are processed one after the other."""
        left_ms = (now_s - self.advanced_s) * MS_PER_S / self.slowdown
        self.advanced_s = now_s
        pending = self.summary.pending
        if self.model is None or not pending:
            return
        # Parts of other engines' prompts take precedence over the engine's own prompts.
        for is_part in (True, False):
            for send in pending:
                if left_ms <= 0.0:
                    return
                # A prompt counts as unfinished until its first event, also if that is overdue.
                reducible_ms = send.prefill_left_ms - MIN_PREFILL_LEFT_SHARE * send.prefill_ms
                if send.is_part is is_part and reducible_ms > 0.0:
                    used_ms = min(left_ms, reducible_ms)
                    send.prefill_left_ms -= used_ms
                    left_ms -= used_ms

    def pending_prefill_ms(self) -> float:
        """Predicted time to prefill all pending prompts, at nominal speed."""
        pending = self.summary.pending
        return sum([send.prefill_left_ms for send in pending]) if pending else 0.0

    def pending_parts_ms(self) -> float:
        """Predicted time to prefill the parts of other engines' prompts, at nominal speed."""
        return sum([send.prefill_left_ms for send in self.summary.pending if send.is_part])

    def delay_prefills(self, part_ms: float) -> None:
        """Postpone the expected first events of own prompts by a part that takes precedence."""
        for send in self.summary.prefilling:
            send.expected_first_s += self.slowdown * part_ms / MS_PER_S

    def pass_ms(self) -> float:
        """Predicted duration of the next pass, at nominal speed; 0 if no request decodes."""
        summary = self.summary
        if not summary.values or not summary.pending:
            return summary.decode_ms
        peaks_ms = self.peak_prefills_ms()
        return summary.decode_ms + self.model.combined_peak_prefill_ms(peaks_ms)

    def peak_prefills_ms(self) -> list[float]:
        """Longest time that each pending prompt or part adds to one pass."""
        return [min(send.peak_prefill_ms, send.prefill_left_ms) for send in self.summary.pending]

    def record_first_event(self, permit: int, first_s: float, now_s: float) -> None:
        """Record the time to the first event of a send and update the slowdown."""
        self.advance(now_s)
        send = self.sends.get(permit)
        if send is None:
            return
        send.prefill_left_ms = 0.0
        self.cached_summary = None
        if self.model is not None and send.expected_first_s > 0.0:
            ratio = min(max(first_s / send.expected_first_s, SLOWDOWN_MIN), SLOWDOWN_MAX)
            self.slowdown = max(
                SLOWDOWN_MIN, (1 - SLOWDOWN_WEIGHT) * self.slowdown + SLOWDOWN_WEIGHT * ratio
            )
        self.ejection_s = 0.0

    def record_outcome(self, failed: bool, now_s: float) -> None:
        """Update the moving average of the failure rate with a finished send."""
        rate = self.current_failure_rate(now_s)
        self.failure_rate = (1 - FAILURE_WEIGHT) * rate + FAILURE_WEIGHT * failed
        self.failure_recorded_s = now_s
        if not failed:
            self.ejection_s = 0.0

    def record_unresponsive(self, now_s: float) -> None:
        """Eject the upstream from selection, for longer with each repetition."""
        self.ejection_s = min(max(EJECTION_INITIAL_S, 2 * self.ejection_s), EJECTION_MAX_S)
        self.ejected_until_s = now_s + self.ejection_s

    def end_ejection(self) -> None:
        """Return the upstream to selection, as a send that had stalled there goes on."""
        self.ejection_s = 0.0
        self.ejected_until_s = float("-inf")

    def current_failure_rate(self, now_s: float) -> float:
        """Moving average of failed sends, decayed over time."""
        age_s = max(0.0, now_s - self.failure_recorded_s)
        return self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def is_ejected(self, now_s: float) -> bool:
        """Whether the upstream is ejected because it recently did not respond."""
        return now_s < self.ejected_until_s

    def cold_sends_in(self, window_s: float, now_s: float) -> int:
        """Count the sends in the last `window_s` seconds, for the rate limit of cold upstreams."""
        self.cold_sends = [sent_s for sent_s in self.cold_sends if now_s - sent_s < window_s]
        return len(self.cold_sends)
