"""Messages between entries, the dispatcher and its standbys."""

from dataclasses import dataclass, field
from enum import StrEnum

from laburnumrock.messages import register_message


class UpstreamState(StrEnum):
    """What an upstream last said of itself."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class SendOutcome(StrEnum):
    """How one send to an upstream ended."""

    DONE = "done"
    ERROR = "error"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


@register_message
@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """What an upstream says of itself.

    Parameters
    ----------
    upstream_id : str
        Name of the upstream.
    service : str
        Service that it belongs to.
    host : str
        IP number.
    port : int
        Port for requests.
    failure_domain : str
        Where it runs.
    incarnation : int
        Start of the upstream in milliseconds since 1970; orders its incarnations.
    sequence : int
        Increases with each report of an incarnation.
    slots : int
        Requests that it runs at once.
    state : UpstreamState
        Its own word.
    cold_left_s : float
        Time for which it stays cold, as of this report.
    """

    upstream_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    incarnation: int
    sequence: int
    slots: int
    state: UpstreamState
    cold_left_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class DispatchCall:
    """Asks where to send a request.

    Parameters
    ----------
    request_id : str
        Id of the caller's attempt.
    attempt : int
        1 for the first placement of the request.
    service : str
        Service of the route.
    account : str
        Client account.
    priority : int
        Rank; 0 is the most urgent.
    prompt_tokens, output_tokens : int
        Size; 0 for requests that are not for a model.
    goal_s : float
        Time from now within which the answer counts in full.
    gap_goal_s : float
        Longest pause between events that counts in full.
    remaining_s : float
        Time from now until the caller stops waiting.
    excluded : list of str
        Upstreams that this request was sent to before.
    arrivals : int
        Sends before that may have reached an upstream; only those make this one a repeat, which
        the budget counts.
    """

    request_id: str
    attempt: int
    service: str
    account: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    goal_s: float
    gap_goal_s: float
    remaining_s: float
    excluded: list[str] = field(default_factory=list)
    arrivals: int = 0


@register_message
@dataclass(frozen=True, slots=True)
class Helper:
    """Engine that reads a part of a prompt.

    Parameters
    ----------
    upstream_id : str
        Name of the engine.
    host : str
        IP number.
    port : int
        Its port.
    reserved_tokens : int
        Memory to reserve there before the send; 0 when it only reads.
    """

    upstream_id: str
    host: str
    port: int
    reserved_tokens: int = 0


@register_message
@dataclass(frozen=True, slots=True)
class DispatchAnswer:
    """Where to send a request, or why not.

    Parameters
    ----------
    permit : int
        Number of the send; 0 for a refusal.
    upstream_id : str
        Upstream to send to.
    host : str
        IP number.
    port : int
        Its port.
    expected_first_s : float
        Predicted time from the send to the first event.
    helpers : list of Helper
        Engines that read parts of the prompt.
    refusal : str
        Error kind of a refusal; empty for a permit.
    retry_after_s : float
        When to come back after a refusal.
    ticket : int
        Number under which the request waits; the decision follows in `DispatchDecided`.
    """

    permit: int = 0
    upstream_id: str = ""
    host: str = ""
    port: int = 0
    expected_first_s: float = 0.0
    helpers: list[Helper] = field(default_factory=list)
    refusal: str = ""
    retry_after_s: float = 0.0
    ticket: int = 0


@register_message
@dataclass(frozen=True, slots=True)
class DispatchDecided:
    """Decision on a request that waited.

    Parameters
    ----------
    ticket : int
        Number under which it waited.
    answer : DispatchAnswer
        The decision.
    """

    ticket: int
    answer: DispatchAnswer


@register_message
@dataclass(frozen=True, slots=True)
class SendStarted:
    """The first event of a send arrived.

    Parameters
    ----------
    permit : int
        Number of the send.
    first_s : float
        Time from the send to the first event.
    """

    permit: int
    first_s: float


@register_message
@dataclass(frozen=True, slots=True)
class SendEnded:
    """A send ended.

    Parameters
    ----------
    permit : int
        Number of the send.
    outcome : SendOutcome
        How it ended.
    unresponsive : list of str
        Helpers that did not answer when memory was to be reserved.
    """

    permit: int
    outcome: SendOutcome
    unresponsive: list[str] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class SendStalled:
    """Nothing has come from a send for longer than expected.

    Parameters
    ----------
    permit : int
        Number of the send.
    """

    permit: int


@register_message
@dataclass(frozen=True, slots=True)
class StallAdvice:
    """What to do with a send that stalls.

    Parameters
    ----------
    give_up : bool
        Whether an engine that it needs is probably dead.
    """

    give_up: bool


@register_message
@dataclass(frozen=True, slots=True)
class ActiveSendReport:
    """A send that an entry still has under way, for a dispatcher that does not know it.

    Parameters
    ----------
    permit : int
        Number under which it was placed.
    upstream_id : str
        Upstream that runs it.
    prompt_tokens, output_tokens : int
        Its size.
    gap_goal_s : float
        Longest pause between events that counts in full.
    age_s : float
        Time since the send.
    writing : bool
        Whether its first event has arrived.
    helpers : list of str
        Engines that read parts of its prompt.
    """

    permit: int
    upstream_id: str
    prompt_tokens: int
    output_tokens: int
    gap_goal_s: float
    age_s: float
    writing: bool
    helpers: list[str] = field(default_factory=list)
