"""Log lines of a core about changes, placements and upstreams."""

import time

from eliot import log_message
from result import Ok, Result

from laburnumrock.dispatch import DispatchAnswer, DispatchCall, Dispatcher, UpstreamReport
from laburnumrock.errors import Failure
from laburnumrock.routing import StoreAnswer


def log_change(
    change: str, subject: int | str, answer: Result[StoreAnswer, Failure]
) -> Result[int, Failure]:
    """Log the result of a proposed change, and return the version of the routes afterwards."""
    if answer.is_err():
        failure = answer.unwrap_err()
        log_message("change_committed", change=change, subject=subject, failure=str(failure))
        return answer
    state = answer.unwrap()
    log_message(
        "change_committed",
        change=change,
        subject=subject,
        in_force=state.version,
        changed=state.changed,
    )
    return Ok(state.version)


def log_decision(
    dispatcher: Dispatcher, call: DispatchCall, answer: DispatchAnswer, routes_version: int
) -> None:
    """Log a placement or refusal with the state of the upstream that decided it."""
    record = dispatcher.directory.records.get(answer.upstream_id)
    load = dispatcher.fleet.loads.get(answer.upstream_id)
    log_message(
        "placement_decided",
        request_id=call.request_id,
        attempt=call.attempt,
        upstream=answer.upstream_id,
        expected_first_s=round(answer.expected_first_s, 4),
        helpers=[helper.upstream_id for helper in answer.helpers],
        refusal=answer.refusal,
        report_age_s=round(time.monotonic() - record.last_seen_s, 3) if record else None,
        sends=len(load.sends) if load else None,
        pace=round(load.slowdown, 2) if load else None,
        routes_version=routes_version,
    )


def log_upstream(report: UpstreamReport) -> None:
    """Log a change of an upstream."""
    log_message(
        "upstream_changed",
        upstream=report.upstream_id,
        state=report.state,
        service=report.service,
        address=f"{report.host}:{report.port}",
        incarnation=report.incarnation,
        sequence=report.sequence,
        cold_left_s=report.cold_left_s,
    )
