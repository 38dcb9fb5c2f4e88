"""Worth that requests are expected to lose by a placement."""

import zlib

from laburnumrock.dispatch._engine_model import MS_PER_S
from laburnumrock.dispatch._load import ActiveSend, UpstreamLoad

LATE_LOSS = 0.75
"""Share of its worth that a late answer loses; both users give a late answer a quarter."""
RAMP_START, RAMP_END = 0.75, 1.1
"""A prediction at this share of the goal begins to count as late, and certainly is."""


def spread_order(upstream_id: str) -> float:
    """Return the place of an engine in an order that all nodes share, between 0 and 1.

    Notes
    -----
    Short prompts take idle engines from the beginning of the order and long ones from its end. So
    an entry that decides alone mostly keeps them apart, as the dispatcher does.
    """
    return zlib.crc32(upstream_id.encode()) / 0xFFFFFFFF


def find_disturbance(load: UpstreamLoad, burst_ms: float, as_part: bool = False) -> float:
    """Worth that the streams of an engine lose by longer pauses when it reads one more prompt.

    Parameters
    ----------
    load : UpstreamLoad
        The engine.
    burst_ms : float
        Longest time that the prompt adds to one pass, at the normal pace.
    as_part : bool
        Whether it is a part of another engine's prompt, which is read before the prompts that
        wait here and so does not disturb their streams.

    Notes
    -----
    A prompt that still waits will write while the prompts behind it are read.
    """
    model = load.model
    sends = [send for send in load.sends.values() if not send.is_part]
    context = sum(send.prompt_tokens for send in sends)
    base_ms = model.write_pass_ms(len(sends), context)
    loss = 0.0
    behind: list[float] = []
    for send in reversed(sends):
        if send.is_writing:
            continue
        if not as_part:
            loss += _lose_by_burst(load, send, base_ms, behind, burst_ms)
        behind.append(min(send.burst_ms, send.read_left_ms))
    waiting = load.bursts_ms()
    for send in sends:
        if send.is_writing:
            loss += _lose_by_burst(load, send, base_ms, waiting, burst_ms)
    return loss


def _lose_by_burst(
    load: UpstreamLoad, send: ActiveSend, base_ms: float, bursts: list[float], burst_ms: float
) -> float:
    if send.gap_goal_s <= 0:
        return 0.0
    before_s = load.pace * (base_ms + load.model.join_bursts_ms(bursts)) / MS_PER_S
    after_s = load.pace * (base_ms + load.model.join_bursts_ms([*bursts, burst_ms])) / MS_PER_S
    after = late_loss(after_s, send.gap_goal_s)
    return send.value * (after - late_loss(before_s, send.gap_goal_s))


def find_reader_delay(load: UpstreamLoad, part_ms: float) -> float:
    """Worth that the waiting prompts of an engine lose when it reads a part ahead of them."""
    delay_s = load.pace * part_ms / MS_PER_S
    loss = 0.0
    for send in load.sends.values():
        if send.is_part or send.is_writing:
            continue
        after = late_loss(send.expected_first_s + delay_s, send.goal_s)
        loss += send.value * (after - late_loss(send.expected_first_s, send.goal_s))
    return loss


def late_loss(time_s: float, goal_s: float) -> float:
    """Share of its worth that a request loses when a time is predicted against its goal."""
    if goal_s <= 0:
        return 0.0
    share = time_s / goal_s
    if share <= RAMP_START:
        return 0.0
    return LATE_LOSS * min(1.0, (share - RAMP_START) / (RAMP_END - RAMP_START))
