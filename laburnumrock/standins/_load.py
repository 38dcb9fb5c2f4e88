"""Commands ``load`` (load generator) and ``report``."""

import asyncio
import json
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import TextIO

import click
from tornado.httpclient import AsyncHTTPClient, HTTPError

from laburnumrock.cli import register_command
from laburnumrock.standins._load_calls import CallRecord, LoadClient
from laburnumrock.standins._load_profile import LoadProfile, PlannedCall, load_profile, plan_calls
from laburnumrock.standins._load_report import LoadReport, format_report, summarize

EXECUTIONS_TIMEOUT_S = 5.0
LAG_INTERVAL_S = 0.05


async def read_executions(urls: list[str]) -> dict[str, int] | None:
    """Sum the execution counts of all application engines.

    Parameters
    ----------
    urls : list of str
        Base URLs of all application engines.

    Returns
    -------
    dict or None
        Executions per operation, or ``None`` if no URL was given or a request failed.
    """
    total: Counter[str] = Counter()
    for url in urls:
        try:
            response = await AsyncHTTPClient().fetch(
                f"{url.rstrip('/')}/executions", request_timeout=EXECUTIONS_TIMEOUT_S
            )
        except (HTTPError, OSError):
            return None
        total.update(json.loads(response.body)["executions"])
    return dict(total) if urls else None


async def run_load(
    url: str,
    profile: LoadProfile,
    rate_per_s: float,
    duration_s: float,
    seed: int,
    output: TextIO,
    executions_urls: list[str],
) -> None:
    """Run a load test and write its records as JSON lines.

    Parameters
    ----------
    url : str
        Base URL.
    profile : LoadProfile
        Mix of calls.
    rate_per_s : float
        Mean number of calls per second.
    duration_s : float
        Time during which calls start, in seconds.
    seed : int
        Seed of the plan.
    output : text file
        Text file for the JSON lines.
    executions_urls : list of str
        Base URLs of the application engines, whose execution counts are read at the end.
    """
    client = LoadClient(url, profile, seed)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    lag_monitor = _EventLoopLagMonitor()
    lag_task = asyncio.create_task(lag_monitor.run())

    async def run(call: PlannedCall) -> None:
        record = await client.run(call, loop.time() - started_s)
        output.write(json.dumps({"type": "call", **asdict(record)}) + "\n")

    calls = plan_calls(profile, rate_per_s, duration_s, seed)
    running = []
    for call in calls:
        await asyncio.sleep(max(0.0, started_s + call.start_s - loop.time()))
        running.append(asyncio.create_task(run(call)))
    await asyncio.gather(*running)
    lag_task.cancel()
    repeatable_ids = {
        call.operation_id for call in calls if call.service and call.service.repeatable
    }
    end_record = {
        "type": "end",
        "rate_per_s": rate_per_s,
        "duration_s": duration_s,
        "seed": seed,
        "elapsed_s": round(loop.time() - started_s, 3),
        "largest_lag_s": round(lag_monitor.max_lag_s, 3),
        "executions": await read_executions(executions_urls),
        "repeatable": sorted(repeatable_ids),
    }
    output.write(json.dumps(end_record) + "\n")


class _EventLoopLagMonitor:
    """Measures the event loop lag of the load generator, which would distort its latencies."""

    def __init__(self) -> None:
        self.max_lag_s = 0.0

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.max_lag_s = max(self.max_lag_s, loop.time() - due_s)


def read_report(path: Path) -> LoadReport:
    """Compute the report from the JSON lines of a load test.

    Parameters
    ----------
    path : Path
        Output of the ``load`` command.

    Returns
    -------
    LoadReport
        The report.
    """
    records: list[CallRecord] = []
    executions: dict[str, int] | None = None
    repeatable: frozenset[str] = frozenset()
    with path.open(encoding="utf-8") as lines:
        for line in lines:
            entry = json.loads(line)
            if entry.pop("type") == "call":
                records.append(CallRecord(**entry))
            else:
                executions = entry["executions"]
                repeatable = frozenset(entry["repeatable"])
    return summarize(records, executions, repeatable)


@register_command
@click.command("load")
@click.option("--url", required=True, help="Base URL of the load balancer or an instance.")
@click.option("--profile", "profile_file", type=click.Path(exists=True, path_type=Path))
@click.option("--rate", type=click.FloatRange(min=0, min_open=True), default=5.0, show_default=True)
@click.option("--duration-s", type=click.FloatRange(min=0, min_open=True), default=10.0)
@click.option("--seed", type=int, default=0, show_default=True)
@click.option(
    "--output", type=click.File("w"), required=True, help="Output file in JSON Lines format."
)
@click.option("--executions", multiple=True, help="Base URL of an application engine; repeatable.")
def load_command(
    url: str,
    profile_file: Path | None,
    rate: float,
    duration_s: float,
    seed: int,
    output: TextIO,
    executions: tuple[str, ...],
) -> None:
    """Run an open-loop load test and record every response."""
    try:
        profile = load_profile(profile_file)
    except ValueError as error:
        raise click.ClickException(f"{profile_file} is not a valid profile: {error}") from error
    asyncio.run(run_load(url, profile, rate, duration_s, seed, output, list(executions)))


@register_command
@click.command("report")
@click.argument("file", type=click.Path(exists=True, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
def report_command(file: Path, as_json: bool) -> None:
    """Print the report of a load test."""
    report = read_report(file)
    click.echo(json.dumps(report.to_json()) if as_json else format_report(report))
