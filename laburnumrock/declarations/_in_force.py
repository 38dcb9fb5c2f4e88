"""Which instance has applied which revision."""

from collections.abc import Iterable

# A restarted instance may come back with a lower revision, so that old reports count no more.
REPORT_TTL_S = 10.0


class RevisionTracker:
    """Revisions that instances were seen to have applied."""

    def __init__(self) -> None:
        self.reports: dict[str, tuple[int, float]] = {}

    def record(self, instance_id: str, revision: int, now_s: float) -> None:
        """Record what an instance has reported; a newer report replaces an older one."""
        self.reports[instance_id] = (revision, now_s)

    def find_lagging_instances(
        self, revision: int, instances: Iterable[str], now_s: float
    ) -> list[str]:
        """Return the instances that are not known to have applied a revision.

        Parameters
        ----------
        revision : int
            The revision.
        instances : iterable of str
            Instances in question.
        now_s : float
            Monotonic clock in seconds.

        Returns
        -------
        list of str
            In the order of `instances`.
        """
        return [name for name in instances if not self._has_applied(name, revision, now_s)]

    def _has_applied(self, instance_id: str, revision: int, now_s: float) -> bool:
        report = self.reports.get(instance_id)
        return report is not None and report[0] >= revision and now_s - report[1] <= REPORT_TTL_S
