"""Tests of the encoding of pool load in digests."""

import pytest

from laburnumrock.daemon._pool_report import PoolReport, parse_row
from laburnumrock.placement import PoolSummary

SUMMARY = PoolSummary("a/model/x", 7, True, 3, 1000, 2, {"short": 0.25, "long": 4.0})


class TestPoolReport:
    def test_round_trip(self):
        """Encoding and decoding must agree on the order of the fields."""
        report = PoolReport("a1", 0.5, SUMMARY)
        assert parse_row(report.to_row()) == report

    @pytest.mark.parametrize("position", range(9))
    def test_wrong_value_is_refused(self, position):
        """A malformed value must be rejected before it can affect the choice of a pool."""
        row = PoolReport("a1", 0.5, SUMMARY).to_row()
        row[position] = {"not": "plain"}
        with pytest.raises(ValueError):
            parse_row(row)

    @pytest.mark.parametrize("row", [None, [], {}, ["a1", 0, [1], "a/model/x", 1, True, 1, 1, 1]])
    def test_wrong_shape_is_refused(self, row):
        """A list of the wrong length, or another type, must be rejected."""
        with pytest.raises(ValueError):
            parse_row(row)
