"""Messages about declarations."""

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
        Chosen by the operator's client; a resend carries the same one.
    base_revision : int
        Revision against which the change was planned.
    changes : list of dict
        Plain changes as accepted by `parse_changes`.
    operator : str
        Who ordered the change.
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
    """Answer to `ApplyChange`; a resend gets the same one.

    Parameters
    ----------
    request_id : str
        Request that is answered.
    revision : int
        Revision that the change made, or the current revision at the refusal.
    kind : ErrorKind, optional
        Reason of a refusal; absent when the change was applied.
    detail : str
        Reason in words.
    field_path : str, optional
        Path of the faulty field.
    """

    request_id: str
    revision: int
    kind: ErrorKind | None = None
    detail: str = ""
    field_path: str | None = None


@register_message
@dataclass(frozen=True, slots=True)
class Hold:
    """Local hold of a failure domain, or its removal.

    Parameters
    ----------
    failure_domain : str
        Domain that gets no new work while held.
    version : int
        Higher versions replace lower ones.
    held : bool
        False for a removed hold.
    operator : str
        Who ordered it; the greater name wins between equal versions.
    entered_revision : int, optional
        Revision from which the log holds the drain; from then on the log alone decides.
    """

    failure_domain: str
    version: int
    held: bool
    operator: str = ""
    entered_revision: int | None = None


@register_message
@dataclass(frozen=True, slots=True)
class EnterHold:
    """Log command that enters a local hold as a drained failure domain, once per hold.

    Parameters
    ----------
    hold : Hold
        The hold. It needs no base revision, because a hold only removes capacity.
    stamped_at_s : float
        Wall-clock time in seconds since the epoch.
    """

    hold: Hold
    stamped_at_s: float


@register_message
@dataclass(frozen=True, slots=True)
class HoldExchange:
    """Holds of the sender; the answer is a `HoldExchange` with the merged holds of the receiver.

    Parameters
    ----------
    holds : list of Hold
        All entries of the hold book.
    """

    holds: list[Hold]


@register_message
@dataclass(frozen=True, slots=True)
class DeclarationStep:
    """Changes from one revision to the next.

    Parameters
    ----------
    revision : int
        Revision that the changes made; they apply to `revision` - 1.
    changes : list of dict
        Plain changes.
    """

    revision: int
    changes: list[dict[str, Any]]


@register_message
@dataclass(frozen=True, slots=True)
class DeclarationFetch:
    """Question for newer declarations, and their confirmation.

    Parameters
    ----------
    sequence : int
        Number of the question; the answer repeats it.
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
    """Push of newer declarations, or answer to `DeclarationFetch`.

    Parameters
    ----------
    revision : int
        Revision of the sender.
    sequence : int, optional
        Number of the question; absent in a push.
    confirmed_age_s : float, optional
        Time since a leader confirmed the sender's revision as current, in seconds.
    steps : list of DeclarationStep
        Changes since the receiver's revision, when the sender still has all of them.
    declarations : list of dict, optional
        Whole set, when the steps are not available.
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
    """Question whether a revision is in force.

    Parameters
    ----------
    revision : int
        The revision.
    whole_domain : bool
        Whether the receiver answers for all instances of its failure domain.
    """

    revision: int
    whole_domain: bool = False


@register_message
@dataclass(frozen=True, slots=True)
class InForceAnswer:
    """Answer to `InForceQuery`.

    Parameters
    ----------
    revision : int
        Revision that the answering instance has applied.
    lagging : list of str
        Instances that have not applied the revision or did not answer.
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
        Revision that it made.
    command : ApplyChange
        The command; a hold that entered the log appears as the change that it made.
    """

    index: int
    revision: int
    command: ApplyChange


@register_message
@dataclass(frozen=True, slots=True)
class HistoryFetch:
    """Question for the last changes, answered by voters.

    Parameters
    ----------
    limit : int
        Largest number of entries.
    """

    limit: int


@register_message
@dataclass(frozen=True, slots=True)
class HistoryAnswer:
    """Answer to `HistoryFetch`.

    Parameters
    ----------
    entries : list of HistoryEntry, optional
        Newest entry last; absent when the receiver is no voter.
    """

    entries: list[HistoryEntry] | None = None
