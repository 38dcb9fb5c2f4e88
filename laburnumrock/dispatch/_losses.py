"""Expected loss of request value that a placement causes."""

from laburnumrock.dispatch._engine_model import MS_PER_S
from laburnumrock.dispatch._load import UpstreamLoad

LATE_LOSS = 0.75
"""Share of its value that a late answer loses; both users give a late answer a quarter."""
RAMP_START, RAMP_END = 0.75, 1.1
"""Shares of the latency target between which the loss of a late prediction rises linearly."""


def interference_loss(load: UpstreamLoad, peak_prefill_ms: float) -> float:
    """Value that the streams of an engine lose when one more prompt delays their events.

    Parameters
    ----------
    load : UpstreamLoad
        The engine.
    peak_prefill_ms : float
        Longest time that the prompt adds to one pass, at nominal speed.

    Notes
    -----
    A pending prompt will decode during the prefill of the prompts behind it.
    """
    summary = load.summary
    loss = part_interference_loss(load, peak_prefill_ms)
    behind: list[float] = []
    for send in reversed(summary.prefilling):
        passes_s = _pass_durations_s(load, summary.base_ms, behind, peak_prefill_ms)
        loss += send.value * _added_loss(send.gap_goal_s, *passes_s)
        behind.append(min(send.peak_prefill_ms, send.prefill_left_ms))
    return loss


def part_interference_loss(load: UpstreamLoad, peak_prefill_ms: float) -> float:
    """Value that the decoding streams of an engine lose when it prefills a part for another engine.

    Notes
    -----
    The part precedes the pending prompts of this engine, so it does not delay their later streams.
    """
    summary = load.summary
    if not summary.values:
        return 0.0
    before_s, after_s = _pass_durations_s(
        load, summary.base_ms, load.peak_prefills_ms(), peak_prefill_ms
    )
    if after_s <= RAMP_START * summary.min_gap_goal_s:
        return 0.0
    return sum(
        value * _added_loss(goal_s, before_s, after_s) for goal_s, value in summary.values.items()
    )


def prefill_delay_loss(load: UpstreamLoad, part_ms: float) -> float:
    """Value that the pending prompts of an engine lose when it prefills a part ahead of them."""
    delay_s = load.slowdown * part_ms / MS_PER_S
    loss = 0.0
    for send in load.summary.prefilling:
        after = late_loss(send.expected_first_s + delay_s, send.goal_s)
        loss += send.value * (after - late_loss(send.expected_first_s, send.goal_s))
    return loss


def _pass_durations_s(
    load: UpstreamLoad, base_ms: float, peak_prefills_ms: list[float], peak_prefill_ms: float
) -> tuple[float, float]:
    """Return the longest pass with the given prompts, without and with one more, in seconds."""
    if not peak_prefills_ms:
        scale = load.slowdown / MS_PER_S
        return scale * base_ms, scale * (base_ms + peak_prefill_ms)
    before_ms = base_ms + load.model.combined_peak_prefill_ms(peak_prefills_ms)
    after_ms = base_ms + load.model.combined_peak_prefill_ms([*peak_prefills_ms, peak_prefill_ms])
    return load.slowdown * before_ms / MS_PER_S, load.slowdown * after_ms / MS_PER_S


def _added_loss(goal_s: float, before_s: float, after_s: float) -> float:
    return late_loss(after_s, goal_s) - late_loss(before_s, goal_s)


def late_loss(time_s: float, goal_s: float) -> float:
    """Share of its value that a request loses by a predicted time, given its latency target."""
    if goal_s <= 0:
        return 0.0
    share = time_s / goal_s
    if share <= RAMP_START:
        return 0.0
    return LATE_LOSS * min(1.0, (share - RAMP_START) / (RAMP_END - RAMP_START))
