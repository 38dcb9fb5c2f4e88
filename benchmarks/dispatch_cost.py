"""Measure the CPU time of one placement by number of engines and prompt length."""

import random
import time

import click

from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchCall,
    Dispatcher,
    DispatchSettings,
    SendEnded,
    SendOutcome,
    SendStarted,
    UpstreamDirectory,
    UpstreamReport,
    UpstreamState,
)
from laburnumrock.routing import EngineParameters, RouteSet, Service

SHORT_CALL = DispatchCall("s", 1, "llm", "one", 1, 5_000, 1_600, 0.3, 0.2, 10.0)
LONG_CALL = DispatchCall("l", 1, "llm", "one", 1, 250_000, 800, 3.0, 0.8, 15.0)
BUSY_FRACTION = 0.6
"""Fraction of all engine slots that are occupied during the measurement."""


def make_dispatcher(engines: int, slots: int) -> Dispatcher:
    """Return a dispatcher that knows `engines` idle engines."""
    dispatcher = Dispatcher(
        DispatchSettings(stale_after_s=1e9), UpstreamDirectory(1e9, 1e9), random.Random(1)
    )
    services = (Service("llm", engine=EngineParameters(slots=slots)),)
    dispatcher.set_routes(RouteSet(1, (), services))
    dispatcher.start(1, 0.0)
    for number in range(engines):
        dispatcher.observe(
            UpstreamReport(
                f"u{number}",
                "llm",
                f"10.0.{number // 250}.{number % 250}",
                80,
                "abc"[number % 3],
                1,
                1,
                slots,
                UpstreamState.READY,
            ),
            0.0,
        )
    return dispatcher


def measure(engines: int, slots: int, call: DispatchCall, rounds: int) -> float:
    """Return the mean CPU time of a placement in microseconds."""
    dispatcher = make_dispatcher(engines, slots)
    now_s = 1.0
    for _ in range(int(BUSY_FRACTION * engines * slots)):
        now_s += 0.02
        answer = dispatcher.place("e", "a", SHORT_CALL, now_s)
        if isinstance(answer, DispatchAnswer):
            dispatcher.record_started(SendStarted(answer.permit, 0.1), now_s + 0.01)
    cpu_s = 0.0
    for _ in range(rounds):
        now_s += 0.02
        started_s = time.process_time()
        answer = dispatcher.place("e", "a", call, now_s)
        cpu_s += time.process_time() - started_s
        if isinstance(answer, DispatchAnswer) and answer.permit:
            dispatcher.record_ended(SendEnded(answer.permit, SendOutcome.DONE), now_s + 0.01)
        dispatcher.queue.start(1)
    return cpu_s / rounds * 1e6


@click.command()
@click.option("--rounds", default=300, show_default=True)
def main(rounds: int) -> None:
    """Print the placement cost of short and long prompts for increasing fleet sizes."""
    click.echo("engines  short us  long us")
    for engines in (21, 42, 72, 78, 156, 300):
        short = measure(engines, 8, SHORT_CALL, rounds)
        long = measure(engines, 8, LONG_CALL, rounds)
        click.echo(f"{engines:7}  {short:8.0f}  {long:7.0f}")


if __name__ == "__main__":
    main()
