"""Messages through which any instance uses the replicated log."""

from dataclasses import dataclass
from enum import StrEnum

from laburnumrock.messages import register_message


class LogStatus(StrEnum):
    """Outcome of a request to the log, as far as known."""

    DONE = "done"
    NOT_APPENDED = "not_appended"
    UNCERTAIN = "uncertain"
    REFUSED = "refused"


@register_message
@dataclass(frozen=True, slots=True)
class Propose:
    """Requests the commit of a command.

    Parameters
    ----------
    command : bytes
        Encoded command.
    timeout_s : float
        Maximum wait for the commit in seconds.
    forwarded : bool
        Whether a voter has forwarded the message; it is forwarded at most once.
    """

    command: bytes
    timeout_s: float
    forwarded: bool = False


@register_message
@dataclass(frozen=True, slots=True)
class ProposeAnswer:
    """Answer to `Propose` and `ChangeVoters`.

    Parameters
    ----------
    status : LogStatus
        ``uncertain`` when the command was appended but its commit was not observed.
    answer : bytes, optional
        Encoded response of the replicated state.
    leader : str, optional
        Current leader, if known.
    detail : str
        Reason of a rejection.
    """

    status: LogStatus
    answer: bytes | None = None
    leader: str | None = None
    detail: str = ""


@register_message
@dataclass(frozen=True, slots=True)
class ReadState:
    """Requests a linearizable read.

    Parameters
    ----------
    part : str, optional
        Part of the replicated state to query; None requests only the confirmed index.
    question : bytes, optional
        Encoded query for the part.
    forwarded : bool
        As in `Propose`.
    """

    part: str | None = None
    question: bytes | None = None
    forwarded: bool = False


@register_message
@dataclass(frozen=True, slots=True)
class ReadStateAnswer:
    """Answer to `ReadState`.

    Parameters
    ----------
    status : LogStatus
        ``done`` when a quorum confirmed the read.
    index : int
        Confirmed commit index; the answer reflects every command acknowledged before the read.
    answer : bytes, optional
        Encoded result of the query.
    leader : str, optional
        Current leader, if known.
    """

    status: LogStatus
    index: int = 0
    answer: bytes | None = None
    leader: str | None = None


@register_message
@dataclass(frozen=True, slots=True)
class LeaveVoters:
    """Asks the leader to remove a voter that is about to stop, if enough others remain.

    The answer is a `ProposeAnswer`: ``done`` if the voter may stop, else it asks again.

    Parameters
    ----------
    voter_id : str
        Identity of the voter.
    forwarded : bool
        As in `Propose`.
    """

    voter_id: str
    forwarded: bool = False


@register_message
@dataclass(frozen=True, slots=True)
class ChangeVoters:
    """Requests that the leader add or remove a voter.

    Parameters
    ----------
    action : str
        ``add`` or ``remove``.
    instance_id : str
        Instance to add or remove.
    forwarded : bool
        As in `Propose`.
    """

    action: str
    instance_id: str
    forwarded: bool = False
