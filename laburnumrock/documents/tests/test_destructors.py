"""Destructors that run while a deeply nested text is read."""

import gc
import sys

import pytest

from laburnumrock.documents import parse_json

PARSER_LIMIT = 1_000
"""Calls and nested values after which the parser of the standard library gives up."""
MAX_STACK = 200
"""Calls that lead to a test, with a margin."""


class Resource:
    """Garbage that only the collector frees, with work to do then."""

    def __init__(self) -> None:
        self.cycle = self

    def __del__(self) -> None:
        str(self.close())

    def close(self) -> list[int]:
        return [number for number in range(2)]


class TestDestructors:
    def test_destructors_succeed(self, monkeypatch):
        """Guards against resources that stay open since they were freed in a deep recursion."""
        failures = []
        monkeypatch.setattr(sys, "unraisablehook", failures.append)
        thresholds = gc.get_threshold()
        try:
            # Objects that are alive already only slow the collections down.
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
