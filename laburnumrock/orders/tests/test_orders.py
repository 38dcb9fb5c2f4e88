"""Tests of the order book and its controller."""

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
from laburnumrock.orders._part import KEPT_FINISHED
from laburnumrock.scenarios import OrderCluster, OrderHost

SEEDS = 24
SEEDS_PER_TEST = 8
FAULTY_SEEDS = 60


class _Book:
    def __init__(self):
        self.part = OrderStore()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.part.apply(replace(command, stamped_at_s=float(self.index)), self.index)

    def add(self, name, role="x"):
        return self.apply(AddOrder(name, "e", OrderKind.CHANGE_ROLE, {"role": role}))

    def mark(self, name, *events, number=1):
        answers = [self.apply(MarkOrder(name, OrderEvent(event), number)) for event in events]
        return answers[-1]


def _find_fault(text, **switch):
    host_type = type("FaultyHost", (OrderHost,), switch)
    for seed in range(FAULTY_SEEDS):
        try:
            OrderCluster(seed, host_type).run()
        except AssertionError as error:
            if text in str(error):
                return str(error)
    return None


class TestOrderBookPart:
    def test_order_id_names_one_order(self):
        """Guards against a resend that orders twice, and an id that is used for two orders."""
        book = _Book()
        assert book.add("o1").accepted
        assert book.add("o1").accepted
        assert not book.add("o1", "y").accepted
        assert len(book.part.orders) == 1

    def test_only_an_order_that_was_not_sent_is_left_out(self):
        """Guards against a skipped order that still arrives after its successor."""
        book = _Book()
        book.add("o1")
        book.mark("o1", "send")
        book.add("o2")
        book.add("o3")
        states = [order.state for order in book.part.orders.values()]
        assert states == [OrderState.SENT, OrderState.SUPERSEDED, OrderState.RECORDED]
        assert not book.mark("o3", "send").accepted

    def test_older_controller_changes_nothing(self):
        """Guards against a late command of a controller that was replaced."""
        book = _Book()
        book.add("o1")
        book.mark("o1", "send", number=5)
        assert not book.mark("o1", "accept", number=4).accepted
        assert book.part.orders["o1"].state is OrderState.SENT

    def test_reload_never_replaces_a_newer_order(self):
        """Guards against an engine that returns to an old role after a restart."""
        book = _Book()
        book.add("o1")
        book.mark("o1", "send", "complete")
        book.add("o2", "y")
        assert not book.apply(ReloadOrder("o1", 1)).accepted
        book.mark("o2", "send", "refuse")
        assert book.apply(ReloadOrder("o1", 1)).accepted
        assert not book.apply(ReloadOrder("o1", 1)).accepted
        assert [one.order_id for one in book.part.find_desired("e")] == [f"o1/{book.index - 1}"]

    def test_finished_orders_are_forgotten_and_restored_alike(self):
        """Guards against a state that grows without end or differs between voters."""
        book = _Book()
        for number in range(KEPT_FINISHED + 20):
            book.add(f"o{number}")
            book.mark(f"o{number}", "send", "complete")
        assert len(book.part.orders) == KEPT_FINISHED + 1
        other = OrderStore()
        other.restore(book.part.to_plain())
        assert other.to_plain() == book.part.to_plain()
        assert (other.wanted, other.open_ids) == (book.part.wanted, book.part.open_ids)


class TestOrderController:
    @pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
    def test_no_older_order_after_a_newer_one(self, first):
        """Guards against orders of frozen or cut off leaders, repeated orders and lost ones."""
        for seed in range(first, first + SEEDS_PER_TEST):
            cluster = OrderCluster(seed)
            cluster.run()
            assert cluster.order_checks.carried_out > 0, f"seed {seed}"

    @pytest.mark.parametrize(
        ("switch", "text"),
        [
            ("rechecks", "after a newer order"),
            ("takeover_wait", "twice"),
            ("retry_wait", "twice"),
        ],
    )
    def test_the_checks_notice_a_missing_wait(self, switch, text):
        """Guards against a harness that passes whatever the controller does."""
        assert _find_fault(text, **{switch: False}) is not None
