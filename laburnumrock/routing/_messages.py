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
    """Takes a failure domain out of service, or back.

    Parameters
    ----------
    failure_domain : str
        Domain whose upstreams get no new requests while `drained` is true.
    drained : bool
        The new state.
    """

    failure_domain: str
    drained: bool


@register_message
@dataclass(frozen=True, slots=True)
class SetQuarantine:
    """Replaces the quarantined groups of prompt parts.

    Parameters
    ----------
    groups : list of list of str
        A request whose prompt contains all parts of a group is refused.
    """

    groups: list[list[str]]


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
    """

    version: int
    changed: bool


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
