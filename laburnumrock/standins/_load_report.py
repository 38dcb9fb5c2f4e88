"""Figures of a load from its records."""

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field

from laburnumrock.standins._load_calls import CallRecord

PERCENTILES = (50, 95, 99)


def percentile(values: list[float], percent: float) -> float | None:
    """Return the smallest value that at least `percent` per cent of the values do not exceed."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(rank)]


def _percentiles(values: list[float]) -> dict[str, float | None]:
    return {f"p{percent}": percentile(values, percent) for percent in PERCENTILES}


@dataclass(slots=True)
class ClassReport:
    """Figures of one length class or service.

    Parameters
    ----------
    calls, completed : int
        Numbers of calls.
    refused : dict of str to int
        Refusals by error kind.
    failed, broken : int
        Calls that ended with an error after output, or without a complete answer.
    deadline_misses : int
        Admitted calls that did not complete within their deadline.
    faults : dict of str to int
        Wrong answers by fault.
    first_token_s, between_tokens_ms, total_s : dict of str to float
        p50, p95 and p99; `total_s` is over completed calls.
    """

    calls: int = 0
    completed: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    failed: int = 0
    broken: int = 0
    deadline_misses: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    first_token_s: dict[str, float | None] = field(default_factory=dict)
    between_tokens_ms: dict[str, float | None] = field(default_factory=dict)
    total_s: dict[str, float | None] = field(default_factory=dict)


@dataclass(slots=True)
class LoadReport:
    """Figures of a load.

    Parameters
    ----------
    classes : dict of str to ClassReport
        Per length class or service.
    wrong_refusals : list of str
        Operations that ran although every answer said ``not_run``.
    run_twice : list of str
        Operations that may not be repeated and ran more than once.
    lost : list of str
        Operations with a complete answer that never ran.
    refusals_without_retry_after : int
        Refusals with status 429 or 503 and no ``Retry-After``.
    has_executions : bool
        Whether the counts of the application engines were read; the three lists are empty without.
    """

    classes: dict[str, ClassReport] = field(default_factory=dict)
    wrong_refusals: list[str] = field(default_factory=list)
    run_twice: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    refusals_without_retry_after: int = 0
    has_executions: bool = False

    def to_json(self) -> dict[str, object]:
        """Return the report as plain data."""
        return asdict(self)

    @property
    def is_clean(self) -> bool:
        """Whether no guarantee was broken, as far as the records show."""
        faults = any(one.faults or one.deadline_misses for one in self.classes.values())
        return not (faults or self.wrong_refusals or self.run_twice or self.lost)


def misses_deadline(record: CallRecord) -> bool:
    """Tell whether an admitted call did not complete within its deadline."""
    if record.result == "completed":
        return record.total_s > record.timeout_s
    if record.result == "refused":
        return record.error_kind == "deadline_exceeded"
    return record.total_s > record.timeout_s or record.error_kind == "deadline_exceeded"


def summarize(
    records: list[CallRecord],
    executions: dict[str, int] | None,
    repeatable: frozenset[str] = frozenset(),
) -> LoadReport:
    """Compute the figures of a load.

    Parameters
    ----------
    records : list of CallRecord
        All calls.
    executions : dict of str to int, optional
        Executions per operation over all application engines; ``None`` if they were not read.
    repeatable : frozenset of str
        Operations that may run more than once.

    Returns
    -------
    LoadReport
        The figures.
    """
    report = LoadReport(has_executions=executions is not None)
    grouped: dict[str, list[CallRecord]] = defaultdict(list)
    for record in records:
        grouped[record.length_class].append(record)
        if record.status in (429, 503) and not record.has_retry_after:
            report.refusals_without_retry_after += 1
    for name, group in grouped.items():
        report.classes[name] = _summarize_class(group)
    if executions is not None:
        _check_operations(report, records, executions, repeatable)
    return report


def _summarize_class(records: list[CallRecord]) -> ClassReport:
    results = Counter(record.result for record in records)
    completed = [record for record in records if record.result == "completed"]
    first = [record.first_token_s for record in records if record.first_token_s is not None]
    gaps = [gap for record in records for gap in record.gaps_ms]
    return ClassReport(
        calls=len(records),
        completed=results["completed"],
        refused=dict(Counter(one.error_kind for one in records if one.result == "refused")),
        failed=results["failed"],
        broken=results["broken"],
        deadline_misses=sum(misses_deadline(record) for record in records),
        faults=dict(Counter(record.fault for record in records if record.fault)),
        first_token_s=_percentiles(first),
        between_tokens_ms=_percentiles(gaps),
        total_s=_percentiles([record.total_s for record in completed]),
    )


def _check_operations(
    report: LoadReport,
    records: list[CallRecord],
    executions: dict[str, int],
    repeatable: frozenset[str],
) -> None:
    answers: dict[str, list[CallRecord]] = defaultdict(list)
    for record in records:
        if record.operation_id is not None:
            answers[record.operation_id].append(record)
    for operation_id, group in sorted(answers.items()):
        count = executions.get(operation_id, 0)
        if count > 0 and all(record.outcome == "not_run" for record in group):
            report.wrong_refusals.append(operation_id)
        if count > 1 and operation_id not in repeatable:
            report.run_twice.append(operation_id)
        if count == 0 and any(record.result == "completed" for record in group):
            report.lost.append(operation_id)


def format_report(report: LoadReport) -> str:
    """Return the report as a table for people."""
    header = ["class", "calls", "done", "refused", "failed", "broken", "late", "faults"]
    header += ["ttft p50", "p95", "p99 s", "gap p50", "p95", "p99 ms"]
    rows = [header]
    for name, one in sorted(report.classes.items()):
        counts = [one.calls, one.completed, sum(one.refused.values()), one.failed, one.broken]
        counts += [one.deadline_misses, sum(one.faults.values())]
        times = [_number(value, 3) for value in one.first_token_s.values()]
        times += [_number(value, 1) for value in one.between_tokens_ms.values()]
        rows.append([name, *map(str, counts), *times])
    widths = [max(len(row[column]) for row in rows) for column in range(len(header))]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    refused = sum((Counter(one.refused) for one in report.classes.values()), Counter())
    lines.append("refused by kind: " + (_pairs(refused) or "none"))
    faults = sum((Counter(one.faults) for one in report.classes.values()), Counter())
    lines.append("faults: " + (_pairs(faults) or "none"))
    lines.append(f"refusals without Retry-After: {report.refusals_without_retry_after}")
    if report.has_executions:
        lines.append(f"wrong refusals: {len(report.wrong_refusals)}")
        lines.append(f"operations run twice: {len(report.run_twice)}")
        lines.append(f"operations lost: {len(report.lost)}")
    else:
        lines.append("executions were not read: operations are not checked")
    return "\n".join(lines)


def _number(value: float | None, digits: int) -> str:
    return "-" if value is None else f"{value:.{digits}f}"


def _pairs(counts: Counter) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.most_common())
