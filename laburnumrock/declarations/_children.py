"""Table of the instances that fetch declarations from this instance."""

from dataclasses import dataclass


@dataclass(slots=True)
class _Child:
    seen_at_s: float
    revision: int


class ChildTable:
    """Instances that fetched recently, with the latest revision that they reported or were sent.

    Parameters
    ----------
    ttl_s : float, > 0
        Time in seconds after its last fetch during which an instance receives pushes.
    """

    def __init__(self, ttl_s: float) -> None:
        self.ttl_s = ttl_s
        self.children: dict[str, _Child] = {}

    def record(self, name: str, revision: int, now_s: float) -> None:
        """Record a fetch of an instance that has applied `revision`."""
        self.children[name] = _Child(now_s, revision)

    def drop_expired(self, now_s: float) -> None:
        """Remove the instances whose last fetch is at least `ttl_s` old."""
        self.children = {
            name: child
            for name, child in self.children.items()
            if now_s - child.seen_at_s < self.ttl_s
        }

    def take_lagging(self, revision: int, now_s: float) -> dict[str, int]:
        """Return the instances below `revision` with their revisions, and record it as sent.

        Notes
        -----
        If the push is lost, the receiver catches up with its next fetch.
        """
        self.drop_expired(now_s)
        lagging = {}
        for name, child in self.children.items():
            if child.revision < revision:
                lagging[name] = child.revision
                child.revision = revision
        return lagging
