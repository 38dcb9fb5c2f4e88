"""Waiting requests, permits, and the ledger of one upstream."""

from dataclasses import dataclass, field

from laburnumrock.placement._messages import PermitGrant, PermitRequest, Placement
from laburnumrock.placement._prefixes import PrefixHints
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.rates import RequestLimit
from laburnumrock.routing import LengthClass
from laburnumrock.upstreams import SlowStartLimiter, UpstreamAnnouncement, UpstreamState


@dataclass(slots=True)
class WaitingRequest:
    """Permit request with the values that the scheduler derived from it.

    Parameters
    ----------
    sender : str
        Entry instance that sent the request.
    request : PermitRequest
        Request as received.
    length_class : LengthClass
        Length class of the request.
    arrived_s, deadline_s : float
        Clock readings at arrival and at the deadline, in seconds.
    latest_start_s : float
        Clock reading after which the request cannot finish in time, in seconds.
    order : float
        Sort key in the queue; lower is served first.
    fair_delay_s : float
        Delay imposed by fair queueing, in seconds.
    cost_s, prefill_s, held_s : float
        Expected engine time, prefill time and time for which KV memory is held, in seconds.
    kv_tokens : int
        KV memory that the request needs, in tokens.
    key : tuple of str and int
        Request id and attempt.
    """

    sender: str
    request: PermitRequest
    length_class: LengthClass
    arrived_s: float
    deadline_s: float
    latest_start_s: float = 0.0
    order: float = 0.0
    fair_delay_s: float = 0.0
    cost_s: float = 0.0
    prefill_s: float = 0.0
    held_s: float = 0.0
    kv_tokens: int = field(init=False)
    key: tuple[str, int] = field(init=False)

    def __post_init__(self) -> None:
        self.kv_tokens = self.request.prompt_tokens + self.request.max_output_tokens
        self.key = (self.request.request_id, self.request.attempt)


@dataclass(slots=True)
class Permit:
    """Granted permit and its state.

    Parameters
    ----------
    holder : str
        Entry instance that holds the permit.
    grant : PermitGrant
        The grant as sent.
    length_class : LengthClass
        Class of the request.
    expires_s : float
        Clock reading at which the permit expires unless it is renewed, in seconds.
    predicted_first_token_s : float
        Predicted time to the first token, in seconds.
    unconfirmed_upstreams : set of str
        Upstreams that have not confirmed the cancel of an ended permit.
    ended : bool
        Whether the permit has expired or was revoked.
    ended_s : float
        Clock reading at which the permit ended, in seconds.
    """

    holder: str
    grant: PermitGrant
    length_class: LengthClass
    expires_s: float
    predicted_first_token_s: float = 0.0
    unconfirmed_upstreams: set[str] = field(default_factory=set)
    ended: bool = False
    ended_s: float = 0.0


def make_signature(announcement: UpstreamAnnouncement) -> tuple:
    """Return the models, adapters and versions that decide which requests an upstream serves."""
    return (
        frozenset(announcement.models + announcement.services),
        frozenset(announcement.adapters),
        frozenset(announcement.versions),
    )


def matches_signature(signature: tuple, request: PermitRequest) -> bool:
    """Return whether upstreams with a signature serve the requested model, adapter and version."""
    models, adapters, versions = signature
    if request.model not in models:
        return False
    if request.adapter and adapters and request.adapter not in adapters:
        return False
    return not (request.version and versions and request.version not in versions)


