"""Placement policy that keeps long prompts from delaying short ones."""

import math
import random
from collections.abc import Callable

from laburnumrock.placement._fairness import AccountFairness
from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._policies import PlacementPolicy, register_policy
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.placement._table import UpstreamTable
from laburnumrock.routing import LengthClass

# Added to the queue order of a class, in seconds. The order grows with the arrival time, so that a
# request that has waited long enough is served first whatever its class (ageing).
CLASS_OFFSET_S = {
    LengthClass.SHORT: 0.0,
    LengthClass.MEDIUM: 2.0,
    LengthClass.LONG: 10.0,
    LengthClass.SPANNING: 10.0,
}
PRIORITY_STEP_S = 30.0
# An upstream whose queued prefills end within this time counts as ready for a short request.
READY_WAIT_S = 0.1
# Longest prefill backlog of an upstream that may get a medium or long prompt. Beyond it, these wait
# in the queue, where their order can still change and they hold no memory.
MAX_BACKLOG_S = 1.0
# Target prefill load of the upstreams that serve medium and long prompts; above it, fewer upstreams
# are kept ready for short prompts.
TARGET_PREFILL_LOAD = 0.65
DEMAND_WINDOW_S = 20.0
# Fraction of each engine's KV memory that medium and long prompts leave free: a minimum plus the
# mean use by short prompts times a factor for its variation, up to a maximum.
MIN_KV_HEADROOM = 0.08
MAX_KV_HEADROOM = 0.25
KV_HEADROOM_FACTOR = 1.4
HEADROOM_PERIOD_S = 1.0


@register_policy("length_aware")
class LengthAwarePolicy(PlacementPolicy):
    """Headroom for short prompts, a cap on long prefills, ageing and fair queueing.

    The headroom is a number of upstreams, not a fixed set: a medium or long prompt may start on any
    upstream as long as enough others remain without a prefill backlog. Memory is thus not
    partitioned.
    """

    def __init__(self, settings: PoolSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self.fairness = AccountFairness()
        self.prefill_demand_s = 0.0
        self.short_kv_demand = 0.0
        self.updated_s: float | None = None
        self.upstream_headroom = 0
        self.upstream_count = 1

    def record_arrival(self, waiting: WaitingRequest, now_s: float) -> None:
        """Update the KV demand of short prompts or the prefill demand of all others."""
        if waiting.length_class is LengthClass.SHORT:
            self.short_kv_demand += waiting.kv_tokens * waiting.held_s
        else:
            self.prefill_demand_s += waiting.prefill_s

    def observe(self, table: UpstreamTable, now_s: float) -> None:
        """Adjust the headroom for short prompts to the recent demand."""
        if self.updated_s is not None and now_s < self.updated_s + HEADROOM_PERIOD_S:
            return
        elapsed_s = 0.0 if self.updated_s is None else now_s - self.updated_s
        self.updated_s = now_s
        decay = math.exp(-elapsed_s / DEMAND_WINDOW_S)
        self.prefill_demand_s *= decay
        self.short_kv_demand *= decay
        count = len(table.capacities)
        self.upstream_count = max(1, count)
        needed = self.prefill_demand_s / DEMAND_WINDOW_S / TARGET_PREFILL_LOAD
        # A quarter of the pool, but at least one upstream, is kept for short prompts whatever the
        # demand of the others. A pool of one upstream keeps none.
        min_headroom = max(1, count // 4) if count > 1 else 0
        self.upstream_headroom = max(min_headroom, min(count // 2, count - math.ceil(needed)))

        self.kv_headroom = self._compute_kv_headroom(table)

    def _compute_kv_headroom(self, table: UpstreamTable) -> int:
        if not table.capacities:
            return 0
        needed = self.short_kv_demand / DEMAND_WINDOW_S / self.upstream_count
        largest = table.largest_engine_tokens
        wanted = MIN_KV_HEADROOM * largest + KV_HEADROOM_FACTOR * needed
        return int(min(MAX_KV_HEADROOM * largest, wanted))

    def rank(self, waiting: WaitingRequest, now_s: float) -> float:
        """Order by fairness tag, length class with ageing, and priority."""
        request = waiting.request
        cost_s = waiting.cost_s / self.upstream_count
        tag_s = self.fairness.assign_tag(request.client_account, request.caller, cost_s, now_s)
        waiting.fair_delay_s = tag_s - now_s
        class_s = CLASS_OFFSET_S[waiting.length_class]
        return tag_s + class_s - request.priority * PRIORITY_STEP_S

    def choose(
        self, waiting: WaitingRequest, table: UpstreamTable, now_s: float
    ) -> UpstreamLedger | None:
        """Choose the earliest expected finish; only short prompts may use the headroom."""
        if waiting.length_class is LengthClass.SHORT:
            return super().choose(waiting, table, now_s)
        accepts = self._make_filter(waiting, table, now_s)
        if waiting.length_class is not LengthClass.LONG:
            found = self.choose_by_wait(waiting, table, now_s, accepts)
            if found is not None:
                return found
        return self.choose_by_memory(waiting, table, now_s, accepts)

    def _make_filter(
        self, waiting: WaitingRequest, table: UpstreamTable, now_s: float
    ) -> Callable[[UpstreamLedger], bool]:
        """Return a filter that enforces headroom and caps for a medium or long prompt."""
        groups = table.groups_for(waiting.request)
        ready = sum(table.count_ready(group, now_s + READY_WAIT_S) for group in groups)
        has_spare = ready > self.upstream_headroom
        is_long = waiting.length_class is LengthClass.LONG

        def accepts(ledger: UpstreamLedger) -> bool:
            # A prompt too large to leave the headroom free may use all memory of an upstream.
            max_left = ledger.kv_capacity - waiting.kv_tokens
            left = ledger.room_for(waiting) - waiting.kv_tokens
            is_reserved = ledger.reserved_for == waiting.key
            if left < min(self.kv_headroom, max_left) and not is_reserved:
                return False
            wait_s = ledger.wait_s(now_s)
            if is_long and ledger.count_long_prefills(now_s) >= (
                self.settings.long_prefills_per_upstream
            ):
                return False
            return wait_s <= MAX_BACKLOG_S and (has_spare or wait_s > READY_WAIT_S)

        return accepts

    def expected_prefill_wait_s(
        self, length_class: LengthClass, table: UpstreamTable, now_s: float
    ) -> float:
        """Return the expected wait for prefill; only short prompts may use the headroom."""
        wait_s = super().expected_prefill_wait_s(length_class, table, now_s)
        if length_class is LengthClass.SHORT:
            return wait_s
        ready = sum(
            table.count_ready(group, now_s + READY_WAIT_S) for group in table.groups.values()
        )
        if ready > self.upstream_headroom:
            return wait_s
        waits = [
            group.busy[0][0] - now_s - MAX_BACKLOG_S
            for group in table.groups.values()
            if group.busy
        ]
        return max(wait_s, READY_WAIT_S, min(waits, default=0.0))
