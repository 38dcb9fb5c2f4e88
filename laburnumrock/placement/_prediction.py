"""Prediction of request costs and queue waits in a pool."""

from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._policies import PlacementPolicy
from laburnumrock.placement._queue import RequestQueue
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.placement._table import UpstreamTable
from laburnumrock.routing import LengthClass

# Other requests may start on the later upstreams of a spanning prompt before its parts do and delay
# them.
SPANNING_FACTOR = 2.0


class PoolPredictor:
    """Predicts costs and waits from announced rates, ledgers and the queue.

    Parameters
    ----------
    settings : PoolSettings
        Settings of the pool.
    table : UpstreamTable
        Upstreams of the pool.
    queue : RequestQueue
        Queue of the pool.
    policy : PlacementPolicy
        Policy that chooses the upstreams.
    """

    def __init__(
        self,
        settings: PoolSettings,
        table: UpstreamTable,
        queue: RequestQueue,
        policy: PlacementPolicy,
    ) -> None:
        self.settings = settings
        self.table = table
        self.queue = queue
        self.policy = policy

    def estimate_cost(self, waiting: WaitingRequest) -> None:
        """Set the cost to the larger of engine time and memory share times the time it is held."""
        ledger = self.reference_ledger()
        if ledger is None:
            return
        request = waiting.request
        full_batch = self.settings.permits_per_upstream
        output = request.max_output_tokens * self.settings.assumed_output_fraction
        waiting.prefill_s = ledger.prefill_s(request.prompt_tokens, full_batch // 2)
        busy_s = (
            ledger.prefill_s(request.prompt_tokens, 0)
            + output * ledger.step_s(full_batch) / full_batch
        )
        waiting.held_s = waiting.prefill_s + output * ledger.step_s(full_batch)
        memory_share = waiting.kv_tokens / ledger.kv_capacity if ledger.kv_capacity else 0.0
        waiting.cost_s = max(busy_s, waiting.held_s * memory_share)

    def reference_ledger(self) -> UpstreamLedger | None:
        """Return the upstream with the most memory, whose rates are used for the whole pool."""
        if not self.table.capacities:
            return None
        return self.table.ledgers[self.table.capacities[-1][1]]

    def service_s(self, waiting: WaitingRequest) -> float:
        """Return an upper bound on the time from the start of prefill to the finish, in seconds."""
        ledger = self.reference_ledger()
        if ledger is None:
            return 0.0
        service_s = ledger.max_service_s(waiting.request)
        if waiting.length_class is LengthClass.SPANNING:
            service_s *= SPANNING_FACTOR
        return service_s

    def subqueue_wait_s(self, subqueue: str, now_s: float, order: float | None = None) -> float:
        """Return the expected wait at `order` in a subqueue, or at its end without `order`."""
        return self.queue.expected_wait_s(subqueue, len(self.table.capacities), now_s, order)

    def expected_waits(self, in_service: bool, now_s: float) -> dict[str, float]:
        """Return the expected wait per length class, in seconds."""
        if not self.table.capacities or not in_service:
            return {}
        return {
            length_class.value: self.subqueue_wait_s(length_class.value, now_s)
            + self.policy.expected_prefill_wait_s(length_class, self.table, now_s)
            for length_class in LengthClass
        }