class UpstreamLedger:
    """Exact record of the capacity that permits occupy on one upstream.

    Parameters
    ----------
    upstream_id : str
        Id of the upstream.
    settings : PoolSettings
        Settings of the pool.
    """

    def __init__(self, upstream_id: str, settings: PoolSettings) -> None:
        self.upstream_id = upstream_id
        self.settings = settings
        self.announcement: UpstreamAnnouncement | None = None
        self.kv_capacity = 0
        self.present = False
        self.in_service = True
        self.assumed_full = False
        self.slow_start = SlowStartLimiter(settings.permits_per_upstream)
        self.prefixes = PrefixHints()
        self.limit: RequestLimit | None = None
        self.at_limit = False
        self.permits: dict[str, Placement] = {}
        self.kv_used = 0
        self.unattributed: dict[str, int] = {}
        self.kv_unattributed = 0
        self.cancelling: set[str] = set()
        self.reserved_kv = 0
        self.reserved_for: tuple[str, int] | None = None
        self.prefill_end_s = 0.0
        self.max_prefill_end_s = 0.0
        self.later_parts: dict[str, int] = {}
        self.long_prefill_ends: list[float] = []
        self.signature: tuple = (frozenset(), frozenset(), frozenset())
        self.index_keys: tuple | None = None

    @property
    def base_url(self) -> str:
        """HTTP address; empty until the upstream is announced."""
        return self.announcement.base_url if self.announcement else ""

    @property
    def free_kv(self) -> int:
        """KV memory that is neither granted, held by unknown requests nor reserved, in tokens."""
        return self.kv_capacity - self.kv_used - self.kv_unattributed - self.reserved_kv

    @property
    def is_usable(self) -> bool:
        """Whether the upstream is announced, in service and not leaving."""
        return self.present and self.was_usable

    @property
    def was_usable(self) -> bool:
        """Whether the upstream is in service and was not leaving at its last announcement."""
        return (
            self.in_service
            and self.announcement is not None
            and self.announcement.state is not UpstreamState.LEAVING
        )

    @property
    def is_open(self) -> bool:
        """Whether the upstream may receive new requests now."""
        if self.assumed_full or self.at_limit or not self.is_usable:
            return False
        return self.slow_start.admits(len(self.permits))

    def apply(self, announcement: UpstreamAnnouncement) -> None:
        """Update the ledger from an announcement."""
        self.announcement = announcement
        self.kv_capacity = announcement.kv_capacity_tokens
        self.present = True
        self.signature = make_signature(announcement)
        self.slow_start.observe(announcement.incarnation, announcement.state)

    def set_limit(self, requests_per_s: float | None, now_s: float) -> None:
        """Apply the limit that the upstream states on its requests; None if it states none."""
        if requests_per_s is None:
            self.limit = None
        elif self.limit is None:
            self.limit = RequestLimit(requests_per_s, now_s, now_s)
        else:
            self.limit.restate(requests_per_s, now_s, now_s)
        self.update_at_limit(now_s)

    def count_request(self, now_s: float) -> None:
        """Count a request against the stated limit."""
        if self.limit is not None:
            self.limit.take()
            self.update_at_limit(now_s)

    def update_at_limit(self, now_s: float) -> bool:
        """Update whether the stated limit permits no request now; returns whether that changed."""
        before = self.at_limit
        self.at_limit = self.limit is not None and self.limit.wait_s(now_s) > 0
        return self.at_limit is not before

    def room_for(self, waiting: WaitingRequest) -> int:
        """Return the KV memory available to a request, including its own reservation."""
        if self.reserved_for == waiting.key:
            return self.free_kv + self.reserved_kv
        return self.free_kv

    def fits(self, waiting: WaitingRequest, kv_tokens: int) -> bool:
        """Return whether a request may use the given amount of KV memory."""
        return kv_tokens <= self.room_for(waiting)

    def serves(self, request: PermitRequest) -> bool:
        """Return whether the upstream serves a request and no earlier attempt excludes it."""
        if self.upstream_id in request.excluded_upstreams:
            return False
        if request.request_id in self.cancelling:
            return False
        return matches_signature(self.signature, request)

    def add(self, permit_id: str, placement: Placement) -> None:
        """Add a permit."""
        self.permits[permit_id] = placement
        self.kv_used += placement.kv_tokens

    def remove(self, permit_id: str) -> bool:
        """Remove a permit; returns False if it is unknown."""
        placement = self.permits.pop(permit_id, None)
        if placement is None:
            return False
        self.kv_used -= placement.kv_tokens
        self.later_parts.pop(permit_id, None)
        return True

    def set_unattributed(self, request_id: str, kv_tokens: int | None) -> None:
        """Set or, with None, remove memory that the engine holds without a known permit."""
        self.kv_unattributed -= self.unattributed.pop(request_id, 0)
        if kv_tokens is not None:
            self.unattributed[request_id] = kv_tokens
            self.kv_unattributed += kv_tokens

    def wait_s(self, now_s: float) -> float:
        """Return the expected time until prefill of a new request starts, in seconds."""
        return max(0.0, self.prefill_end_s - now_s)

    def count_long_prefills(self, now_s: float) -> int:
        """Return how many long prompts are expected to be in prefill, including later parts."""
        if self.long_prefill_ends:
            self.long_prefill_ends = [end_s for end_s in self.long_prefill_ends if end_s > now_s]
        return len(self.long_prefill_ends) + len(self.later_parts)

    def charge_prefill(self, tokens: int, is_long: bool, now_s: float) -> float:
        """Add a prefill after the queued ones; returns its expected end."""
        start_s = max(now_s, self.prefill_end_s)
        self.prefill_end_s = start_s + self.prefill_s(tokens, len(self.permits))
        full_batch = self.settings.permits_per_upstream
        max_start_s = max(now_s, self.max_prefill_end_s)
        self.max_prefill_end_s = max_start_s + self.prefill_s(tokens, full_batch)
        if is_long:
            self.long_prefill_ends.append(self.prefill_end_s)
        return self.prefill_end_s

    def clear_prefills(self, now_s: float) -> None:
        """Record that no prefill is running or queued, whatever was predicted."""
        self.prefill_end_s = min(self.prefill_end_s, now_s)
        self.max_prefill_end_s = min(self.max_prefill_end_s, now_s)
        self.long_prefill_ends.clear()

    def step_s(self, sequences: int) -> float:
        """Return the expected duration of a decode step for `sequences` sequences, in seconds."""
        base_s = self.announcement.decode_step_s if self.announcement else 0.0
        return base_s * (1.0 + self.settings.decode_growth * sequences)

    def chunk_s(self) -> float:
        """Return the time that one prefill chunk adds to a step, in seconds."""
        rate = self.announcement.prefill_tokens_per_s if self.announcement else 0.0
        return self.settings.prefill_chunk_tokens / rate if rate > 0 else 0.0

    def mixed_step_s(self, sequences: int) -> float:
        """Return the expected duration of a step with a prefill chunk and a decode batch."""
        decode_s = self.step_s(sequences) if sequences else 0.0
        chunk_s = self.chunk_s()
        overlap_s = self.settings.step_overlap * min(decode_s, chunk_s)
        return decode_s + chunk_s - overlap_s

    def prefill_s(self, tokens: int, sequences: int) -> float:
        """Return the duration of a prefill that runs alongside a decode batch, in seconds."""
        chunks = tokens / self.settings.prefill_chunk_tokens
        return chunks * self.mixed_step_s(sequences)

    def max_service_s(self, request: PermitRequest) -> float:
        """Return an upper bound on the time from the start of prefill to the finish, in seconds.

        Notes
        -----
        Engines process prefills first in, first out. Later permits thus delay a request only by
        making the batch larger and by adding prefill chunks to its decode steps. The bound assumes
        a full batch and a chunk in every step; hence no later grant can invalidate it.
        """
        full_batch = self.settings.permits_per_upstream
        decode_s = request.max_output_tokens * self.mixed_step_s(full_batch)
        return self.prefill_s(request.prompt_tokens, full_batch) + decode_s

    def max_finish_s(self, request: PermitRequest, now_s: float) -> float:
        """Return an upper bound on the finish time of a request that is granted now.

        The later parts of spanning prompts count in full, because their start time is not known.
        """
        start_s = max(now_s, self.max_prefill_end_s)
        if self.later_parts:
            full_batch = self.settings.permits_per_upstream
            start_s += self.prefill_s(sum(self.later_parts.values()), full_batch)
        return start_s + self.max_service_s(request)
