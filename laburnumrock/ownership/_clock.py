"""Durations measured by clocks that drift against each other."""

MAX_CLOCK_DRIFT = 0.01
"""Maximum relative rate error of an instance's monotonic clock."""


def holder_duration_s(granted_s: float) -> float:
    """Return how long the holder of a grant may rely on it.

    The holder's clock may run slow and the granter's clock fast; the grant must nevertheless expire
    at the holder first.

    Parameters
    ----------
    granted_s : float
        Duration of the grant by the granter's clock, in seconds.

    Returns
    -------
    float
        Duration by the holder's clock, measured from the time at which it sent the request.
    """
    return granted_s * (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)
