"""Policy that keeps long prompts away from short ones."""

import math
import random
from collections.abc import Callable

from laburnumrock.placement._fairness import FairOrder
from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._policies import PlacementPolicy, register_policy
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.placement._table import UpstreamTable
from laburnumrock.routing import LengthClass

# Head start of a class in the queue in seconds; a request that has waited this much longer than
# another one is served first whatever its class (ageing).
CLASS_OFFSET_S = {
    LengthClass.SHORT: 0.0,
    LengthClass.MEDIUM: 2.0,
    LengthClass.LONG: 10.0,
    LengthClass.SPANNING: 10.0,
}
PRIORITY_STEP_S = 30.0
# An upstream whose prefills end within this time counts as ready for a short request.
READY_WAIT_S = 0.1
# Further medium and long prompts wait in the queue, where their order can still change and they
# hold no memory.
MAX_BACKLOG_S = 1.0
# Prefill load up to which upstreams are filled with medium and long prompts before the reserve
# of upstreams for short ones shrinks.
GENERAL_TARGET_LOAD = 0.65
DEMAND_WINDOW_S = 20.0
# Part of each engine's KV memory that medium and long prompts leave free: the mean need of short
# prompts times a factor for its variation, between two bounds.
MIN_MEMORY_RESERVE = 0.08
MAX_MEMORY_RESERVE = 0.25
MEMORY_RESERVE_FACTOR = 1.4
RESERVE_PERIOD_S = 1.0


@register_policy("length_aware")
class LengthAwarePolicy(PlacementPolicy):
    """Reserve of upstreams for short prompts, cap on long prefills, ageing and fairness.

    The reserve counts upstreams instead of naming them: a medium or long prompt may start on any
    upstream as long as enough others remain without a prefill backlog. Memory thus stays one pool.
    """

    def __init__(self, settings: PoolSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self.fairness = FairOrder()
        self.general_demand_s = 0.0
        self.short_memory = 0.0
        self.observed_s: float | None = None
        self.reserve = 0
        self.upstream_count = 1

    def record_arrival(self, waiting: WaitingRequest, now_s: float) -> None:
        """Add prefill time to the general demand, or memory over time to the short one."""
        if waiting.length_class is LengthClass.SHORT:
            self.short_memory += waiting.kv_tokens * waiting.held_s
        else:
            self.general_demand_s += waiting.prefill_s

    def observe(self, table: UpstreamTable, now_s: float) -> None:
        """Set the reserve for short prompts by the demand of the last seconds."""
        if self.observed_s is not None and now_s < self.observed_s + RESERVE_PERIOD_S:
            return
        elapsed_s = 0.0 if self.observed_s is None else now_s - self.observed_s
        self.observed_s = now_s
        decay = math.exp(-elapsed_s / DEMAND_WINDOW_S)
        self.general_demand_s *= decay
        self.short_memory *= decay
        count = len(table.capacities)
        self.upstream_count = max(1, count)
        needed = self.general_demand_s / DEMAND_WINDOW_S / GENERAL_TARGET_LOAD
        # Up to a quarter of the pool is kept for short prompts even when the others need more.
        least = max(1, count // 4) if count > 1 else 0
        self.reserve = max(least, min(count // 2, count - math.ceil(needed)))

        self.memory_reserve = self._size_memory_reserve(table)

    def _size_memory_reserve(self, table: UpstreamTable) -> int:
        if not table.capacities:
            return 0
        needed = self.short_memory / DEMAND_WINDOW_S / self.upstream_count
        largest = table.largest_engine_tokens
        wanted = MIN_MEMORY_RESERVE * largest + MEMORY_RESERVE_FACTOR * needed
        return int(min(MAX_MEMORY_RESERVE * largest, wanted))

    def rank(self, waiting: WaitingRequest, now_s: float) -> float:
        """Order by priority, class with ageing, and fair time stamp."""
        request = waiting.request
        cost_s = waiting.cost_s / self.upstream_count
        stamp_s = self.fairness.stamp(request.client_account, request.caller, cost_s, now_s)
        waiting.fair_delay_s = stamp_s - now_s
        class_s = CLASS_OFFSET_S[waiting.length_class]
        return stamp_s + class_s - request.priority * PRIORITY_STEP_S

    def choose(
        self, waiting: WaitingRequest, table: UpstreamTable, now_s: float
    ) -> UpstreamLedger | None:
        """Choose the earliest finish for short prompts, outside of the reserve for others."""
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
        """Return the check of reserves and caps for a medium or long prompt."""
        groups = table.groups_for(waiting.request)
        ready = sum(table.count_ready(group, now_s + READY_WAIT_S) for group in groups)
        spare = ready > self.reserve
        is_long = waiting.length_class is LengthClass.LONG

        def accepts(ledger: UpstreamLedger) -> bool:
            # A prompt that does not fit beside the reserve may use all memory of an upstream.
            room = ledger.kv_capacity - waiting.kv_tokens
            left = ledger.room_for(waiting) - waiting.kv_tokens
            earmarked = ledger.earmarked_for == waiting.key
            if left < min(self.memory_reserve, room) and not earmarked:
                return False
            wait_s = ledger.wait_s(now_s)
            if is_long and ledger.count_long_prefills(now_s) >= (
                self.settings.long_prefills_per_upstream
            ):
                return False
            return wait_s <= MAX_BACKLOG_S and (spare or wait_s > READY_WAIT_S)

        return accepts

    def expected_start_s(
        self, length_class: LengthClass, table: UpstreamTable, now_s: float
    ) -> float:
        """Return the wait for prefill; medium and long prompts may not use the reserve."""
        start_s = super().expected_start_s(length_class, table, now_s)
        if length_class is LengthClass.SHORT:
            return start_s
        ready = sum(
            table.count_ready(group, now_s + READY_WAIT_S) for group in table.groups.values()
        )
        if ready > self.reserve:
            return start_s
        waits = [
            group.busy[0][0] - now_s - MAX_BACKLOG_S
            for group in table.groups.values()
            if group.busy
        ]
        return max(start_s, READY_WAIT_S, min(waits, default=0.0))
