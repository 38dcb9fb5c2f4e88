"""Messages between entry nodes and cores."""

from dataclasses import dataclass, field

from laburnumrock.dispatch import ActiveSendReport, LimitReport, UpstreamReport
from laburnumrock.messages import register_message
from laburnumrock.quarantine import CrashedRequest


@register_message
@dataclass(frozen=True, slots=True)
class EntryHello:
    """Periodic report of an entry node to a core.

    Parameters
    ----------
    failure_domain : str
        Failure domain in which the entry node runs.
    term : int
        Term of the leader that sent the current view of the entry node; 0 for none.
    revision : int
        Revision of that view.
    routes_version : int
        Version of the routes in force on the entry node.
    permits : list of int
        Permit numbers of all active sends.
    sends : list of ActiveSendReport
        The active sends in full, for a leader that does not know them.
    limits : list of LimitReport
        Limits that upstreams stated, as far as the entry node knows.
    crashed_requests : list of CrashedRequest
        Requests under which upstreams crashed, for a leader that does not know them.
    """

    failure_domain: str
    term: int
    revision: int
    routes_version: int
    permits: list[int] = field(default_factory=list)
    sends: list[ActiveSendReport] = field(default_factory=list)
    limits: list[LimitReport] = field(default_factory=list)
    crashed_requests: list[CrashedRequest] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class CrashedRequests:
    """Tells other entry nodes under which requests upstreams crashed, while there is no leader.

    Parameters
    ----------
    requests : list of CrashedRequest
        The requests.
    """

    requests: list[CrashedRequest]


@register_message
@dataclass(frozen=True, slots=True)
class EntryWelcome:
    """Answer to `EntryHello`.

    Parameters
    ----------
    leading : bool
        Whether this core is the leader and dispatches requests.
    leader : str, optional
        Current leader, if known.
    term : int
        Current term of the replicated log.
    failure_domain : str
        Failure domain in which the core runs.
    limits : list of LimitReport
        Limits that upstreams stated, including those of the hello, if this core leads.
    entry_count : int
        Number of entry nodes that send hellos to this core.
    """

    leading: bool
    leader: str | None
    term: int
    failure_domain: str = ""
    limits: list[LimitReport] = field(default_factory=list)
    entry_count: int = 1


@register_message
@dataclass(frozen=True, slots=True)
class View:
    """State that the leader sends to all entry nodes, whole or as changes of an earlier view.

    Parameters
    ----------
    term, revision : int
        Version of the view; views are ordered by term, then revision.
    routes_version : int
        Version of the routes in force.
    document : bytes
        The routes as the operator sent them, compressed; empty if the entry node has them.
    drained : list of str
        Failure domains that are out of service.
    cores : list of str
        All cores.
    upstreams : list of UpstreamReport
        All upstreams, or those that changed since the base view.
    base_revision : int
        Revision of the view of the same term that this one changes; 0 for a whole view.
    removed : list of str
        Upstreams that the base view contains and this one does not.
    quarantined : list of list of str
        Groups of prompt parts, and requests that come again; a request whose prompt contains all
        parts of a group is refused.
    entries : list of str
        All entry nodes, perhaps with some that have stopped; empty if the base view names them.
    """

    term: int
    revision: int
    routes_version: int
    document: bytes
    drained: list[str]
    cores: list[str]
    upstreams: list[UpstreamReport]
    base_revision: int = 0
    removed: list[str] = field(default_factory=list)
    quarantined: list[list[str]] = field(default_factory=list)
    entries: list[str] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class UpstreamNews:
    """Reports of upstreams that a core received since its last message.

    Parameters
    ----------
    reports : list of UpstreamReport
        Reports in the order of arrival.
    left : list of str
        Upstreams that announced their departure to a core that did not know them.
    """

    reports: list[UpstreamReport]
    left: list[str] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class ConfirmDeparture:
    """Asks the leader to confirm that an upstream gets no new requests.

    Parameters
    ----------
    upstream_id : str
        Name of the upstream.
    report : UpstreamReport, optional
        Report in which the upstream leaves or has left; None if the asking core does not know it.
    """

    upstream_id: str
    report: UpstreamReport | None = None


@register_message
@dataclass(frozen=True, slots=True)
class DepartureConfirmed:
    """Answer to `ConfirmDeparture`.

    Parameters
    ----------
    confirmed : bool
        Whether this core is the leader and places no further requests on the upstream.
    """

    confirmed: bool
