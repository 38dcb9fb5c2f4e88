"""Tests of the order store and the order controller."""

from dataclasses import replace

import pytest

from laburnumrock.orders import (
    AddOrder,
    MarkOrder,
    OrderEvent,
    OrderKind,
    OrderState,
    OrderStore,
    ReloadOrder,
)
from laburnumrock.orders._part import MAX_FINISHED
from laburnumrock.scenarios import OrderCluster, OrderHost

SEEDS = 24
SEEDS_PER_TEST = 8
MUTATION_SEEDS = 120


class _StoreDriver:
    def __init__(self):
        self.store = OrderStore()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.store.apply(replace(command, stamped_at_s=float(self.index)), self.index)

    def add(self, name, role="x"):
        return self.apply(AddOrder(name, "e", OrderKind.CHANGE_ROLE, {"role": role}))

    def mark(self, name, *events, number=1):
        answers = [self.apply(MarkOrder(name, OrderEvent(event), number)) for event in events]
        return answers[-1]


def _find_violation(text, **switch):
    host_type = type("FaultyHost", (OrderHost,), switch)
    for seed in range(MUTATION_SEEDS):
        try:
            OrderCluster(seed, host_type).run()
        except AssertionError as error:
            if text in str(error):
                return str(error)
    return None


class TestOrderStore:
    def test_order_id_is_idempotent(self):
        """Guards against a resend that records a second order, and two orders with the same id."""
        driver = _StoreDriver()
        assert driver.add("o1").accepted
        assert driver.add("o1").accepted
        assert not driver.add("o1", "y").accepted
        assert len(driver.store.orders) == 1

    def test_only_an_unsent_order_is_superseded(self):
        """Guards against a superseded order that reaches the engine after its successor."""
        driver = _StoreDriver()
        driver.add("o1")
        driver.mark("o1", "send")
        driver.add("o2")
        driver.add("o3")
        states = [order.state for order in driver.store.orders.values()]
        assert states == [OrderState.SENT, OrderState.SUPERSEDED, OrderState.RECORDED]
        assert not driver.mark("o3", "send").accepted

    def test_replaced_controller_is_refused(self):
        """Guards against a delayed command of a controller that has been replaced."""
        driver = _StoreDriver()
        driver.add("o1")
        driver.mark("o1", "send", number=5)
        assert not driver.mark("o1", "accept", number=4).accepted
        assert driver.store.orders["o1"].state is OrderState.SENT

    def test_reload_never_replaces_a_newer_order(self):
        """Guards against an engine that takes an outdated role after a restart."""
        driver = _StoreDriver()
        driver.add("o1")
        driver.mark("o1", "send", "complete")
        driver.add("o2", "y")
        assert not driver.apply(ReloadOrder("o1", 1)).accepted
        driver.mark("o2", "send", "refuse")
        assert driver.apply(ReloadOrder("o1", 1)).accepted
        assert not driver.apply(ReloadOrder("o1", 1)).accepted
        assert [order.order_id for order in driver.store.find_desired("e")] == [
            f"o1/{driver.index - 1}"
        ]

    def test_finished_orders_are_bounded_and_restored(self):
        """Guards against state that grows without bound or differs between voters."""
        driver = _StoreDriver()
        for number in range(MAX_FINISHED + 20):
            driver.add(f"o{number}")
            driver.mark(f"o{number}", "send", "complete")
        assert len(driver.store.orders) == MAX_FINISHED + 1
        other = OrderStore()
        other.restore(driver.store.to_plain())
        assert other.to_plain() == driver.store.to_plain()
        assert (other.desired, other.open_ids) == (driver.store.desired, driver.store.open_ids)


class TestOrderController:
    @pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
    def test_no_older_order_after_a_newer_one(self, first):
        """Guards against orders from frozen or partitioned leaders, and lost or repeated orders."""
        for seed in range(first, first + SEEDS_PER_TEST):
            cluster = OrderCluster(seed)
            cluster.run()
            assert cluster.order_checks.started_orders > 0, f"seed {seed}"

    @pytest.mark.parametrize(
        ("switch", "text"),
        [
            ("rechecks", "after a newer order"),
            ("takeover_wait", "twice"),
            ("retry_wait", "twice"),
        ],
    )
    def test_checks_detect_a_removed_safeguard(self, switch, text):
        """Guards against a simulation whose checks pass with a faulty controller."""
        assert _find_violation(text, **{switch: False}) is not None
