"""Worth that requests are expected to lose by a placement."""

import zlib
from dataclasses import dataclass

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


@dataclass(slots=True)
class Streams:
    """Streams and waiting prompts of an engine, as far as a further prompt disturbs them.

    Parameters
    ----------
    base_ms : float
        Predicted time of a pass that only writes, once all waiting prompts write.
    bursts_ms : list of float
        Longest times that the waiting prompts and parts add to one pass.
    values : dict of float to float
        Worth of the streams that write, by their longest pause in seconds.
    readers : list of ActiveSend
        Prompts that are read or wait, without parts for other engines.
    """

    base_ms: float
    bursts_ms: list[float]
    values: dict[float, float]
    readers: list[ActiveSend]


def find_streams(load: UpstreamLoad) -> Streams:
    """Sum up the sends of an engine."""
    values: dict[float, float] = {}
    readers = []
    count = context = 0
    for send in load.sends.values():
        if send.is_part:
            continue
        count += 1
        context += send.prompt_tokens
        if send.is_writing:
            values[send.gap_goal_s] = values.get(send.gap_goal_s, 0.0) + send.value
        else:
            readers.append(send)
    return Streams(load.model.decode_pass_ms(count, context), load.bursts_ms(), values, readers)


def find_disturbance(load: UpstreamLoad, burst_ms: float) -> float:
    """Worth that the streams of an engine lose by longer pauses when it reads one more prompt.

    Parameters
    ----------
    load : UpstreamLoad
        The engine.
    burst_ms : float
        Longest time that the prompt adds to one pass, at the normal pace.

    Notes
    -----
    A prompt that still waits will write while the prompts behind it are read.
    """
    streams = find_streams(load)
    loss = find_part_disturbance(load, streams, burst_ms)
    behind: list[float] = []
    for send in reversed(streams.readers):
        passes_s = _find_passes_s(load, streams.base_ms, behind, burst_ms)
        loss += send.value * _added_loss(send.gap_goal_s, *passes_s)
        behind.append(min(send.burst_ms, send.read_left_ms))
    return loss


def find_part_disturbance(load: UpstreamLoad, streams: Streams, burst_ms: float) -> float:
    """Return the same for a part of another engine's prompt.

    Notes
    -----
    It is read before the prompts that wait here, and so does not disturb their streams.
    """
    passes_s = _find_passes_s(load, streams.base_ms, streams.bursts_ms, burst_ms)
    return sum(value * _added_loss(goal_s, *passes_s) for goal_s, value in streams.values.items())


def find_reader_delay(load: UpstreamLoad, streams: Streams, part_ms: float) -> float:
    """Worth that the waiting prompts of an engine lose when it reads a part ahead of them."""
    delay_s = load.pace * part_ms / MS_PER_S
    loss = 0.0
    for send in streams.readers:
        after = late_loss(send.expected_first_s + delay_s, send.goal_s)
        loss += send.value * (after - late_loss(send.expected_first_s, send.goal_s))
    return loss


def _find_passes_s(
    load: UpstreamLoad, base_ms: float, bursts: list[float], burst_ms: float
) -> tuple[float, float]:
    """Return the longest pass beside some prompts, and that with one prompt more, in seconds."""
    before_ms = base_ms + load.model.join_bursts_ms(bursts)
    after_ms = base_ms + load.model.join_bursts_ms([*bursts, burst_ms])
    return load.pace * before_ms / MS_PER_S, load.pace * after_ms / MS_PER_S


def _added_loss(goal_s: float, before_s: float, after_s: float) -> float:
    return late_loss(after_s, goal_s) - late_loss(before_s, goal_s)


def late_loss(time_s: float, goal_s: float) -> float:
    """Share of its worth that a request loses when a time is predicted against its goal."""
    if goal_s <= 0:
        return 0.0
    share = time_s / goal_s
    if share <= RAMP_START:
        return 0.0
    return LATE_LOSS * min(1.0, (share - RAMP_START) / (RAMP_END - RAMP_START))
