"""Work that an upstream has, as the dispatcher predicts it between reports."""

from dataclasses import dataclass

from laburnumrock.dispatch._engine_model import MS_PER_S, EngineModel

PACE_WEIGHT = 0.3
"""Weight of the newest observation in the moving average of an upstream's pace."""
PACE_MIN, PACE_MAX = 0.8, 12.0
"""Bounds of the pace; an engine that is slower than that fails by its time limits."""
FAILURE_WEIGHT = 0.25
"""Weight of the newest outcome in the moving average of an upstream's failures."""
FAILURE_HALF_LIFE_S = 4.0
"""An upstream that failed is tried again as this memory fades."""
UNFINISHED_SHARE = 0.1
"""Part of a prompt that counts as unread until the first event arrives."""
SUSPICION_FIRST_S = 0.5
"""Time without new work after a first broken or silent send; doubles with each further one."""
SUSPICION_MAX_S = 4.0
"""Longest time without new work; reports of an upstream arrive about every second."""


@dataclass(slots=True)
class ActiveSend:
    """One request on an upstream.

    Parameters
    ----------
    permit : int
        Number of the send.
    entry : str
        Instance that sends it.
    upstream_id : str
        Upstream that gets the request.
    prompt_tokens, output_tokens : int
        Size of the request.
    memory_tokens : int
        KV memory that it takes on this upstream.
    gap_goal_s : float
        Longest pause between events that counts in full; 0 for none.
    value : float
        Worth of the request, in means of its service.
    started_s : float
        When the permit was given.
    read_left_ms : float
        Predicted time that reading the rest of the prompt takes; 0 once it writes.
    prefill_ms : float
        Predicted time for the whole prompt or part.
    expected_first_s : float
        Predicted time to the first event.
    goal_s : float
        Time to the first event within which it counts in full; 0 for none.
    burst_ms : float
        Longest time that reading it adds to one pass.
    helped_by : tuple of str
        Upstreams that read parts of the prompt.
    is_part : bool
        Whether this upstream only reads a part for another one.
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
    read_left_ms: float
    prefill_ms: float
    expected_first_s: float = 0.0
    goal_s: float = 0.0
    burst_ms: float = 0.0
    helped_by: tuple[str, ...] = ()
    is_part: bool = False

    @property
    def is_writing(self) -> bool:
        """Whether the prompt is read."""
        return self.read_left_ms <= 0.0


class UpstreamLoad:
    """Sends under way on one upstream, and how it behaved lately.

    Parameters
    ----------
    model : EngineModel, optional
        Cost model; None for upstreams that are not model engines.
    slots : int
        Requests that the upstream runs at once.
    """

    def __init__(self, model: EngineModel | None, slots: int) -> None:
        self.model = model
        self.slots = slots
        self.sends: dict[int, ActiveSend] = {}
        self.advanced_s = float("-inf")
        self.pace = 1.0
        self.failure_rate = 0.0
        self.failure_noted_s = 0.0
        self.suspicion_s = 0.0
        self.suspect_until_s = float("-inf")
        self.cold_sends: list[float] = []

    @property
    def free_slots(self) -> int:
        """Requests that fit beside those under way; parts for other engines take no slot."""
        return self.slots - len(self.sends) + self.parts

    @property
    def parts(self) -> int:
        """Parts of other engines' prompts that it reads or holds."""
        return sum(1 for send in self.sends.values() if send.is_part)

    @property
    def memory_tokens(self) -> int:
        """KV memory that the sends take."""
        return sum(send.memory_tokens for send in self.sends.values())

    def add(self, send: ActiveSend, now_s: float) -> None:
        """Add a send."""
        self.advance(now_s)
        self.sends[send.permit] = send

    def remove(self, permit: int, now_s: float) -> ActiveSend | None:
        """Remove a send that ended."""
        self.advance(now_s)
        return self.sends.pop(permit, None)

    def advance(self, now_s: float) -> None:
        """Let the predicted reading go on until `now_s`; prompts are read one after the other."""
        left_ms = (now_s - self.advanced_s) * MS_PER_S / self.pace
        self.advanced_s = now_s
        if self.model is None:
            return
        # Parts of prompts of other engines are read ahead of the engine's own prompts.
        for parts in (True, False):
            for send in self.sends.values():
                if left_ms <= 0.0:
                    return
                # Until its first event a prompt counts as being read, also when that takes longer.
                able_ms = send.read_left_ms - UNFINISHED_SHARE * send.prefill_ms
                if send.is_part is parts and able_ms > 0.0:
                    used_ms = min(left_ms, able_ms)
                    send.read_left_ms -= used_ms
                    left_ms -= used_ms

    def reading_ms(self) -> float:
        """Predicted time for all prompts that wait or are being read, at the normal pace."""
        return sum(send.read_left_ms for send in self.sends.values())

    def parts_ms(self) -> float:
        """Predicted time for the parts of other engines' prompts, at the normal pace."""
        return sum(send.read_left_ms for send in self.sends.values() if send.is_part)

    def delay_readers(self, part_ms: float) -> None:
        """Take into account that a new part is read ahead of the engine's own prompts."""
        for send in self.sends.values():
            if not send.is_part and not send.is_writing:
                send.expected_first_s += self.pace * part_ms / MS_PER_S

    def writers(self) -> list[ActiveSend]:
        """Return the sends whose prompts are read."""
        return [send for send in self.sends.values() if send.is_writing and not send.is_part]

    def pass_ms(self) -> float:
        """Predicted duration of the next pass, at the normal pace; 0 if nothing writes."""
        writers = self.writers()
        if not writers:
            return 0.0
        context = sum(send.prompt_tokens for send in writers)
        write_ms = self.model.decode_pass_ms(len(writers), context)
        return write_ms + self.model.join_bursts_ms(self.bursts_ms())

    def bursts_ms(self) -> list[float]:
        """Longest times that the waiting prompts and parts add to one pass."""
        return [
            min(send.burst_ms, send.read_left_ms)
            for send in self.sends.values()
            if not send.is_writing
        ]

    def note_first_event(self, permit: int, first_s: float, now_s: float) -> None:
        """Take over how long a send took to its first event."""
        self.advance(now_s)
        send = self.sends.get(permit)
        if send is None:
            return
        send.read_left_ms = 0.0
        if self.model is not None and send.expected_first_s > 0.0:
            ratio = min(max(first_s / send.expected_first_s, PACE_MIN), PACE_MAX)
            self.pace = max(PACE_MIN, (1 - PACE_WEIGHT) * self.pace + PACE_WEIGHT * ratio)
        self.suspicion_s = 0.0

    def note_outcome(self, failed: bool, now_s: float) -> None:
        """Count a finished send in the moving average of failures."""
        rate = self.current_failure_rate(now_s)
        self.failure_rate = (1 - FAILURE_WEIGHT) * rate + FAILURE_WEIGHT * failed
        self.failure_noted_s = now_s
        if not failed:
            self.suspicion_s = 0.0

    def note_unresponsive(self, now_s: float) -> None:
        """Give the upstream no new work for a while, longer with each repetition."""
        self.suspicion_s = min(max(SUSPICION_FIRST_S, 2 * self.suspicion_s), SUSPICION_MAX_S)
        self.suspect_until_s = now_s + self.suspicion_s

    def current_failure_rate(self, now_s: float) -> float:
        """Share of failed sends, fading with time."""
        age_s = max(0.0, now_s - self.failure_noted_s)
        return self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def is_suspect(self, now_s: float) -> bool:
        """Whether the upstream failed to respond a short time ago."""
        return now_s < self.suspect_until_s

    def cold_sends_in(self, window_s: float, now_s: float) -> int:
        """Count the sends of the cold phase in the last `window_s` seconds."""
        self.cold_sends = [sent_s for sent_s in self.cold_sends if now_s - sent_s < window_s]
        return len(self.cold_sends)
