"""Report of a load test, computed from its call records."""

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field

from laburnumrock.standins._load_calls import CallRecord

PERCENTILES = (50, 95, 99)


def percentile(values: list[float], percent: float) -> float | None:
    """Return the smallest value that at least `percent` % of the values do not exceed."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(0, -(-len(ordered) * percent // 100) - 1)
    return ordered[int(rank)]


def _compute_percentiles(values: list[float]) -> dict[str, float | None]:
    return {f"p{percent}": percentile(values, percent) for percent in PERCENTILES}


@dataclass(slots=True)
class ClassReport:
    """Metrics of one length class or service.

    Parameters
    ----------
    calls, completed : int
        Number of calls, and of completed ones.
    refused : dict of str to int
        Number of refused calls by error kind.
    failed, broken : int
        Number of calls that ended with an error after output, or without a complete response.
    deadline_misses : int
        Number of admitted calls that did not complete within their deadline.
    faults : dict of str to int
        Number of incorrect responses by fault.
    first_token_s, between_tokens_ms, total_s : dict of str to float
        Percentiles p50, p95 and p99; `total_s` covers completed calls only.
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
    """Report of a load test.

    Parameters
    ----------
    classes : dict of str to ClassReport
        Metrics per length class or service.
    wrong_refusals : list of str
        Operations that were executed although every response said ``not_run``.
    run_twice : list of str
        Non-idempotent operations that were executed more than once.
    lost : list of str
        Operations with a complete response that were never executed.
    refusals_without_retry_after : int
        Number of responses with status 429 or 503 and no ``Retry-After`` header.
    has_executions : bool
        Whether execution counts are available; otherwise the three lists of operations are empty.
    """

    classes: dict[str, ClassReport] = field(default_factory=dict)
    wrong_refusals: list[str] = field(default_factory=list)
    run_twice: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    refusals_without_retry_after: int = 0
    has_executions: bool = False

    def to_json(self) -> dict[str, object]:
        """Return the report as JSON-serializable data."""
        return asdict(self)

    @property
    def is_clean(self) -> bool:
        """Whether the records show no violation of a guarantee."""
        faults = any(
            class_report.faults or class_report.deadline_misses
            for class_report in self.classes.values()
        )
        return not (faults or self.wrong_refusals or self.run_twice or self.lost)


def misses_deadline(record: CallRecord) -> bool:
    """Return whether an admitted call did not complete within its deadline."""
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
    """Compute the report of a load test.

    Parameters
    ----------
    records : list of CallRecord
        Records of all calls.
    executions : dict of str to int, optional
        Executions per operation, summed over all application engines; ``None`` if not available.
    repeatable : frozenset of str
        Idempotent operations, which may be executed more than once.

    Returns
    -------
    LoadReport
        The report.
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
        refused=dict(
            Counter(record.error_kind for record in records if record.result == "refused")
        ),
        failed=results["failed"],
        broken=results["broken"],
        deadline_misses=sum(misses_deadline(record) for record in records),
        faults=dict(Counter(record.fault for record in records if record.fault)),
        first_token_s=_compute_percentiles(first),
        between_tokens_ms=_compute_percentiles(gaps),
        total_s=_compute_percentiles([record.total_s for record in completed]),
    )


def _check_operations(
    report: LoadReport,
    records: list[CallRecord],
    executions: dict[str, int],
    repeatable: frozenset[str],
) -> None:
    records_by_operation: dict[str, list[CallRecord]] = defaultdict(list)
    for record in records:
        if record.operation_id is not None:
            records_by_operation[record.operation_id].append(record)
    for operation_id, group in sorted(records_by_operation.items()):
        count = executions.get(operation_id, 0)
        if count > 0 and all(record.outcome == "not_run" for record in group):
            report.wrong_refusals.append(operation_id)
        if count > 1 and operation_id not in repeatable:
            report.run_twice.append(operation_id)
        if count == 0 and any(record.result == "completed" for record in group):
            report.lost.append(operation_id)


def format_report(report: LoadReport) -> str:
    """Format the report as a text table."""
    header = ["class", "calls", "done", "refused", "failed", "broken", "late", "faults"]
    header += ["ttft p50", "p95", "p99 s", "gap p50", "p95", "p99 ms"]
    rows = [header]
    for name, class_report in sorted(report.classes.items()):
        counts = [
            class_report.calls,
            class_report.completed,
            sum(class_report.refused.values()),
            class_report.failed,
            class_report.broken,
        ]
        counts += [class_report.deadline_misses, sum(class_report.faults.values())]
        times = [_format_number(value, 3) for value in class_report.first_token_s.values()]
        times += [_format_number(value, 1) for value in class_report.between_tokens_ms.values()]
        rows.append([name, *map(str, counts), *times])
    widths = [max(len(row[column]) for row in rows) for column in range(len(header))]
    lines = [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    refused = sum(
        (Counter(class_report.refused) for class_report in report.classes.values()), Counter()
    )
    lines.append("refused by kind: " + (_format_counts(refused) or "none"))
    faults = sum(
        (Counter(class_report.faults) for class_report in report.classes.values()), Counter()
    )
    lines.append("faults: " + (_format_counts(faults) or "none"))
    lines.append(f"refusals without Retry-After: {report.refusals_without_retry_after}")
    if report.has_executions:
        lines.append(f"wrong refusals: {len(report.wrong_refusals)}")
        lines.append(f"operations run twice: {len(report.run_twice)}")
        lines.append(f"operations lost: {len(report.lost)}")
    else:
        lines.append("executions were not read: operations are not checked")
    return "\n".join(lines)


def _format_number(value: float | None, digits: int) -> str:
    return "-" if value is None else f"{value:.{digits}f}"


def _format_counts(counts: Counter) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.most_common())
