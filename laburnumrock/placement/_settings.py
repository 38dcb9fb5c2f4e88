"""Settings of a pool."""

from dataclasses import dataclass, field

from laburnumrock.quarantine import QuarantineSettings


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Settings of one pool and its scheduler.

    Parameters
    ----------
    pool_id : str
        Id of the pool.
    owner_epoch : int
        Epoch of the owner; a later owner has a higher one.
    policy : str
        Registered name of the placement policy.
    permit_ttl_s : float, > 0
        Time after which a permit is overdue unless it is renewed, in seconds. It then ends as soon
        as another request needs its capacity.
    max_overdue_s : float, >= 0
        Time after which an overdue permit ends although nothing needs its capacity, in seconds. The
        request of an entry instance that has died occupies an engine until then.
    permits_per_upstream : int, >= 1
        Maximum number of concurrent permits on an upstream that has warmed up.
    prefill_chunk_tokens : int, >= 1
        Prompt tokens that an engine processes in one step together with its decodes.
    decode_growth : float, >= 0
        Relative growth of a decode step with each sequence in the batch.
    step_overlap : float, in [0, 1]
        Fraction of the shorter of decode and prefill work that overlaps with the longer one in a
        step with both; 0 is the safe assumption for engines that were not measured.
    long_prefills_per_upstream : int, >= 1
        Maximum number of long prompts in prefill on one engine at once.
    cancel_repeat_s : float, > 0
        Interval at which an unconfirmed cancel is repeated on an upstream, in seconds.
    max_queued : int, >= 1
        Maximum queue length; further requests are refused.
    assumed_output_fraction : float, in (0, 1]
        Fraction of `max_output_tokens` that a request is expected to generate; used only for
        expected waits, never for memory or deadlines.
    quarantine : QuarantineSettings
        Limits for the prefixes of prompts that crash upstreams.
    """

    pool_id: str
    owner_epoch: int = 1
    policy: str = "length_aware"
    permit_ttl_s: float = 2.0
    max_overdue_s: float = 4.0
    permits_per_upstream: int = 64
    prefill_chunk_tokens: int = 1024
    decode_growth: float = 0.005
    step_overlap: float = 0.0
    long_prefills_per_upstream: int = 1
    cancel_repeat_s: float = 0.5
    max_queued: int = 10_000
    assumed_output_fraction: float = 1.0
    quarantine: QuarantineSettings = field(default_factory=QuarantineSettings)
