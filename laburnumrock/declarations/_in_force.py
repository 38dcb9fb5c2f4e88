"""Tracking of the revision that each instance has applied."""

from collections.abc import Iterable

# Reports expire because an instance may have a lower revision after a restart.
REPORT_TTL_S = 10.0


class RevisionTracker:
    """Latest reported revision of each instance."""

    def __init__(self) -> None:
        self.reports: dict[str, tuple[int, float]] = {}

    def record(self, instance_id: str, revision: int, now_s: float) -> None:
        """Record the reported revision of an instance in place of its previous report."""
        self.reports[instance_id] = (revision, now_s)

    def find_lagging_instances(
        self, revision: int, instances: Iterable[str], now_s: float
    ) -> list[str]:
        """Return the instances without a recent report that they have applied a revision.

        Parameters
        ----------
        revision : int
            The revision.
        instances : iterable of str
            Instances to check.
        now_s : float
            Monotonic clock in seconds.

        Returns
        -------
        list of str
            Lagging instances, in the order of `instances`.
        """
        return [name for name in instances if not self._has_applied(name, revision, now_s)]

    def _has_applied(self, instance_id: str, revision: int, now_s: float) -> bool:
        report = self.reports.get(instance_id)
        return report is not None and report[0] >= revision and now_s - report[1] <= REPORT_TTL_S
