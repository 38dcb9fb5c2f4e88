"""Finds the requests and parts of prompts that crash upstreams, from the sends that break."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from laburnumrock.messages import register_message

REQUEST_PREFIX = "request:"
"""Prefix of the names of requests; the ids of parts contain no colon."""
DIGEST_DIGITS = 20
"""Hexadecimal digits of a digest that are used. Requests that are compared at a time number a few
thousand at most."""

MAX_REPORTED_REQUESTS = 32
"""Maximum number of requests in a report to another node."""
MAX_COUNTED_REQUESTS = 64
"""Maximum number of requests whose crashes are counted for a part."""


def name_request(digest: str) -> str:
    """Return the name of a request, which stands beside the parts of its prompt."""
    return REQUEST_PREFIX + digest[:DIGEST_DIGITS]


def is_request(name: str) -> bool:
    """Return whether a name is that of a request and not of a part of prompts."""
    return name.startswith(REQUEST_PREFIX)


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """When a request or a part of prompts is quarantined, and for how long.

    Parameters
    ----------
    suspect_crashes : int, >= 1
        Successive crashes, without a success, from which requests with a part are sent one at a
        time. A single crash makes the parts of all requests on an upstream suspicious.
    max_crashes : int, > `suspect_crashes`
        Successive crashes, without a success, after which a part is quarantined. A sound part that
        shares its upstreams with a harmful one reaches `suspect_crashes` as fast.
    max_request_crashes : int, > `suspect_crashes`
        The same for a request that comes again. Few sound requests are beside the same harmful one
        several times, so this may be less.
    duration_s : float, > 0
        Time after its last crash for which a part or a request is quarantined or suspected.
    max_suspects : int, > 0
        Maximum number of parts and requests with a history of crashes.
    """

    suspect_crashes: int = 2
    max_crashes: int = 4
    max_request_crashes: int = 3
    duration_s: float = 600.0
    max_suspects: int = 1_000


@register_message
@dataclass(frozen=True, slots=True)
class CrashedRequest:
    """Request under which upstreams crashed, as one node tells it to another.

    Parameters
    ----------
    name : str
        Name of the request.
    crashes : int
        Number of successive crashes.
    age_s : float
        Time since the last one.
    """

    name: str
    crashes: int
    age_s: float


@dataclass(slots=True)
class _CrashHistory:
    """Crashes of the upstreams that had a request, or one with a part, since the last success.

    Parameters
    ----------
    crashes : int
        Number of successive crashes.
    last_crash_s : float
        Monotonic clock reading at the last one that was counted.
    companions : frozenset of str
        Parts, including this one, that all requests contain whose upstreams crashed while the part
        was already suspected. Earlier ones may have been broken by another request.
    crashes_by_request : Counter of str
        How many of the crashes of a part each request with it was in.
    upstreams : set of str
        Upstreams that crashed under a request.
    is_shared : bool
        Whether the leader has this evidence, so that its decision replaces it.
    """

    crashes: int
    last_crash_s: float
    companions: frozenset[str]
    crashes_by_request: Counter[str] = field(default_factory=Counter)
    upstreams: set[str] = field(default_factory=set)
    is_shared: bool = True

    @property
    def independent_crashes(self) -> int:
        """Number of crashes, of which those under the most frequent request count as one."""
        most = max(self.crashes_by_request.values(), default=1)
        return max(1, self.crashes - most + 1)


class CrashQuarantine:
    """Finds the requests and parts of prompts that crash upstreams and must not be sent.

    A crash breaks all requests of an upstream, and those that are not at fault share most parts
    with those that are. A harmful part is told apart by two properties: no request that contains it
    succeeds, and the upstream of each one crashes. The same holds for a request that comes again.

    Parameters
    ----------
    settings : QuarantineSettings
        Limits.

    Notes
    -----
    Crashes are successive if the request of the later one was sent after the earlier one. Upstreams
    that fail together therefore count once, however many requests they break. Overlapping repeats
    of a request on several upstreams make it suspected, and the trial after them tells whether it
    is harmful or only frequent.

    The first crashes only make a part suspected, as they also break requests beside a harmful one.
    A dispatcher sends requests with a suspected part one at a time, each on an engine of its own if
    possible, so the later crashes tell whether the part is harmful.

    Parts that occur only together cannot be told apart. They form a group, and only requests that
    contain the whole group are refused. A success of another request with one of them, or a crash
    of one without some of them, reduces the group.

    Crashes under one request that comes again are evidence against this request alone, not against
    the parts that it shares with sound ones.

    All methods take the names of parts and, from `name_request`, of requests alike.
    """

    def __init__(self, settings: QuarantineSettings) -> None:
        self.settings = settings
        self.suspects: dict[str, _CrashHistory] = {}
        self.groups: list[frozenset[str]] = []

    def record_crash(
        self,
        parts: Iterable[str],
        started_s: float,
        now_s: float,
        is_shared: bool = True,
        upstream: str = "",
    ) -> None:
        """Record that the upstream of a request crashed.

        Parameters
        ----------
        parts : iterable of str
            The request, and the parts of its prompt that other requests may contain too.
        started_s : float
            Monotonic clock reading when the request was sent.
        now_s : float
            Monotonic clock in seconds.
        is_shared : bool
            Whether the leader learns of this crash too.
        upstream : str
            The upstream.
        """
        names = frozenset(parts)
        requests = frozenset(filter(is_request, names))
        prompt_parts = names - requests
        counted = [
            name
            for name in requests
            if self._count_request(name, requests, started_s, now_s, upstream)
        ]
        for part in prompt_parts:
            self._count(part, prompt_parts, counted, started_s, now_s)
        for name in names:
            self.suspects[name].is_shared = is_shared
        self._update_groups()

    def _count_request(
        self, name: str, companions: frozenset[str], started_s: float, now_s: float, upstream: str
    ) -> bool:
        """Count a crash under a request, whose repeats on several upstreams may overlap."""
        history = self.suspects.get(name)
        if (
            history is not None
            and history.crashes < self.settings.suspect_crashes
            and upstream not in history.upstreams
        ):
            started_s = max(started_s, history.last_crash_s)
        is_counted = self._count(name, companions, (), started_s, now_s)
        self.suspects[name].upstreams.add(upstream)
        return is_counted

    def _count(
        self,
        name: str,
        companions: frozenset[str],
        requests: Iterable[str],
        started_s: float,
        now_s: float,
    ) -> bool:
        """Count a crash, unless it began before the last one; return whether it counts."""
        history = self.suspects.get(name)
        if history is None:
            self._make_room()
            self.suspects[name] = _CrashHistory(1, now_s, companions, Counter(requests))
            return True
        history.crashes_by_request.update(requests)
        if len(history.crashes_by_request) > MAX_COUNTED_REQUESTS:
            most_common = history.crashes_by_request.most_common(MAX_COUNTED_REQUESTS // 2)
            history.crashes_by_request = Counter(dict(most_common))
        if started_s < history.last_crash_s:
            return False
        history.last_crash_s = now_s
        history.crashes += 1
        if history.crashes > self.settings.suspect_crashes + 1:
            history.companions &= companions
        else:
            history.companions = companions
        return True

    def record_success(self, parts: Iterable[str]) -> None:
        """Record that a request was answered completely, so neither it nor a part is harmful."""
        cleared = [part for part in parts if self.suspects.pop(part, None) is not None]
        if cleared:
            self._update_groups()

    def find_suspects(self, parts: Iterable[str]) -> frozenset[str]:
        """Return those of the parts that may have crashed upstreams."""
        if not self.suspects:
            return frozenset()
        limit = self.settings.suspect_crashes
        histories = self.suspects
        return frozenset(
            p for p in parts if p in histories and histories[p].independent_crashes >= limit
        )

    def is_quarantined_request(self, parts: Iterable[str]) -> bool:
        """Whether the request itself is quarantined, and not only a part that it contains."""
        return any(is_request(name) and frozenset({name}) in self.groups for name in parts)

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
        """Release the parts and requests whose time is over.

        Notes
        -----
        The first crash after the release puts a part or a request back into quarantine.
        """
        for name, history in list(self.suspects.items()):
            if now_s - history.last_crash_s < self.settings.duration_s:
                continue
            if self._is_quarantined(name):
                history.crashes = self._max_crashes(name) - 1
                history.crashes_by_request.clear()
                history.last_crash_s = now_s
            else:
                del self.suspects[name]
        self._update_groups()

    def list_groups(self) -> list[list[str]]:
        """Return the quarantined groups of parts in a fixed order."""
        return sorted(sorted(group) for group in self.groups)

    def restore(self, groups: Iterable[Iterable[str]], now_s: float) -> None:
        """Replace the quarantined groups by those that the leader has found.

        Notes
        -----
        Evidence that has not led to a quarantine, or that the leader does not have, is kept.
        """
        if groups == self.list_groups():
            return
        known = self.suspects
        self.suspects = {
            name: history
            for name, history in known.items()
            if not (history.is_shared and self._is_quarantined(name, history))
        }
        for group in map(frozenset, groups):
            for name in group:
                history = known.get(name)
                was_quarantined = history is not None and self._is_quarantined(name, history)
                last_crash_s = history.last_crash_s if was_quarantined else now_s
                self.suspects[name] = _CrashHistory(self._max_crashes(name), last_crash_s, group)
        self._update_groups()

    def list_crashed_requests(self, now_s: float) -> list[CrashedRequest]:
        """Return the requests with the most crashes, for nodes that may not know of them."""
        histories = filter(lambda item: is_request(item[0]), self.suspects.items())
        newest = sorted(histories, key=lambda item: (-item[1].crashes, -item[1].last_crash_s))
        return [
            CrashedRequest(name, history.crashes, now_s - history.last_crash_s)
            for name, history in newest[:MAX_REPORTED_REQUESTS]
        ]

    def merge(self, report: CrashedRequest, now_s: float) -> bool:
        """Apply what another node knows of a request, and return whether it was news."""
        history = self.suspects.get(report.name)
        if not is_request(report.name) or (history and history.crashes >= report.crashes):
            return False
        if history is None:
            self._make_room()
        crashed_s = now_s - report.age_s
        self.suspects[report.name] = _CrashHistory(
            report.crashes, crashed_s, frozenset({report.name}), is_shared=False
        )
        self._update_groups()
        return True

    def mark_shared(self) -> None:
        """Note that the leader has all evidence, so that its decisions replace it."""
        for history in self.suspects.values():
            history.is_shared = True

    def _max_crashes(self, name: str) -> int:
        settings = self.settings
        return settings.max_request_crashes if is_request(name) else settings.max_crashes

    def _is_quarantined(self, name: str, history: _CrashHistory | None = None) -> bool:
        history = history or self.suspects[name]
        if is_request(name):
            return history.crashes >= self.settings.max_request_crashes
        # Two crashes under one request are those of a send and its retry.
        limit = self.settings.max_crashes
        return history.crashes >= limit and history.independent_crashes >= limit - 1

    def _make_room(self) -> None:
        """Forget the name with the weakest history if there are too many."""
        if len(self.suspects) < self.settings.max_suspects:
            return
        histories = self.suspects.items()
        weakest, _ = min(histories, key=lambda item: (item[1].crashes, item[1].last_crash_s))
        del self.suspects[weakest]

    def _update_groups(self) -> None:
        quarantined = {name for name in self.suspects if self._is_quarantined(name)}
        groups = {self.suspects[name].companions & quarantined for name in quarantined}
        # A group that contains another one refuses no further requests.
        self.groups = [group for group in groups if not any(other < group for other in groups)]
