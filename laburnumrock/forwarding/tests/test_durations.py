"""Tests of the durations of recent requests."""

from laburnumrock.forwarding._durations import MAX_DURATIONS, MAX_ROUTES, RouteDurations
from laburnumrock.routing import RequestKind, Route, ServiceShare


def make_route(name: str, goal_s: float = 10.0) -> Route:
    return Route(
        name,
        host="a",
        path_prefix="/",
        kind=RequestKind.IDEMPOTENT,
        shares=(ServiceShare("llm"),),
        timeout_s=10.0,
        goal_s=goal_s,
    )


class TestRouteDurations:
    def test_target_counts_only_without_recent_requests(self):
        """Guards against a stop that refuses all requests of a route with a distant target."""
        durations = RouteDurations()
        route = make_route("r")
        assert durations.find_longest(route) == 10.0
        durations.record(route, 0.2)
        assert durations.find_longest(route) == 0.2

    def test_old_durations_are_forgotten(self):
        """Guards against a single slow request after which a route counts as slow for ever."""
        durations = RouteDurations()
        route = make_route("r")
        for duration_s in (9.0, *[0.1] * MAX_DURATIONS):
            durations.record(route, duration_s)
        assert durations.find_longest(route) == 0.1

    def test_number_of_routes_is_bounded(self):
        """Guards against memory that grows with each change of the routes."""
        durations = RouteDurations()
        for number in range(MAX_ROUTES + 5):
            durations.record(make_route(f"r{number}"), 1.0)
        assert len(durations.by_route) == MAX_ROUTES
