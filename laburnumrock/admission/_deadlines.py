"""Prediction at the entry instance whether a pool can finish a request in time."""

import random

from laburnumrock.placement import PoolSummary, classify_length

# Summaries are about a second old and queues move, so that only clear misses are ruled out here;
# the exact decision is the pool owner's.
SAFETY_FACTOR = 0.8
# Pools whose predictions differ by less count as equally fast.
NEAR_BEST_S = 0.1


def predict_finish_s(summary: PoolSummary, prompt_tokens: int, output_tokens: int) -> float:
    """Return the expected time to the finish of a request in a pool, in seconds.

    Returns
    -------
    float
        Infinite if the pool is out of service or cannot serve the length class.
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
    """Return the pools that may finish a request in time, most promising first.

    Parameters
    ----------
    summaries : list of PoolSummary
        Last summaries of the pools that serve the model.
    prompt_tokens, output_tokens : int
        Sizes of the request in tokens.
    remaining_s : float
        Time to the deadline in seconds.
    rng : random.Random
        Draws between pools that are about equally fast, in proportion to their free memory, so
        that not every instance sends its requests to the same pool until the next summary.
    """
    rated = []
    for summary in summaries:
        finish_s = predict_finish_s(summary, prompt_tokens, output_tokens)
        if finish_s * SAFETY_FACTOR <= remaining_s:
            rated.append((finish_s, summary.pool_id, summary))
    rated.sort(key=lambda entry: entry[:2])
    if not rated:
        return []
    limit_s = rated[0][0] + NEAR_BEST_S
    near = [entry[2] for entry in rated if entry[0] <= limit_s]
    rest = [entry[2] for entry in rated if entry[0] > limit_s]
    # Keys u ** (1 / w) give a random order in which weights w act as in drawing without return.
    near.sort(key=lambda pool: rng.random() ** (1.0 / max(1, pool.free_kv_tokens)), reverse=True)
    return near + rest
