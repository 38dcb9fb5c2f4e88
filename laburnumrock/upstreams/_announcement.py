"""Announcement that an upstream sends about itself, as relayed between instances."""

from dataclasses import dataclass, field
from enum import StrEnum

from laburnumrock.messages import register_message


class UpstreamKind(StrEnum):
    """Kind of an upstream."""

    MODEL_ENGINE = "model_engine"
    APPLICATION_ENGINE = "application_engine"


class UpstreamState(StrEnum):
    """State that an upstream reports in its announcements."""

    COLD = "cold"
    WARMING = "warming"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of an engine's prefix cache; events may arrive late and with gaps.

    Parameters
    ----------
    sequence : int
        Sequence number; a gap means that events were lost.
    prefix_hash : str
        Hash of the cached prefix.
    event : str
        ``stored`` or ``evicted``.
    """

    sequence: int
    prefix_hash: str
    event: str


@register_message
@dataclass(frozen=True, slots=True)
class UpstreamAnnouncement:
    """Announcement of one upstream.

    Parameters
    ----------
    upstream_id, failure_domain : str
        Identifier and failure domain of the upstream.
    kind : UpstreamKind
        Model engine or application engine.
    incarnation : int
        Identifies one start of the upstream; a restart changes it.
    base_url : str
        Base URL without a path.
    models, adapters, versions, services : list of str
        Models, adapters, model versions and services that the upstream serves. An empty list of
        adapters or versions means no restriction.
    role : str
        Role of an engine; ``general`` unless an order changed it.
    kv_capacity_tokens : int
        KV memory in tokens; 0 for an application engine.
    prefill_tokens_per_s : float
        Prefill rate in tokens per second.
    decode_step_s : float
        Time of one decode step in seconds.
    state : UpstreamState
        State that the upstream reports.
    running, waiting : int
        Numbers of running and waiting requests in the engine.
    kv_used_tokens : int
        KV memory in use, in tokens.
    measured_age_s : float
        Age of the load figures in seconds.
    cache_events : list of CacheEvent
        Changes of the prefix cache since an earlier announcement.
    max_requests_per_s : float, optional
        Requests per second that the upstream takes from all instances together; None for no limit.
    """

    upstream_id: str
    kind: UpstreamKind
    failure_domain: str
    incarnation: int
    base_url: str
    models: list[str] = field(default_factory=list)
    adapters: list[str] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    services: list[str] = field(default_factory=list)
    role: str = "general"
    kv_capacity_tokens: int = 0
    prefill_tokens_per_s: float = 0.0
    decode_step_s: float = 0.0
    state: UpstreamState = UpstreamState.READY
    running: int = 0
    waiting: int = 0
    kv_used_tokens: int = 0
    measured_age_s: float = 0.0
    cache_events: list[CacheEvent] = field(default_factory=list)
    max_requests_per_s: float | None = None
