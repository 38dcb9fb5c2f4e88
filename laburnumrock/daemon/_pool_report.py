"""Encoding of the load of a pool in the digest of its failure domain."""

from dataclasses import dataclass

from laburnumrock.messages import from_plain
from laburnumrock.ownership import parse_pool_id
from laburnumrock.placement import LengthClass, PoolSummary

FIELDS = (
    "pool_id",
    "owner_epoch",
    "in_service",
    "upstreams",
    "free_kv_tokens",
    "queued",
)
CLASSES = tuple(length_class.value for length_class in LengthClass)
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class PoolReport:
    """Load of a pool as sent in a digest.

    Parameters
    ----------
    owner : str
        Instance that owns the pool.
    age_s : float, >= 0
        Time since the owner's summary was received, in seconds.
    summary : PoolSummary
        Load of the pool.

    Notes
    -----
    A report is encoded as a list without field names, because digests are the largest part of the
    control traffic of an instance. Times are encoded as integer milliseconds.
    """

    owner: str
    age_s: float
    summary: PoolSummary

    def to_row(self) -> list[object]:
        """Encode the report as a list of plain values."""
        waits = [self.summary.expected_wait_s.get(name) for name in CLASSES]
        waits_ms = [None if wait is None else round(wait * MS_PER_S) for wait in waits]
        fields = [getattr(self.summary, name) for name in FIELDS]
        return [self.owner, round(self.age_s * MS_PER_S), waits_ms, *fields]


def parse_row(row: object) -> PoolReport:
    """Decode a report from a list built by `PoolReport.to_row`.

    Parameters
    ----------
    row : object
        Plain value received from another instance.

    Returns
    -------
    PoolReport
        Decoded report; its pool id has been validated.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    if not isinstance(row, list) or len(row) != len(FIELDS) + 3:
        raise ValueError("reports: expected lists of fixed length")
    owner, age_ms, waits_ms, *fields = row
    if not isinstance(owner, str) or type(age_ms) is not int or not isinstance(waits_ms, list):
        raise ValueError("reports: malformed owner, age or waits")
    waits = dict(zip(CLASSES, waits_ms, strict=True))
    if any(wait is not None and type(wait) is not int for wait in waits_ms):
        raise ValueError("reports: waits must be integers")
    plain = dict(zip(FIELDS, fields, strict=True))
    plain["expected_wait_s"] = {
        name: wait / MS_PER_S for name, wait in waits.items() if wait is not None
    }
    summary = from_plain(PoolSummary, plain, "reports")
    parse_pool_id(summary.pool_id)
    return PoolReport(owner, max(0, age_ms) / MS_PER_S, summary)
