"""Tests of the replicated routes."""

from laburnumrock.routing import (
    RouteDocument,
    RoutesPart,
    SetDrain,
    SetQuarantine,
    StoreAnswer,
    StoreRoutes,
)


class TestRoutesPart:
    def test_highest_version_stays(self):
        """Guards against an older version that arrives late and replaces a newer one."""
        part = RoutesPart()
        assert part.apply(StoreRoutes(7, b"seven"), 1) == StoreAnswer(7, True)
        assert part.apply(StoreRoutes(5, b"five"), 2) == StoreAnswer(7, False)
        assert part.current.document == b"seven"

    def test_same_version_with_other_content_changes_nothing(self):
        """Guards against different content stored under a version that is in force."""
        part = RoutesPart()
        part.apply(StoreRoutes(7, b"seven"), 1)
        assert part.apply(StoreRoutes(7, b"other"), 2) == StoreAnswer(7, False)
        assert part.current.document == b"seven"

    def test_drain_survives_new_routes_and_snapshot(self):
        """Guards against a drained failure domain that returns to service with a new version."""
        part = RoutesPart()
        part.apply(SetDrain("b", True), 1)
        part.apply(SetDrain("a", True), 2)
        part.apply(StoreRoutes(3, b"three"), 3)
        other = RoutesPart()
        other.restore(part.to_plain())
        assert other.current == RouteDocument(3, b"three", ["a", "b"])
        other.apply(SetDrain("b", False), 4)
        assert other.current.drained == ["a"]

    def test_quarantine_survives_new_routes_drains_and_snapshot(self):
        """Guards against a quarantined part that returns to service with another change."""
        part = RoutesPart()
        assert part.apply(SetQuarantine([["a", "x"]]), 1) == StoreAnswer(0, True)
        assert not part.apply(SetQuarantine([["a", "x"]]), 2).changed
        part.apply(StoreRoutes(3, b"three"), 3)
        part.apply(SetDrain("b", True), 4)
        other = RoutesPart()
        other.restore(part.to_plain())
        assert other.current == RouteDocument(3, b"three", ["b"], [["a", "x"]])

    def test_snapshot_without_quarantine(self):
        """Guards against a snapshot of an earlier release that cannot be restored."""
        part = RoutesPart()
        part.restore({"version": 3, "document": b"three", "drained": ["b"]})
        assert part.current == RouteDocument(3, b"three", ["b"])

    def test_repeated_drain_is_acknowledged(self):
        """Guards against a refusal of a command that is retried after a lost answer."""
        part = RoutesPart()
        assert part.apply(SetDrain("b", True), 1).changed
        assert not part.apply(SetDrain("b", True), 2).changed
