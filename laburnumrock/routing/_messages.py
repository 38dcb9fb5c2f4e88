"""Commands and queries of the replicated routes."""

from dataclasses import dataclass, field

from laburnumrock.messages import register_message


@register_message
@dataclass(frozen=True, slots=True)
class StoreRoutes:
    """Stores a version of the routes unless an equal or higher one is stored.

    Parameters
    ----------
    version : int
        Version of the document.
    document : bytes
        The document as the operator sent it, compressed with zlib.
    """

    version: int
    document: bytes


@register_message
@dataclass(frozen=True, slots=True)
class SetDrain:
    """Takes a failure domain out of service, or back, unless a newer order has done either.

    Parameters
    ----------
    failure_domain : str
        Domain whose upstreams get no new requests while `drained` is true.
    drained : bool
        The new state.
    order_id : str
        Identifies the order, which may be proposed more than once.
    base_index : int
        Log index that was confirmed as current while the caller of the order was waiting. Orders of
        the domain with a higher index are newer.
    """

    failure_domain: str
    drained: bool
    order_id: str
    base_index: int


@register_message
@dataclass(frozen=True, slots=True)
class SetQuarantine:
    """Replaces the quarantined groups of prompt parts, unless a later command has done so.

    Parameters
    ----------
    groups : list of list of str
        A request whose prompt contains all parts of a group is refused.
    term : int
        Raft term of the leader that proposes the groups.
    sequence : int
        Number of the proposal of that leader; together with `term` it orders the commands.
    """

    groups: list[list[str]]
    term: int
    sequence: int


@register_message
@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """State after a command.

    Parameters
    ----------
    version : int
        Version that is now in force.
    changed : bool
        Whether the command changed anything.
    superseded : bool
        Whether the command had no effect because a newer one was applied before it.
    """

    version: int
    changed: bool
    superseded: bool = False


@register_message
@dataclass(frozen=True, slots=True)
class RouteDocumentQuery:
    """Queries the version in force."""


@register_message
@dataclass(frozen=True, slots=True)
class RouteDocument:
    """The version in force.

    Parameters
    ----------
    version : int
        Version of the document; 0 before the first one.
    document : bytes
        Compressed document; empty before the first one.
    drained : list of str
        Failure domains that are out of service.
    quarantined : list of list of str
        Groups of prompt parts; a request whose prompt contains all parts of a group is refused.
    """

    version: int = 0
    document: bytes = b""
    drained: list[str] = field(default_factory=list)
    quarantined: list[list[str]] = field(default_factory=list)
