"""Tests of destructors that run while deeply nested text is parsed."""

import gc
import sys

import pytest

from laburnumrock.documents import parse_json

PARSER_LIMIT = 1_000
"""Stack frames plus nesting levels at which the parser of the standard library fails."""
MAX_STACK = 200
"""Stack frames above a test, with a margin."""


class Resource:
    """Object in a reference cycle, which only the garbage collector frees, with a destructor."""

    def __init__(self) -> None:
        self.cycle = self

    def __del__(self) -> None:
        str(self.close())

    def close(self) -> list[int]:
        return [number for number in range(2)]


class TestDestructors:
    def test_destructors_succeed(self, monkeypatch):
        """Guards against leaked resources whose destructors fail near the recursion limit."""
        failures = []
        monkeypatch.setattr(sys, "unraisablehook", failures.append)
        thresholds = gc.get_threshold()
        try:
            # Existing objects would only slow the collections down.
            gc.freeze()
            for allocations in range(PARSER_LIMIT - MAX_STACK, PARSER_LIMIT):
                gc.set_threshold(0)
                gc.collect()
                Resource()
                gc.set_threshold(allocations)
                with pytest.raises(ValueError):
                    parse_json(b"[" * 9_000)
        finally:
            gc.unfreeze()
            gc.set_threshold(*thresholds)
        assert failures == []
