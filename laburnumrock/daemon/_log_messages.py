"""Messages by which any instance uses the replicated log."""

from dataclasses import dataclass
from enum import StrEnum

from laburnumrock.messages import register_message


class LogStatus(StrEnum):
    """What is known about a request to the log."""

    DONE = "done"
    NOT_APPENDED = "not_appended"
    UNCERTAIN = "uncertain"
    REFUSED = "refused"


@register_message
@dataclass(frozen=True, slots=True)
class Propose:
    """Asks for a command to be committed.

    Parameters
    ----------
    command : bytes
        Encoded command.
    timeout_s : float
        Longest wait for the commit.
    forwarded : bool
        Whether a voter passed the message on; it is not passed on twice.
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
        ``uncertain`` when the command was appended but not seen committed.
    answer : bytes, optional
        Encoded answer of the state.
    leader : str, optional
        Leader as far as known.
    detail : str
        Reason of a refusal.
    """

    status: LogStatus
    answer: bytes | None = None
    leader: str | None = None
    detail: str = ""


@register_message
@dataclass(frozen=True, slots=True)
class ReadState:
    """Asks for a confirmed read.

    Parameters
    ----------
    part : str, optional
        Part of the state to ask; None asks only for the confirmed index.
    question : bytes, optional
        Encoded question to the part.
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
        ``done`` when the read is confirmed.
    index : int
        The answer contains every command that was acknowledged before the read up to this index.
    answer : bytes, optional
        Encoded answer of the part.
    leader : str, optional
        Leader as far as known.
    """

    status: LogStatus
    index: int = 0
    answer: bytes | None = None
    leader: str | None = None


@register_message
@dataclass(frozen=True, slots=True)
class ChangeVoters:
    """Asks the leader to add or remove a voter.

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
