"""Worth that requests are expected to lose by a placement."""

import zlib

from laburnumrock.dispatch._engine_model import MS_PER_S
from laburnumrock.dispatch._load import UpstreamLoad

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


def find_disturbance(load: UpstreamLoad, read_ms: float) -> float:
    """Worth that the requests of an engine lose when it reads more.

    Parameters
    ----------
    load : UpstreamLoad
        The engine.
    read_ms : float
        Time that it reads more, at the normal pace.
    """
    before_s = load.pace * load.pass_ms() / MS_PER_S
    after_s = load.pace * load.pass_ms(read_ms) / MS_PER_S
    loss = 0.0
    for send in load.sends.values():
        if not send.is_writing or send.gap_goal_s <= 0:
            continue
        loss += send.value * (
            late_loss(after_s, send.gap_goal_s) - late_loss(before_s, send.gap_goal_s)
        )
    return loss


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
    if goal_s <= 0:
        return 0.0
    share = time_s / goal_s
    if share <= RAMP_START:
        return 0.0
    return LATE_LOSS * min(1.0, (share - RAMP_START) / (RAMP_END - RAMP_START))
