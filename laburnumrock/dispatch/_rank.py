"""Rank of an engine, by which short and long prompts prefer different engines."""

import zlib


def engine_rank(upstream_id: str) -> float:
    """Return the rank of an engine, the same on all nodes, between 0 and 1.

    Notes
    -----
    Short prompts prefer idle engines of low rank and long prompts those of high rank. So an entry
    node without a dispatcher mostly keeps the two apart, as the dispatcher does.
    """
    return zlib.crc32(upstream_id.encode()) / 0xFFFFFFFF
