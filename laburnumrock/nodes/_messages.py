"""Messages between entries and cores."""

from dataclasses import dataclass, field

from laburnumrock.dispatch import ActiveSendReport, UpstreamReport
from laburnumrock.messages import register_message


@register_message
@dataclass(frozen=True, slots=True)
class EntryHello:
    """An entry reports to a core.

    Parameters
    ----------
    failure_domain : str
        Where the entry runs.
    term : int
        Term of the leader of which the entry has a view; 0 for none.
    revision : int
        Revision of that view.
    routes_version : int
        Version of the routes in force there.
    permits : list of int
        Sends under way.
    sends : list of ActiveSendReport
        The same in full, for a leader that does not know them.
    """

    failure_domain: str
    term: int
    revision: int
    routes_version: int
    permits: list[int] = field(default_factory=list)
    sends: list[ActiveSendReport] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class EntryWelcome:
    """Answer to `EntryHello`.

    Parameters
    ----------
    leading : bool
        Whether this core decides for all instances.
    leader : str, optional
        Leader as far as known.
    term : int
        Term of the log.
    """

    leading: bool
    leader: str | None
    term: int


@register_message
@dataclass(frozen=True, slots=True)
class View:
    """What the leader tells every entry.

    Parameters
    ----------
    term, revision : int
        Order of the views.
    routes_version : int
        Version of the routes in force.
    document : bytes
        The routes as operators sent them, compressed; empty if the entry has them.
    drained : list of str
        Failure domains that are out of service.
    cores : list of str
        All cores.
    upstreams : list of UpstreamReport
        All upstreams.
    entry_count : int
        Entries that the leader hears of.
    """

    term: int
    revision: int
    routes_version: int
    document: bytes
    drained: list[str]
    cores: list[str]
    upstreams: list[UpstreamReport]
    entry_count: int = 1


@register_message
@dataclass(frozen=True, slots=True)
class UpstreamNews:
    """Reports of upstreams that a core received since its last message.

    Parameters
    ----------
    reports : list of UpstreamReport
        In the order of their arrival.
    left : list of str
        Upstreams that said they leave to a core which did not know them.
    """

    reports: list[UpstreamReport]
    left: list[str] = field(default_factory=list)
