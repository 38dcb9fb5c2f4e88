"""Tests of the upstream directory."""

from dataclasses import replace

from laburnumrock.dispatch import UpstreamDirectory, UpstreamReport, UpstreamState

READY = UpstreamReport("e1", "llm", "10.0.0.1", 80, "a", 1000, 1, 8, UpstreamState.READY)
LEAVING = replace(READY, sequence=5, state=UpstreamState.DRAINING)


def make_directory() -> UpstreamDirectory:
    return UpstreamDirectory(expiry_s=3.0, retention_s=30.0)


class TestObserve:
    def test_late_report_does_not_undo_a_drain(self):
        """Guards against a delayed report that returns a draining upstream to service."""
        directory = make_directory()
        assert directory.observe(LEAVING, 0.0)
        assert not directory.observe(replace(READY, sequence=4), 0.1)
        assert directory.usable("llm", 0.2) == []

    def test_late_report_does_not_undo_a_departure(self):
        """Guards against a report sent before a departure that is accepted after it."""
        directory = make_directory()
        directory.observe(READY, 0.0)
        directory.remove("e1", 0.1)
        assert not directory.observe(replace(READY, sequence=9), 0.2)
        assert directory.usable("llm", 0.3) == []

    def test_new_incarnation_starts_anew(self):
        """Guards against an upstream that is ignored after a restart under the same id."""
        directory = make_directory()
        directory.observe(LEAVING, 0.0)
        assert directory.observe(replace(READY, incarnation=2000), 0.1)
        assert len(directory.usable("llm", 0.2)) == 1

    def test_address_goes_to_the_newest_incarnation(self):
        """Guards against sends to a dead upstream whose address belongs to another one."""
        directory = make_directory()
        directory.observe(READY, 0.0)
        successor = replace(READY, upstream_id="e2", service="plain", incarnation=2000)
        assert directory.observe(successor, 0.1)
        assert directory.usable("llm", 0.2) == []
        assert not directory.observe(replace(READY, sequence=2), 0.3)
        assert len(directory.usable("plain", 0.4)) == 1

    def test_former_address_of_an_upstream_goes_to_another_one(self):
        """Guards against an upstream that is taken for gone, until it restarts, since another one
        has got the address at which it was before.
        """
        directory = make_directory()
        directory.observe(READY, 0.0)
        moved = replace(READY, incarnation=2000, port=81)
        directory.observe(moved, 0.1)
        directory.observe(replace(READY, upstream_id="e2", incarnation=3000), 0.2)
        directory.observe(replace(moved, sequence=2), 0.3)
        assert [one.report.upstream_id for one in directory.usable("llm", 0.4)] == ["e1", "e2"]

    def test_former_address_of_a_deleted_upstream_goes_to_another_one(self):
        """Guards against reports and views that are refused with a KeyError, since an upstream that
        is not known any more once had the address of another one.
        """
        directory = make_directory()
        directory.observe(READY, 0.0)
        directory.observe(replace(READY, sequence=2, port=81), 0.1)
        directory.delete_record("e1")
        assert directory.by_address == {}
        assert directory.observe(replace(READY, upstream_id="e2"), 0.2)

    def test_upstream_without_reports_expires(self):
        """Guards against requests to an upstream that crashed without a final report."""
        directory = make_directory()
        directory.observe(READY, 0.0)
        assert directory.usable("llm", 2.9)
        assert not directory.usable("llm", 3.1)
        directory.record_alive("e1", 3.2)
        assert directory.usable("llm", 3.3)

    def test_cold_phase_counts_from_the_report(self):
        """Guards against a cold phase that never ends, or is not noticed at all."""
        directory = make_directory()
        directory.observe(READY, 0.0)
        assert directory.observe(replace(READY, sequence=2, cold_left_s=2.0), 1.0)
        entry = directory.records["e1"]
        assert entry.is_cold(2.9)
        assert not entry.is_cold(3.1)
        assert directory.reports(2.0)[0].cold_left_s == 1.0

    def test_expired_entries_are_forgotten(self):
        """Guards against a directory that grows with every restart of an upstream."""
        directory = make_directory()
        directory.observe(READY, 0.0)
        assert directory.expire(29.0) == []
        assert directory.expire(31.0) == ["e1"]
        assert directory.by_address == {}
