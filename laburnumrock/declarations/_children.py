"""Instances that fetch declarations from this one."""

from dataclasses import dataclass


@dataclass(slots=True)
class _Child:
    seen_at_s: float
    revision: int


class ChildTable:
    """Instances that fetched lately, with the revisions that they have or were sent.

    Parameters
    ----------
    ttl_s : float, > 0
        Time after its last fetch for which an instance gets pushes, in seconds.
    """

    def __init__(self, ttl_s: float) -> None:
        self.ttl_s = ttl_s
        self.children: dict[str, _Child] = {}

    def record(self, name: str, revision: int, now_s: float) -> None:
        """Record a fetch of an instance that has applied `revision`."""
        self.children[name] = _Child(now_s, revision)

    def forget_old(self, now_s: float) -> None:
        """Drop the instances that no longer fetch."""
        self.children = {
            name: child
            for name, child in self.children.items()
            if now_s - child.seen_at_s < self.ttl_s
        }

    def take_behind(self, revision: int, now_s: float) -> dict[str, int]:
        """Return the instances below `revision` with their revisions, and count them as sent.

        Notes
        -----
        A lost push leaves a gap at the receiver, which its next fetch fills.
        """
        self.forget_old(now_s)
        behind = {}
        for name, child in self.children.items():
            if child.revision < revision:
                behind[name] = child.revision
                child.revision = revision
        return behind
