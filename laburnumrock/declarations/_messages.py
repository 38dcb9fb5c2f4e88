"""Messages and log commands for declarations and holds."""

from dataclasses import dataclass, field
from typing import Any

from laburnumrock.errors import ErrorKind
from laburnumrock.messages import register_message


@register_message
@dataclass(frozen=True, slots=True)
class ApplyChange:
    """Log command that changes declarations.

    Parameters
    ----------
    request_id : str
        Idempotency key chosen by the operator's client; a resend has the same one.
    base_revision : int
        Revision against which the change was planned.
    changes : list of dict
        Changes as JSON-compatible data that `parse_changes` accepts.
    operator : str
        Operator who requested the change.
    stamped_at_s : float
        Wall-clock time at which the change was received, in seconds since the epoch.
    """

    request_id: str
    base_revision: int
    changes: list[dict[str, Any]]
    operator: str
    stamped_at_s: float


@register_message
@dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """Response to `ApplyChange`; a resend gets the same response.

    Parameters
    ----------
    request_id : str
        Id of the request.
    revision : int
        Revision created by the change, or the current revision if the change was refused.
    kind : ErrorKind, optional
        Reason for the refusal; absent if the change was applied.
    detail : str
        Reason as text.
    field_path : str, optional
        Path of the invalid field.
    """

    request_id: str
    revision: int
    kind: ErrorKind | None = None
    detail: str = ""
    field_path: str | None = None


@register_message
@dataclass(frozen=True, slots=True)
class Hold:
    """Hold of a failure domain (an emergency drain without the log), or its removal.

    Parameters
    ----------
    failure_domain : str
        Domain that receives no new work while held.
    version : int
        Higher versions replace lower ones.
    held : bool
        False for a removed hold.
    operator : str
        Operator who requested it; of two holds with equal versions, the greater name wins.
    entered_revision : int, optional
        Revision of the declarations that contains the drain; from it on, only the log counts. For a
        removed hold, the revision at which the log has recorded the removal.
    removed_version : int, optional
        Version of the hold that this removal ends.
    """

    failure_domain: str
    version: int
    held: bool
    operator: str = ""
    entered_revision: int | None = None
    removed_version: int | None = None


@register_message
@dataclass(frozen=True, slots=True)
class EnterHold:
    """Log command that records a hold as a drained failure domain, or the removal of a hold.

    The removal restores the domain if the log contains the drain of the removed hold, which was on
    its way meanwhile, and no later change of the domain. A hold takes effect at most once, and not
    after a newer one of its domain.

    Parameters
    ----------
    hold : Hold
        The hold or its removal. It needs no base revision, as its version orders it.
    stamped_at_s : float
        Wall-clock time in seconds since the epoch.
    """

    hold: Hold
    stamped_at_s: float


@register_message
@dataclass(frozen=True, slots=True)
class HoldExchange:
    """Holds of the sender; the response is a `HoldExchange` with the receiver's merged holds.

    Parameters
    ----------
    holds : list of Hold
        All entries of the sender's hold registry.
    """

    holds: list[Hold]


@register_message
@dataclass(frozen=True, slots=True)
class DeclarationStep:
    """Changes from one revision to the next.

    Parameters
    ----------
    revision : int
        Revision created by the changes; they apply to `revision` - 1.
    changes : list of dict
        Changes as JSON-compatible data.
    """

    revision: int
    changes: list[dict[str, Any]]


@register_message
@dataclass(frozen=True, slots=True)
class DeclarationFetch:
    """Request for newer declarations and for confirmation that the sender's are current.

    Parameters
    ----------
    sequence : int
        Number of the request, echoed in the response.
    revision : int
        Revision that the sender has applied.
    holds : list of Hold
        Holds that the sender knows; only sent inside a failure domain.
    """

    sequence: int
    revision: int
    holds: list[Hold] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class DeclarationUpdate:
    """Push of newer declarations, or response to `DeclarationFetch`.

    Parameters
    ----------
    revision : int
        Revision of the sender.
    sequence : int, optional
        Number of the request; absent in a push.
    confirmed_age_s : float, optional
        Time since the log leader confirmed the sender's revision as current, in seconds.
    steps : list of DeclarationStep
        Changes since the receiver's revision, if the sender still has all of them.
    declarations : list of dict, optional
        Full set of declarations, if the steps are not available.
    holds : list of Hold
        Holds that the sender knows; only sent inside a failure domain.
    """

    revision: int
    sequence: int | None = None
    confirmed_age_s: float | None = None
    steps: list[DeclarationStep] = field(default_factory=list)
    declarations: list[dict[str, Any]] | None = None
    holds: list[Hold] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class InForceQuery:
    """Query whether a revision is in effect.

    Parameters
    ----------
    revision : int
        The revision.
    whole_domain : bool
        Whether the receiver must respond for all instances of its failure domain.
    """

    revision: int
    whole_domain: bool = False


@register_message
@dataclass(frozen=True, slots=True)
class InForceAnswer:
    """Response to `InForceQuery`.

    Parameters
    ----------
    revision : int
        Revision that the responding instance has applied.
    lagging : list of str
        Instances that have not applied the revision or did not respond.
    """

    revision: int
    lagging: list[str] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One applied change.

    Parameters
    ----------
    index : int
        Log index of the command.
    revision : int
        Revision created by the command.
    command : ApplyChange
        The command; for a hold recorded in the log, the equivalent change.
    """

    index: int
    revision: int
    command: ApplyChange


@register_message
@dataclass(frozen=True, slots=True)
class HistoryFetch:
    """Query for the latest changes, to which voters respond.

    Parameters
    ----------
    limit : int
        Maximum number of entries.
    """

    limit: int


@register_message
@dataclass(frozen=True, slots=True)
class HistoryAnswer:
    """Response to `HistoryFetch`.

    Parameters
    ----------
    entries : list of HistoryEntry, optional
        Newest entry last; absent if the responding instance is not a voter.
    """

    entries: list[HistoryEntry] | None = None
