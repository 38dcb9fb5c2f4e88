"""Durations under clocks that run at slightly different rates."""

MAX_CLOCK_DRIFT = 0.01
"""Largest relative error of the rate of an instance's monotonic clock."""


def holder_duration_s(granted_s: float) -> float:
    """Shorten a duration for the side that holds a right.

    The holder's clock may be slow and the granting side's clock fast; the holder's time must still
    end first.

    Parameters
    ----------
    granted_s : float
        Duration that the granting side counts, in seconds.

    Returns
    -------
    float
        Duration that the holder may count from the time at which it sent its request.
    """
    return granted_s * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)
