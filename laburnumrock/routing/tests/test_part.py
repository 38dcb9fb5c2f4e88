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
        part.apply(SetDrain("b", True, "o1", 0), 1)
        part.apply(SetDrain("a", True, "o2", 0), 2)
        part.apply(StoreRoutes(3, b"three"), 3)
        other = RoutesPart()
        other.restore(part.to_plain())
        assert other.current == RouteDocument(3, b"three", ["a", "b"])
        other.apply(SetDrain("b", False, "o3", 3), 4)
        assert other.current.drained == ["a"]

    def test_quarantine_survives_new_routes_drains_and_snapshot(self):
        """Guards against a quarantined part that returns to service with another change."""
        part = RoutesPart()
        assert part.apply(SetQuarantine([["a", "x"]], 1, 1), 1) == StoreAnswer(0, True)
        assert part.apply(SetQuarantine([["a", "x"]], 1, 1), 2) == StoreAnswer(0, False)
        part.apply(StoreRoutes(3, b"three"), 3)
        part.apply(SetDrain("b", True, "o1", 3), 4)
        other = RoutesPart()
        other.restore(part.to_plain())
        assert other.current == RouteDocument(3, b"three", ["b"], [["a", "x"]])
        assert other.apply(SetQuarantine([], 1, 0), 5).superseded

    def test_snapshot_without_quarantine(self):
        """Guards against a snapshot of an earlier release that cannot be restored."""
        part = RoutesPart()
        part.restore({"version": 3, "document": b"three", "drained": ["b"]})
        assert part.current == RouteDocument(3, b"three", ["b"])

    def test_repeated_drain_is_acknowledged(self):
        """Guards against a refusal of a command that is retried after a lost answer."""
        part = RoutesPart()
        assert part.apply(SetDrain("b", True, "o1", 0), 1) == StoreAnswer(0, True)
        assert part.apply(SetDrain("b", True, "o1", 0), 2) == StoreAnswer(0, False)

    def test_late_order_does_not_undo_a_newer_one(self):
        """Guards against an old order that ends an evacuation, also after a snapshot."""
        part = RoutesPart()
        part.apply(SetDrain("b", True, "o1", 0), 1)
        part.apply(SetDrain("b", False, "o2", 1), 2)
        part.apply(SetDrain("b", True, "o3", 2), 3)
        other = RoutesPart()
        other.restore(part.to_plain())
        assert other.apply(SetDrain("b", False, "o4", 1), 4) == StoreAnswer(0, False, True)
        assert other.apply(SetDrain("b", False, "o2", 1), 5) == StoreAnswer(0, False)
        assert other.current.drained == ["b"]

    def test_order_without_a_change_is_newer_too(self):
        """Guards against an old order that undoes an acknowledged one that changed nothing."""
        part = RoutesPart()
        part.apply(SetDrain("b", True, "o1", 0), 1)
        assert part.apply(SetDrain("b", True, "o2", 1), 2) == StoreAnswer(0, False)
        assert part.apply(SetDrain("b", False, "o3", 1), 3).superseded
