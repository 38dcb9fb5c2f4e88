"""Prediction at the entry instance of whether pools can finish a request in time."""

import random

from laburnumrock.placement import PoolSummary, classify_length

# Summaries are about one second old and queues change, so only pools that would clearly miss the
# deadline are excluded here; the pool owner makes the exact decision.
SAFETY_FACTOR = 0.8
# Pools whose predicted finish is within this time of the best one count as equally fast.
FINISH_TOLERANCE_S = 0.1


def predict_finish_s(summary: PoolSummary, prompt_tokens: int, output_tokens: int) -> float:
    """Return the expected time until a pool finishes a request, in seconds.

    Returns
    -------
    float
        Expected time; infinite if the pool is out of service or cannot serve the length class.
    """
    if not summary.in_service:
        return float("inf")
    length_class = classify_length(prompt_tokens, output_tokens, summary.largest_engine_tokens)
    wait_s = summary.expected_wait_s.get(length_class.value, float("inf"))
    rate = summary.prefill_tokens_per_s
    prefill_s = prompt_tokens / rate if rate > 0 else 0.0
    return wait_s + prefill_s + output_tokens * summary.decode_step_s


def order_pools(
    summaries: list[PoolSummary],
    prompt_tokens: int,
    output_tokens: int,
    remaining_s: float,
    rng: random.Random,
) -> list[PoolSummary]:
    """Return the pools that may finish a request in time, fastest first.

    Parameters
    ----------
    summaries : list of PoolSummary
        Latest summaries of the pools that serve the model.
    prompt_tokens, output_tokens : int
        Sizes of the request in tokens.
    remaining_s : float
        Time until the deadline, in seconds.
    rng : random.Random
        Source of randomness for the order of pools that are about equally fast. They are drawn in
        proportion to their free memory, so that the instances do not all send their requests to
        the same pool until the next summary.
    """
    feasible = []
    for summary in summaries:
        finish_s = predict_finish_s(summary, prompt_tokens, output_tokens)
        if finish_s * SAFETY_FACTOR <= remaining_s:
            feasible.append((finish_s, summary.pool_id, summary))
    feasible.sort(key=lambda entry: entry[:2])
    if not feasible:
        return []
    limit_s = feasible[0][0] + FINISH_TOLERANCE_S
    fastest = [entry[2] for entry in feasible if entry[0] <= limit_s]
    slower = [entry[2] for entry in feasible if entry[0] > limit_s]
    # Sorting by u ** (1 / w) for uniform u draws without replacement with weights w.
    fastest.sort(key=lambda pool: rng.random() ** (1.0 / max(1, pool.free_kv_tokens)), reverse=True)
    return fastest + slower
