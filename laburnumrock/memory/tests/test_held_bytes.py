"""Tests of the limit on held bytes."""

from laburnumrock.memory import HeldBytes, Holder
from laburnumrock.memory._held_bytes import FREE_BYTES


class TestHeldBytes:
    def test_sum_is_limited(self):
        """Guards against holders that are each small enough but too large together."""
        total = HeldBytes(10 * FREE_BYTES)
        holders = [Holder(total) for _ in range(4)]
        assert all(holder.resize(3 * FREE_BYTES) for holder in holders[:3])
        assert not holders[3].resize(3 * FREE_BYTES)
        holders[0].release()
        assert holders[3].resize(3 * FREE_BYTES)
        for holder in holders:
            holder.release()
        assert total.size == 0

    def test_small_holders_are_not_limited(self):
        """Guards against small messages that are refused because of large ones."""
        total = HeldBytes(FREE_BYTES)
        large, small = Holder(total), Holder(total)
        large.resize(5 * FREE_BYTES)
        assert small.resize(FREE_BYTES)
        assert not small.resize(FREE_BYTES + 1)
