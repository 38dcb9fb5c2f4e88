"""Policy that keeps long prompts away from short ones."""

import math
import random

from laburnumrock.placement._fairness import FairOrder
from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._policies import PlacementPolicy, register_policy
from laburnumrock.placement._settings import LengthClass, PoolSettings
from laburnumrock.placement._table import UpstreamTable

GENERAL_LANE = 0
SHORT_LANE = 1

# Head start of a class in the queue in seconds; a request that has waited this much longer than
# another one is served first whatever its class (ageing).
CLASS_OFFSET_S = {
    LengthClass.SHORT: 0.0,
    LengthClass.MEDIUM: 2.0,
    LengthClass.LONG: 10.0,
    LengthClass.SPANNING: 10.0,
}
PRIORITY_STEP_S = 30.0
# Load up to which upstreams of the general lane are filled before the short lane shrinks.
GENERAL_TARGET_LOAD = 0.9
DEMAND_WINDOW_S = 20.0
LANE_PERIOD_S = 1.0
# A short request may use an upstream of the general lane that starts it within this time.
SPILL_WAIT_S = 0.02


@register_policy("length_aware")
class LengthAwarePolicy(PlacementPolicy):
    """Short lane by demand, cap on long prefills, ageing, and fairness between callers."""

    def __init__(self, settings: PoolSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self.fairness = FairOrder()
        self.demand: dict[bool, float] = {True: 0.0, False: 0.0}
        self.demand_since_s: float | None = None
        self.next_lanes_s = 0.0
        self.upstream_count = 1

    def record_arrival(self, waiting: WaitingRequest, now_s: float) -> None:
        """Add the cost of a request to the demand of its lane."""
        self.demand[waiting.length_class is LengthClass.SHORT] += waiting.cost_s

    def observe(self, table: UpstreamTable, now_s: float) -> None:
        """Divide the upstreams between the lanes by the demand of the last seconds."""
        if now_s < self.next_lanes_s:
            return
        if self.demand_since_s is None:
            self.demand_since_s = now_s
        elapsed_s = LANE_PERIOD_S + max(0.0, now_s - self.next_lanes_s) if self.next_lanes_s else 0
        self.next_lanes_s = now_s + LANE_PERIOD_S
        decay = math.exp(-elapsed_s / DEMAND_WINDOW_S)
        self.demand = {key: value * decay for key, value in self.demand.items()}
        usable = sorted(name for name, ledger in table.ledgers.items() if ledger.is_usable)
        self.upstream_count = max(1, len(usable))
        short_count = self._count_short(len(usable))
        for index, name in enumerate(usable):
            lane = SHORT_LANE if index < short_count else GENERAL_LANE
            ledger = table.ledgers[name]
            if ledger.lane != lane:
                ledger.lane = lane
                table.reindex(ledger, now_s)

    def _count_short(self, count: int) -> int:
        if count < 2:
            return 0
        short = self.demand[True] / DEMAND_WINDOW_S
        general = self.demand[False] / DEMAND_WINDOW_S
        if short + general <= 0:
            return count // 2
        wanted = count - general / GENERAL_TARGET_LOAD
        proportional = count * short / (short + general)
        return max(1, min(count - 1, round(max(wanted, proportional))))

    def rank(self, waiting: WaitingRequest, now_s: float) -> float:
        """Order by priority, class with ageing, and fair time stamp."""
        request = waiting.request
        cost_s = waiting.cost_s / self.upstream_count
        stamp_s = self.fairness.stamp(request.client_account, request.caller, cost_s, now_s)
        class_s = CLASS_OFFSET_S[waiting.length_class]
        return stamp_s + class_s - request.priority * PRIORITY_STEP_S

    def choose(
        self, waiting: WaitingRequest, table: UpstreamTable, now_s: float
    ) -> UpstreamLedger | None:
        """Choose by class: short lane first for short requests, general lane for others."""
        if waiting.length_class is LengthClass.SHORT:
            return self._choose_short(waiting, table, now_s)
        if waiting.length_class is LengthClass.MEDIUM:
            return self.choose_by_wait(waiting, table, now_s, GENERAL_LANE) or (
                self.choose_by_memory(waiting, table, now_s, GENERAL_LANE)
            )
        return self.choose_by_memory(
            waiting, table, now_s, GENERAL_LANE, lambda ledger: ledger.long_free_s <= now_s
        )

    def _choose_short(
        self, waiting: WaitingRequest, table: UpstreamTable, now_s: float
    ) -> UpstreamLedger | None:
        return self.choose_by_wait(waiting, table, now_s, SHORT_LANE) or self.choose_by_wait(
            waiting, table, now_s, GENERAL_LANE, SPILL_WAIT_S
        )
