"""Limits of a dispatcher, and how long callers and requests wait.

Entry nodes import this module without the dispatcher, which they do not run.
"""

from dataclasses import dataclass, field

from laburnumrock.dispatch._messages import DispatchCall
from laburnumrock.quarantine import QuarantineSettings

CLIENT_TIMEOUT_S, CLIENT_TIMEOUT_GOALS, CLIENT_TIMEOUT_GAPS = 2.0, 4.0, 8.0
"""Callers abandon a stream without events after the longest of these times, as the users state it:
in seconds, in multiples of the target for the first event and of the target between events."""
MAX_WAIT_TIMEOUT_SHARE = 0.3
"""Share of the caller's timeout for which a request may wait in the queue. A late answer is worth
more to the caller than a refusal, after which it competes for the same slots again."""

MIN_RETRY_S, MAX_RETRY_S = 0.05, 3.0
"""Bounds of the retry delay sent to a refused caller. Callers wait for up to a third of their
remaining time; a delay of 0 would not be sent."""


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Limits for all instances together.

    Parameters
    ----------
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget of each service.
    expiry_s, retention_s : float, > 0
        As in `UpstreamDirectory`.
    stale_after_s : float, > 0
        An upstream without a sign of life for this long gets requests only if no other can take
        them.
    max_wait_ratio : float
        Share of its latency target for which a request may be queued for a free upstream.
    max_leaving_s, max_refusal_s : float, > 0
        Longest time for which an upstream is avoided since it stated that it leaves, or that it
        wants no requests for a time.
    quarantine : QuarantineSettings
        Limits for the requests and parts of prompts that crash upstreams.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    expiry_s: float = 4.0
    stale_after_s: float = 2.0
    retention_s: float = 30.0
    max_wait_ratio: float = 0.5
    max_leaving_s: float = 300.0
    max_refusal_s: float = 60.0
    quarantine: QuarantineSettings = field(default_factory=QuarantineSettings)


def client_timeout_s(call: DispatchCall) -> float:
    """Return how long the caller waits for the first event, in seconds from now."""
    if call.gap_goal_s <= 0:
        return call.remaining_s
    timeout_s = max(
        CLIENT_TIMEOUT_S,
        CLIENT_TIMEOUT_GOALS * call.goal_s,
        CLIENT_TIMEOUT_GAPS * call.gap_goal_s,
    )
    return min(timeout_s, call.remaining_s)


def max_queue_wait_s(settings: DispatchSettings, call: DispatchCall) -> float:
    """Return how long a request may be queued for a free upstream, in seconds."""
    max_wait_s = max(
        settings.max_wait_ratio * call.goal_s, MAX_WAIT_TIMEOUT_SHARE * client_timeout_s(call)
    )
    return min(max_wait_s, call.remaining_s / 4)
