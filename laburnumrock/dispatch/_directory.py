"""Directory of upstreams, built from their reports."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from laburnumrock.dispatch._messages import UpstreamReport, UpstreamState


@dataclass(slots=True)
class UpstreamRecord:
    """Latest report of an upstream.

    Parameters
    ----------
    report : UpstreamReport
        The report.
    last_seen_s : float
        Clock reading when the report or any later sign of life arrived.
    cold_until_s : float
        End of the cold phase that the upstream last reported; it accepts fewer requests until then.
    """

    report: UpstreamReport
    last_seen_s: float
    cold_until_s: float

    def is_cold(self, now_s: float) -> bool:
        """Whether the upstream is in its cold phase."""
        return now_s < self.cold_until_s


class UpstreamDirectory:
    """Latest incarnation and state of each upstream.

    Parameters
    ----------
    expiry_s : float, > 0
        An upstream without a sign of life for this long gets no new requests.
    retention_s : float, > 0
        Records are removed this long after the last sign of life. Departed incarnations are
        retained equally long, so that a delayed report does not bring them back.
    """

    def __init__(self, expiry_s: float, retention_s: float) -> None:
        self.expiry_s = expiry_s
        self.retention_s = retention_s
        self.records: dict[str, UpstreamRecord] = {}
        self.names_by_service: dict[str, dict[str, None]] = {}
        self.by_address: dict[tuple[str, int], str] = {}
        self.revision = 0
        self.changed_names: set[str] = set()
        self.removed_names: set[str] = set()

    def take_changes(self) -> tuple[list[str], list[str]]:
        """Return the upstreams that changed and those removed since the last call."""
        changed, removed = sorted(self.changed_names), sorted(self.removed_names)
        self.changed_names.clear()
        self.removed_names.clear()
        return changed, removed

    def observe(self, report: UpstreamReport, now_s: float) -> bool:
        """Store a report unless a newer one is known.

        Returns
        -------
        bool
            Whether the upstream's service, address, state or cold phase changed.
        """
        known = self.records.get(report.upstream_id)
        if known is not None and not _is_newer(report, known.report):
            return False
        if not self._assign_address(report):
            return False
        if known is not None and known.report.address != report.address:
            self._release_address(known.report)
        changed = known is None or _differs(report, known, now_s)
        if known is not None and known.report.service != report.service:
            del self.names_by_service[known.report.service][report.upstream_id]
        self.names_by_service.setdefault(report.service, {})[report.upstream_id] = None
        self.records[report.upstream_id] = UpstreamRecord(
            report, now_s, now_s + report.cold_left_s if report.cold_left_s > 0 else 0.0
        )
        if changed:
            self._mark_changed(report.upstream_id)
        return changed

    def remove(self, upstream_id: str, now_s: float) -> UpstreamReport | None:
        """Mark an upstream as gone and return the resulting report."""
        known = self.records.get(upstream_id)
        if known is None:
            return None
        report = _as_departed(known.report)
        self.observe(report, now_s)
        return report

    def record_alive(self, upstream_id: str, now_s: float) -> None:
        """Record a sign of life other than a report, such as a finished request."""
        record = self.records.get(upstream_id)
        if record is not None:
            record.last_seen_s = now_s

    def is_usable(self, record: UpstreamRecord, now_s: float) -> bool:
        """Whether an upstream may get new requests."""
        ready = record.report.state is UpstreamState.READY
        return ready and now_s - record.last_seen_s <= self.expiry_s

    def usable(self, service: str, now_s: float) -> list[UpstreamRecord]:
        """Return the upstreams of a service that may get new requests."""
        oldest_s = now_s - self.expiry_s
        records = [self.records[name] for name in self.names_by_service.get(service, ())]
        return [
            record
            for record in records
            if record.last_seen_s >= oldest_s and record.report.state is UpstreamState.READY
        ]

    def expire(self, now_s: float) -> list[str]:
        """Remove records that exceeded the retention period and return their names."""
        old = [
            name
            for name, record in self.records.items()
            if now_s - record.last_seen_s > self.retention_s
        ]
        for name in old:
            self.delete_record(name)
        return old

    def delete_record(self, upstream_id: str) -> None:
        """Delete the record of an upstream without marking the upstream as gone."""
        report = self.records.pop(upstream_id).report
        del self.names_by_service[report.service][upstream_id]
        self.changed_names.discard(upstream_id)
        self.removed_names.add(upstream_id)
        self._release_address(report)
        self.revision += 1

    def reports(self, now_s: float, names: Iterable[str] | None = None) -> list[UpstreamReport]:
        """Return the latest reports, with the remaining cold phase as of now.

        Parameters
        ----------
        now_s : float
            Monotonic clock in seconds.
        names : iterable of str, optional
            Upstreams to include; all by default.
        """
        result = []
        for name in self.records if names is None else names:
            record = self.records[name]
            report = record.report
            left_s = max(0.0, record.cold_until_s - now_s)
            if left_s != report.cold_left_s:
                report = replace(report, cold_left_s=left_s)
            result.append(report)
        return result

    def _mark_changed(self, upstream_id: str) -> None:
        self.revision += 1
        self.removed_names.discard(upstream_id)
        self.changed_names.add(upstream_id)

    def _assign_address(self, report: UpstreamReport) -> bool:
        """Assign the address to the newest incarnation; False if another upstream is newer."""
        address = report.address
        holder = self.by_address.get(address)
        if holder is not None and holder != report.upstream_id:
            if self.records[holder].report.incarnation > report.incarnation:
                return False
            if report.state is not UpstreamState.GONE:
                # A new upstream has the address, so the former holder no longer exists.
                former = self.records[holder]
                former.report = _as_departed(former.report)
                self._mark_changed(holder)
        if report.state is not UpstreamState.GONE or holder is None:
            self.by_address[address] = report.upstream_id
        return True

    def _release_address(self, report: UpstreamReport) -> None:
        """Let the address of an upstream that is not there any more belong to nobody."""
        if self.by_address.get(report.address) == report.upstream_id:
            del self.by_address[report.address]


def _is_newer(report: UpstreamReport, known: UpstreamReport) -> bool:
    if report.incarnation != known.incarnation:
        return report.incarnation > known.incarnation
    if known.state is UpstreamState.GONE:
        return False
    if report.state is UpstreamState.GONE:
        return True
    return report.sequence > known.sequence


def _differs(report: UpstreamReport, known: UpstreamRecord, now_s: float) -> bool:
    old = known.report
    if (report.service, report.address) != (old.service, old.address):
        return True
    if (report.incarnation, report.slots) != (old.incarnation, old.slots):
        return True
    return report.state is not old.state or (report.cold_left_s > 0) != known.is_cold(now_s)


def _as_departed(report: UpstreamReport) -> UpstreamReport:
    return replace(report, state=UpstreamState.GONE)
