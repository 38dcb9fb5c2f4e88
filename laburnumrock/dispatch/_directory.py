"""Upstreams as they announce themselves."""

from dataclasses import dataclass, replace

from laburnumrock.dispatch._messages import UpstreamReport, UpstreamState


@dataclass(slots=True)
class UpstreamEntry:
    """Newest report of an upstream.

    Parameters
    ----------
    report : UpstreamReport
        The report.
    heard_s : float
        When it or any later sign of life arrived.
    cold_until_s : float
        End of the cold phase that the upstream last stated.
    """

    report: UpstreamReport
    heard_s: float
    cold_until_s: float

    def is_cold(self, now_s: float) -> bool:
        """Whether the upstream is in its cold phase."""
        return now_s < self.cold_until_s


class UpstreamDirectory:
    """Newest incarnation and state of each upstream.

    Parameters
    ----------
    expiry_s : float, > 0
        An upstream that was not heard for this long gets no new work.
    retention_s : float, > 0
        Entries are dropped this long after the last sign of life. Departed incarnations are
        remembered as long, so that a delayed report does not bring them back.
    """

    def __init__(self, expiry_s: float, retention_s: float) -> None:
        self.expiry_s = expiry_s
        self.retention_s = retention_s
        self.entries: dict[str, UpstreamEntry] = {}
        self.by_address: dict[tuple[str, int], str] = {}
        self.revision = 0

    def observe(self, report: UpstreamReport, now_s: float) -> bool:
        """Take over a report unless a newer one is known.

        Returns
        -------
        bool
            Whether the upstream's service, address, state or cold phase changed.
        """
        known = self.entries.get(report.upstream_id)
        if known is not None and not _is_newer(report, known.report):
            return False
        if not self._take_address(report):
            return False
        changed = known is None or _differs(report, known, now_s)
        self.entries[report.upstream_id] = UpstreamEntry(
            report, now_s, now_s + report.cold_left_s if report.cold_left_s > 0 else 0.0
        )
        if changed:
            self.revision += 1
        return changed

    def remove(self, upstream_id: str, now_s: float) -> UpstreamReport | None:
        """Record that an upstream left; returns the report that says so."""
        known = self.entries.get(upstream_id)
        if known is None:
            return None
        report = _as_departed(known.report)
        self.observe(report, now_s)
        return report

    def note_alive(self, upstream_id: str, now_s: float) -> None:
        """Record a sign of life other than a report, such as a finished request."""
        entry = self.entries.get(upstream_id)
        if entry is not None:
            entry.heard_s = now_s

    def is_usable(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Whether an upstream may get new work."""
        ready = entry.report.state is UpstreamState.READY
        return ready and now_s - entry.heard_s <= self.expiry_s

    def usable(self, service: str, now_s: float) -> list[UpstreamEntry]:
        """Return the upstreams of a service that may get new work."""
        return [
            entry
            for entry in self.entries.values()
            if entry.report.service == service and self.is_usable(entry, now_s)
        ]

    def expire(self, now_s: float) -> list[str]:
        """Drop entries that were not heard for long; returns their names."""
        old = [
            name for name, entry in self.entries.items() if now_s - entry.heard_s > self.retention_s
        ]
        for name in old:
            self.forget(name)
        return old

    def forget(self, upstream_id: str) -> None:
        """Drop what is known of an upstream."""
        report = self.entries.pop(upstream_id).report
        if self.by_address.get((report.host, report.port)) == upstream_id:
            del self.by_address[report.host, report.port]
        self.revision += 1

    def reports(self, now_s: float) -> list[UpstreamReport]:
        """Return the newest reports, with the cold phase as of now."""
        result = []
        for entry in self.entries.values():
            report = entry.report
            left_s = max(0.0, entry.cold_until_s - now_s)
            if left_s != report.cold_left_s:
                report = replace(report, cold_left_s=left_s)
            result.append(report)
        return result

    def _take_address(self, report: UpstreamReport) -> bool:
        """Give the address to the newest incarnation; False if that is another upstream."""
        address = (report.host, report.port)
        holder = self.by_address.get(address)
        if holder is not None and holder != report.upstream_id:
            if self.entries[holder].report.incarnation > report.incarnation:
                return False
            if report.state is not UpstreamState.GONE:
                # The address was given to a new upstream, so its former holder is no more.
                former = self.entries[holder]
                former.report = _as_departed(former.report)
                self.revision += 1
        if report.state is not UpstreamState.GONE or holder is None:
            self.by_address[address] = report.upstream_id
        return True


def _is_newer(report: UpstreamReport, known: UpstreamReport) -> bool:
    if report.incarnation != known.incarnation:
        return report.incarnation > known.incarnation
    if known.state is UpstreamState.GONE:
        return False
    if report.state is UpstreamState.GONE:
        return True
    return report.sequence > known.sequence


def _differs(report: UpstreamReport, known: UpstreamEntry, now_s: float) -> bool:
    old = known.report
    if (report.service, report.host, report.port) != (old.service, old.host, old.port):
        return True
    if (report.incarnation, report.slots) != (old.incarnation, old.slots):
        return True
    return report.state is not old.state or (report.cold_left_s > 0) != known.is_cold(now_s)


def _as_departed(report: UpstreamReport) -> UpstreamReport:
    return replace(report, state=UpstreamState.GONE)
