"""Durations of recent requests, by route."""

from collections import deque

from laburnumrock.routing import Route

MAX_DURATIONS = 32
"""Number of recent requests of a route whose durations are kept."""
MAX_ROUTES = 1_000
"""Maximum number of routes; the oldest are dropped first, since changes remove routes."""


class RouteDurations:
    """Predicts how long a request may take, from the recent ones of its route."""

    def __init__(self) -> None:
        self.by_route: dict[str, deque[float]] = {}

    def record(self, route: Route, duration_s: float) -> None:
        """Record a request that was answered with success."""
        recent = self.by_route.get(route.name)
        if recent is None:
            while len(self.by_route) >= MAX_ROUTES:
                del self.by_route[next(iter(self.by_route))]
            recent = self.by_route[route.name] = deque(maxlen=MAX_DURATIONS)
        recent.append(duration_s)

    def find_longest(self, route: Route) -> float:
        """Return the longest of the recent durations, or else the latency target, in seconds."""
        return max(self.by_route.get(route.name, (route.goal_s,)))
