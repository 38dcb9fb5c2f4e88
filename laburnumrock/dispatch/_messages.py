"""Messages between entry nodes, the dispatcher and its standbys."""

from dataclasses import dataclass, field
from enum import StrEnum

from laburnumrock.messages import register_message


class UpstreamState(StrEnum):
    """State of an upstream according to its last report."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class SendOutcome(StrEnum):
    """How one send to an upstream ended.

    Notes
    -----
    A send is `CRASHED` if its connection broke and the upstream then refused a new one, and
    `MISDIRECTED` if another upstream, which has taken over the address, responded.
    """

    DONE = "done"
    ERROR = "error"
    REFUSED = "refused"
    BROKEN = "broken"
    CRASHED = "crashed"
    MISDIRECTED = "misdirected"
    SILENT = "silent"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


UNRESPONSIVE_OUTCOMES = frozenset({SendOutcome.UNREACHABLE, SendOutcome.SILENT, SendOutcome.BROKEN})
"""Outcomes of sends whose upstream, or the path to it, may be at fault."""

ENDED_OUTCOMES = frozenset({SendOutcome.CRASHED, SendOutcome.MISDIRECTED})
"""Outcomes of sends that show that the process of the upstream has ended."""


@register_message
@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Periodic report of an upstream.

    Parameters
    ----------
    upstream_id : str
        Name of the upstream.
    service : str
        Service that the upstream belongs to.
    host : str
        IP address.
    port : int
        Port for requests.
    failure_domain : str
        Failure domain in which the upstream runs.
    incarnation : int
        Start time of the upstream in milliseconds since 1970; orders its incarnations.
    sequence : int
        Increases with each report of an incarnation.
    slots : int
        Requests that the upstream runs concurrently.
    state : UpstreamState
        State that the upstream reports.
    cold_left_s : float
        Remaining time, as of this report, in which the cold upstream accepts fewer requests.
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

    @property
    def address(self) -> tuple[str, int]:
        """Host and port, which belong to one upstream at a time."""
        return self.host, self.port


@register_message
@dataclass(frozen=True, slots=True)
class DispatchCall:
    """Asks the dispatcher to place a request.

    Parameters
    ----------
    request_id : str
        Id of the caller's attempt.
    attempt : int
        Number of the placement of the request, starting with 1.
    service : str
        Service of the route.
    account : str
        Client account.
    priority : int
        Priority; 0 is the highest.
    prompt_tokens, output_tokens : int
        Size of the request; 0 for requests that are not for a model.
    goal_s : float
        Latency target for the answer, from now.
    gap_goal_s : float
        Latency target for the time between events.
    remaining_s : float
        Time from now until the caller stops waiting.
    excluded : list of str
        Upstreams that this request was sent to before.
    arrivals : int
        Earlier sends that may have reached an upstream; only these make the request a retry that
        counts against the retry budget.
    parts : list of str
        Parts of the prompt that other requests may contain too, and the name of the request, which
        its repeats have too.
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
    parts: list[str] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class Helper:
    """Engine that prefills a part of a prompt for another engine.

    Parameters
    ----------
    upstream_id : str
        Name of the engine.
    host : str
        IP address.
    port : int
        Port for requests.
    reserved_tokens : int
        KV cache to reserve before the send; 0 if the engine only prefills.
    """

    upstream_id: str
    host: str
    port: int
    reserved_tokens: int = 0


@register_message
@dataclass(frozen=True, slots=True)
class DispatchAnswer:
    """Placement of a request, or its refusal.

    Parameters
    ----------
    permit : int
        Number of the send; 0 for a refusal.
    upstream_id : str
        Upstream that receives the request.
    host : str
        IP address.
    port : int
        Port for requests.
    expected_first_s : float
        Predicted time from the send to the first event.
    helpers : list of Helper
        Engines that prefill parts of the prompt.
    refusal : str
        Error kind of a refusal; empty if a permit is granted.
    retry_after_s : float
        Delay after which the caller should retry a refused request.
    ticket : int
        Number of the queued request; the decision follows in `DispatchDecided`.
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
    """Decision on a queued request.

    Parameters
    ----------
    ticket : int
        Number of the queued request.
    answer : DispatchAnswer
        The decision.
    """

    ticket: int
    answer: DispatchAnswer


@register_message
@dataclass(frozen=True, slots=True)
class WithdrawCall:
    """Withdraws a queued request that the entry node no longer waits for.

    Parameters
    ----------
    ticket : int
        Number of the queued request.
    """

    ticket: int


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
    parts : list of str
        As in `DispatchCall`, if the send succeeded or crashed the upstream.
    duration_s : float
        Time since the send began.
    is_unlimited : bool
        Whether the upstream responded with success and without a limit on its requests.
    crashed_upstream : str
        The upstream, if it crashed.
    """

    permit: int
    outcome: SendOutcome
    unresponsive: list[str] = field(default_factory=list)
    parts: list[str] = field(default_factory=list)
    duration_s: float = 0.0
    is_unlimited: bool = False
    crashed_upstream: str = ""


@register_message
@dataclass(frozen=True, slots=True)
class LimitReport:
    """Limit that an upstream stated on its requests.

    Parameters
    ----------
    upstream_id : str
        Name of the upstream.
    requests_per_s : float
        Requests per second that it takes from all instances together.
    age_s : float
        Time since the newest response that stated it.
    """

    upstream_id: str
    requests_per_s: float
    age_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class SendStalled:
    """The next event of a send is overdue.

    Parameters
    ----------
    permit : int
        Number of the send.
    """

    permit: int


@register_message
@dataclass(frozen=True, slots=True)
class StallAdvice:
    """Advice on a stalled send.

    Parameters
    ----------
    give_up : bool
        Whether to abandon the send because an engine that it needs is probably dead.
    """

    give_up: bool


@register_message
@dataclass(frozen=True, slots=True)
class ActiveSendReport:
    """Active send of an entry node, for a new dispatcher that does not know it.

    Parameters
    ----------
    permit : int
        Number of the send.
    upstream_id : str
        Upstream that runs the request.
    prompt_tokens, output_tokens : int
        Size of the request.
    gap_goal_s : float
        Latency target for the time between events.
    age_s : float
        Time since the request was sent.
    writing : bool
        Whether its first event has arrived.
    helpers : list of str
        Engines that prefill parts of the prompt.
    """

    permit: int
    upstream_id: str
    prompt_tokens: int
    output_tokens: int
    gap_goal_s: float
    age_s: float
    writing: bool
    helpers: list[str] = field(default_factory=list)
