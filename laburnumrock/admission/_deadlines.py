"""Prediction at the entry instance whether a pool can finish a request in time."""

from laburnumrock.placement import PoolSummary, classify_length

# Summaries are about a second old and queues move, so that only clear misses are ruled out here;
# the exact decision is the pool owner's.
SAFETY_FACTOR = 0.8


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
    summaries: list[PoolSummary], prompt_tokens: int, output_tokens: int, remaining_s: float
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
    """
    rated = []
    for summary in summaries:
        finish_s = predict_finish_s(summary, prompt_tokens, output_tokens)
        if finish_s * SAFETY_FACTOR <= remaining_s:
            rated.append((round(finish_s, 2), -summary.free_kv_tokens, summary.pool_id, summary))
    rated.sort(key=lambda entry: entry[:3])
    return [entry[3] for entry in rated]
