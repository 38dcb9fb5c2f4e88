"""Dispatchers, calls and reports for the tests of placement and waiting."""

import random
from dataclasses import replace

from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchCall,
    Dispatcher,
    DispatchSettings,
    UpstreamDirectory,
    UpstreamReport,
    UpstreamState,
)
from laburnumrock.routing import EngineParameters, RouteSet, Service

SHORT = DispatchCall("s", 1, "llm", "one", 1, 5_000, 1_600, 0.3, 0.2, 10.0)
LONG = DispatchCall("l", 1, "llm", "one", 1, 200_000, 800, 3.0, 0.8, 15.0)
PLAIN = DispatchCall("p", 1, "plain", "one", 1, 0, 0, 0.1, 0.0, 0.6)


SLOW_ATTENTION = EngineParameters(
    kv_capacity_tokens=405_000,
    stride=34,
    step_ms=1.31,
    per_sequence_ms=0.000917,
    context_ms_per_1k=0.00213,
    prefill_tokens_per_s=154_000.0,
    attention_ms_per_million_pairs=0.162,
    mean_prompt_tokens=11_301,
    mean_output_tokens=1_266,
)
"""Engines whose attention over 557,000 tokens takes 25 s, as in the buchrueckkauf deployment."""


def make_dispatcher(
    engines: int = 4, slots: int = 8, parameters: EngineParameters | None = None, **settings
) -> Dispatcher:
    directory = UpstreamDirectory(4.0, 30.0)
    dispatcher = Dispatcher(DispatchSettings(**settings), directory, random.Random(1))
    dispatcher.set_routes(make_routes(slots, parameters))
    dispatcher.start(1, 0.0)
    for number in range(engines):
        dispatcher.observe(make_report("llm", number, slots), 10.0)
    dispatcher.observe(make_report("plain", 100, 6), 10.0)
    return dispatcher


def make_routes(slots: int, parameters: EngineParameters | None = None) -> RouteSet:
    engine = replace(parameters or EngineParameters(), slots=slots)
    services = (Service("llm", cold_requests_per_s=10.0, engine=engine), Service("plain"))
    return RouteSet(1, (), services)


def make_report(service: str, number: int, slots: int) -> UpstreamReport:
    domain = "abc"[number % 3]
    host = f"10.0.0.{number}"
    state = UpstreamState.READY
    return UpstreamReport(f"{service}{number}", service, host, 80, domain, 1, 1, slots, state)


def place(dispatcher: Dispatcher, call: DispatchCall, now_s: float = 10.0) -> DispatchAnswer:
    answer = dispatcher.place("entry", "a", call, now_s)
    assert isinstance(answer, DispatchAnswer)
    return answer


def place_waiting(dispatcher: Dispatcher, now_s: float) -> list[tuple[int, DispatchAnswer]]:
    """Return tickets and answers of the queued requests that are decided."""
    decisions = dispatcher.place_waiting({}, now_s)
    return [(decision.ticket, decision.answer) for decision in decisions]
