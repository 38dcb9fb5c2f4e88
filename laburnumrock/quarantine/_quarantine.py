"""Finds the parts of prompts that crash upstreams, from the requests that their crashes break."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """When a part of a prompt is quarantined, and for how long.

    Parameters
    ----------
    suspect_crashes : int, >= 1
        Successive crashes, without a success, from which requests with a part are sent one at a
        time. A single crash makes the parts of all requests on an upstream suspicious.
    max_crashes : int, > `suspect_crashes`
        Successive crashes, without a success, after which a part is quarantined. A sound part that
        shares its upstreams with a harmful one reaches `suspect_crashes` as fast.
    duration_s : float, > 0
        Time after its last crash for which a part is quarantined or suspected.
    max_suspects : int, > 0
        Maximum number of parts with a history of crashes.
    """

    suspect_crashes: int = 2
    max_crashes: int = 4
    duration_s: float = 600.0
    max_suspects: int = 1_000


@dataclass(slots=True)
class _CrashHistory:
    """Crashes of the upstreams that had a request with one part since the last success.

    Parameters
    ----------
    crashes : int
        Number of successive crashes.
    last_crash_s : float
        Monotonic clock reading at the last one that was counted.
    companions : frozenset of str
        Parts, including this one, that all requests contain whose upstreams crashed while the part
        was already suspected. Earlier ones may have been broken by another request.
    """

    crashes: int
    last_crash_s: float
    companions: frozenset[str]


class CrashQuarantine:
    """Finds the parts of prompts that crash upstreams, and the requests that must not be sent.

    A crash breaks all requests of an upstream, and those that are not at fault share most parts
    with those that are. A harmful part is told apart by two properties: no request that contains it
    succeeds, and the upstream of each one crashes.

    Parameters
    ----------
    settings : QuarantineSettings
        Limits.

    Notes
    -----
    Crashes are successive if the request of the later one was sent after the earlier one. Upstreams
    that fail together therefore count once, however many requests they break.

    The first crashes only make a part suspected, as they also break requests beside a harmful one.
    A dispatcher sends requests with a suspected part one at a time, each on an engine of its own if
    possible, so the later crashes tell whether the part is harmful.

    Parts that occur only together cannot be told apart. They form a group, and only requests that
    contain the whole group are refused. A success of another request with one of them, or a crash
    of one without some of them, reduces the group.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self.settings = settings
        self.suspects: dict[str, _CrashHistory] = {}
        self.groups: list[frozenset[str]] = []

    def record_crash(self, parts: Iterable[str], started_s: float, now_s: float) -> None:
        """Record that the upstream of a request crashed.

        Parameters
        ----------
        parts : iterable of str
            Parts of the prompt that other requests may contain too.
        started_s : float
            Monotonic clock reading when the request was sent.
        now_s : float
            Monotonic clock in seconds.
        """
        parts = frozenset(parts)
        for part in parts:
            history = self.suspects.get(part)
            if history is None:
                self._make_room()
                self.suspects[part] = _CrashHistory(1, now_s, parts)
                continue
            if started_s < history.last_crash_s:
                continue
            history.last_crash_s = now_s
            history.crashes += 1
            if history.crashes > self.settings.suspect_crashes + 1:
                history.companions &= parts
            else:
                history.companions = parts
        self._update_groups()

    def record_success(self, parts: Iterable[str]) -> None:
        """Record that a request was answered completely, so none of its parts is harmful."""
        cleared = [part for part in parts if self.suspects.pop(part, None) is not None]
        if cleared:
            self._update_groups()

    def find_suspects(self, parts: Iterable[str]) -> frozenset[str]:
        """Return those of the parts that may have crashed upstreams."""
        if not self.suspects:
            return frozenset()
        limit = self.settings.suspect_crashes
        histories = self.suspects
        return frozenset(p for p in parts if p in histories and histories[p].crashes >= limit)

    def find_release_s(self, parts: Iterable[str], now_s: float) -> float:
        """Return the time until a request may be sent; 0 if it contains no quarantined group."""
        if not self.groups:
            return 0.0
        parts = frozenset(parts)
        releases_s = [
            max(self.suspects[part].last_crash_s for part in group) + self.settings.duration_s
            for group in self.groups
            if group <= parts
        ]
        return max(0.0, max(releases_s, default=0.0) - now_s)

    def expire(self, now_s: float) -> None:
        """Release the parts whose time is over.

        Notes
        -----
        The first crash after the release puts a part back into quarantine.
        """
        settings = self.settings
        for part, history in list(self.suspects.items()):
            if now_s - history.last_crash_s < settings.duration_s:
                continue
            if history.crashes >= settings.max_crashes:
                history.crashes = settings.max_crashes - 1
                history.last_crash_s = now_s
            else:
                del self.suspects[part]
        self._update_groups()

    def list_groups(self) -> list[list[str]]:
        """Return the quarantined groups of parts in a fixed order."""
        return sorted(sorted(group) for group in self.groups)

    def restore(self, groups: Iterable[Iterable[str]], now_s: float) -> None:
        """Replace all histories by the quarantined groups that another dispatcher has found."""
        if groups == self.list_groups():
            return
        known, self.suspects = self.suspects, {}
        for group in map(frozenset, groups):
            for part in group:
                history = known.get(part)
                was_quarantined = (
                    history is not None and history.crashes >= self.settings.max_crashes
                )
                last_crash_s = history.last_crash_s if was_quarantined else now_s
                self.suspects[part] = _CrashHistory(self.settings.max_crashes, last_crash_s, group)
        self._update_groups()

    def _make_room(self) -> None:
        """Forget the part with the weakest history if there are too many."""
        if len(self.suspects) < self.settings.max_suspects:
            return
        histories = self.suspects.items()
        weakest, _ = min(histories, key=lambda item: (item[1].crashes, item[1].last_crash_s))
        del self.suspects[weakest]

    def _update_groups(self) -> None:
        limit = self.settings.max_crashes
        quarantined = {part for part, one in self.suspects.items() if one.crashes >= limit}
        groups = {self.suspects[part].companions & quarantined for part in quarantined}
        # A group that contains another one refuses no further requests.
        self.groups = [group for group in groups if not any(other < group for other in groups)]
