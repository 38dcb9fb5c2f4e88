"""Measure the commit rate, latency and restart time of the replicated log with real disk syncs.

Three voters run in one process and communicate over loopback, so that all of them share one core.
Usage: ``python -m benchmarks.log_commits``.
"""

import asyncio
import shutil
import statistics
import tempfile
import time
from pathlib import Path

import click

from laburnumrock.daemon._log_task import LogTask
from laburnumrock.journal import ClaimOperation
from laburnumrock.replication import Entry, EntryKind, FolderDisk, LogStore, SaveEntries
from laburnumrock.scenarios import make_loopback_settings
from laburnumrock.settings import InstanceSettings
from laburnumrock.state import ReplicatedState, decode_message, encode_message
from laburnumrock.transport import PeerNetwork

VOTERS = ["a1", "b1", "c1"]
KEY = b"benchmark key of the log"
BATCH_ENTRIES = 100
PERCENTILE = 99


async def start_instance(settings: InstanceSettings):
    network = PeerNetwork(settings, KEY)
    log = LogTask(settings, network)
    await network.start()
    (await log.start()).unwrap()
    return network, log


async def start_voters(folder: Path):
    return [await start_instance(item) for item in make_loopback_settings(folder, VOTERS).values()]


async def stop_voters(voters) -> None:
    for network, log in voters:
        await log.stop()
        await network.stop()


def make_claim(number: int) -> ClaimOperation:
    return ClaimOperation("acme", f"key-{number}", "f" * 64, f"{number:024x}", "a1", "p", 30.0)


async def measure_commits(voters, clients: int, duration_s: float):
    latencies_ms = []
    deadline_s = time.monotonic() + duration_s
    claim_numbers = iter(range(clients * 1_000_000, (clients + 1) * 1_000_000))

    async def run_client() -> None:
        leader = next(log for _, log in voters if log.is_leader)
        while time.monotonic() < deadline_s:
            started_s = time.monotonic()
            (await leader.propose(make_claim(next(claim_numbers)))).unwrap()
            latencies_ms.append((time.monotonic() - started_s) * 1e3)

    started_s = time.monotonic()
    await asyncio.gather(*(run_client() for _ in range(clients)))
    rate = len(latencies_ms) / (time.monotonic() - started_s)
    percentiles = statistics.quantiles(latencies_ms, n=100)
    return rate, statistics.median(latencies_ms), percentiles[PERCENTILE - 1]


async def measure_all_commits(folder: Path, duration_s: float) -> None:
    voters = await start_voters(folder)
    (await voters[0][1].read_confirmed(10.0)).unwrap()
    click.echo("clients  commits/s  p50 ms  p99 ms")
    for clients in (1, 10, 100):
        rate, median_ms, p99_ms = await measure_commits(voters, clients, duration_s)
        click.echo(f"{clients:>7}  {rate:>9.0f}  {median_ms:>6.2f}  {p99_ms:>6.2f}")
    await stop_voters(voters)


async def measure_recovery(folder: Path, rounds: int) -> list[float]:
    settings = make_loopback_settings(folder, VOTERS, ["a2"])
    instances = {name: await start_instance(item) for name, item in settings.items()}
    non_voter = instances["a2"][1]
    durations_s = []
    for number in range(rounds):
        (await non_voter.propose(make_claim(number), 10.0)).unwrap()
        name = next(name for name, (_, log) in instances.items() if log.is_leader)
        network, log = instances.pop(name)
        # Stops without a leadership transfer, as if the process had been killed.
        await log.runner.stop()
        await network.stop()
        started_s = time.monotonic()
        (await non_voter.propose(make_claim(rounds + number), 10.0)).unwrap()
        durations_s.append(time.monotonic() - started_s)
        instances[name] = await start_instance(settings[name])
        await asyncio.sleep(1.0)
    await stop_voters(instances.values())
    return durations_s


def measure_sync_ms(folder: Path) -> float:
    disk = FolderDisk(folder / "sync")
    durations_ms = []
    for _ in range(200):
        started_s = time.monotonic()
        disk.append("file", b"x" * 200)
        disk.sync("file")
        durations_ms.append((time.monotonic() - started_s) * 1e3)
    disk.close()
    return statistics.median(durations_ms)


def measure_restart(folder: Path, entries: int) -> tuple[float, float]:
    store = LogStore(FolderDisk(folder))
    store.load(lambda: "identity").unwrap()
    for first in range(1, entries + 1, BATCH_ENTRIES):
        batch = range(first, min(first + BATCH_ENTRIES, entries + 1))
        data = [(index, encode_message(make_claim(index))) for index in batch]
        store.save(
            SaveEntries([Entry(index, 1, EntryKind.COMMAND, command) for index, command in data])
        )
        store.sync()
    started_s = time.monotonic()
    stored = LogStore(FolderDisk(folder)).load(lambda: "identity").unwrap()
    loaded_s = time.monotonic()
    state = ReplicatedState()
    for entry in stored.entries:
        state.apply(entry.index, decode_message(entry.data))
    return loaded_s - started_s, time.monotonic() - loaded_s


@click.command()
@click.option(
    "--duration-s",
    default=5.0,
    show_default=True,
    help="Duration of the measurement for each number of clients.",
)
@click.option(
    "--rounds", default=10, show_default=True, help="Number of times that the leader is killed."
)
def main(duration_s: float, rounds: int) -> None:
    """Print the sync time, the commit rates, the recovery times and the restart times."""
    folder = Path(tempfile.mkdtemp(prefix="log-commits-"))
    try:
        click.echo(f"one sync of 200 bytes: {measure_sync_ms(folder):.2f} ms (p50)")
        asyncio.run(measure_all_commits(folder, duration_s))
        recovery_s = asyncio.run(measure_recovery(folder / "recovery", rounds))
        click.echo(f"leader killed {rounds} times, next commit from an instance without a disk:")
        click.echo(f"p50 {statistics.median(recovery_s):.2f} s, longest {max(recovery_s):.2f} s")
        click.echo("entries  load s  apply s")
        for entries in (500, 50_000):
            load_s, apply_s = measure_restart(folder / f"restart-{entries}", entries)
            click.echo(f"{entries:>7}  {load_s:>6.3f}  {apply_s:>7.3f}")
    finally:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
