"""Marginal costs of control messages, state and decisions, measured in one process."""

import gc
import random
import tracemalloc
from collections.abc import Callable

from decision_cost import make_request, make_scheduler
from decision_cost import measure as measure_decisions
from slope_fit import Slope, fit_slope, measure_cpu_us

from laburnumrock.admission import AccountLimits, QuotaManager, ShareAllocator
from laburnumrock.daemon._pool_report import PoolReport, parse_row
from laburnumrock.declarations import DeclarationFetch, DeclarationStep, DeclarationUpdate
from laburnumrock.journal import ClaimOperation
from laburnumrock.membership import (
    Ack,
    DomainDigest,
    MemberState,
    MemberTable,
    MemberUpdate,
    Ping,
)
from laburnumrock.messages import Frame, decode_frame, encode_frame
from laburnumrock.ownership import (
    AssignmentRequest,
    HeldPool,
    LeaseRequest,
    PoolAssignment,
    PoolAssignments,
    PoolOwner,
)
from laburnumrock.placement import (
    PermitGrant,
    PermitOutcome,
    PermitRelease,
    Placement,
    PoolSummary,
    make_renewal,
)
from laburnumrock.replication import Append, AppendAnswer, Entry, EntryKind
from laburnumrock.settings import TimingSettings
from laburnumrock.state import ReplicatedState, encode_message
from laburnumrock.upstreams import UpstreamBeat, apply_heartbeat, compute_checksum

ITEM_COUNTS = (4, 8, 16, 32)
OPERATION_COUNTS = (500, 1_000, 1_500, 2_000)
PING_FACTS = {"revision": 2_400, "holds": []}
VOTER_ID = "0123456789abcdef"
WAIT_S_BY_CLASS = {"short": 0.01, "medium": 0.2, "long": 1.5, "spanning": 20.0}


def make_claim(number: int) -> ClaimOperation:
    return ClaimOperation("acme", f"key-{number}", "f" * 64, f"{number:024x}", "a1", "p", 30.0)


def make_template(number: int) -> dict:
    return {
        "type": "template",
        "client_account": f"account-{number:04}",
        "model": "quote",
        "limits": {"requests_per_s": 100, "tokens_per_s": 1_000_000, "concurrency": 1_000},
        "deadlines": {"short_s": 5, "medium_s": 30, "long_s": 300},
        "max_output_tokens": 1_000,
    }


def make_summary(number: int) -> PoolSummary:
    return PoolSummary(
        f"a/model/m{number:02}/0101", 1 << 45, True, 24, 9_000_000, 3, WAIT_S_BY_CLASS
    )


def make_row(number: int) -> list:
    return PoolReport(f"a-{number}", 0.5, make_summary(number)).to_row()


def make_grant(number: int) -> PermitGrant:
    placement = Placement(f"a-engine-{number}", "http://10.0.0.1:9000", 8_000, 0)
    return PermitGrant(
        f"a/model/m/01/{1 << 45}/{number}", f"{number:032x}", 1, 1 << 45, [placement], 2.0
    )


def make_entry(number: int) -> Entry:
    return Entry(number, 7, EntryKind.COMMAND, encode_message(make_claim(number)))


def make_announcement(number: int = 0):
    scheduler = make_scheduler("length_aware", 1, 0)
    return next(iter(scheduler.table.ledgers.values())).announcement


FIXED_SIZE_MESSAGES = {
    "UpstreamAnnouncement": make_announcement(),
    "UpstreamBeat": UpstreamBeat("a-engine-100", 1 << 31, 12, 3, 300_000, 250),
    "PoolSummary": make_summary(1),
    "LeaseRequest": LeaseRequest(1 << 47, 1 << 41, True),
    "DeclarationFetch": DeclarationFetch(10_000, 2_400),
    "PermitRequest": make_request(1, random.Random(1)),
    "PermitGrant": make_grant(1),
    "PermitRelease": PermitRelease(f"a/model/m/01/{1 << 45}/1", PermitOutcome.FINISHED, 0.2, 300),
    "AppendAnswer": AppendAnswer(7, VOTER_ID, VOTER_ID, True, 10_000, 10_000),
    "Ack": Ack(1_000, "a-1", 1 << 40, [], PING_FACTS),
}
VARIABLE_SIZE_MESSAGES: dict[str, Callable[[int], object]] = {
    "Ping per update": lambda n: Ping(
        1_000,
        1 << 40,
        [MemberUpdate(f"a-{k}", MemberState.ALIVE, 1 << 40) for k in range(n)],
        PING_FACTS,
    ),
    "DomainDigest per pool": lambda n: DomainDigest(
        "a", 9, [f"a-{k}" for k in range(40)], [make_row(k) for k in range(n)], "a-1"
    ),
    "AssignmentRequest per pool": lambda n: AssignmentRequest(
        9, 1 << 40, True, [HeldPool(f"a/model/m{k:02}/0101", 1 << 45) for k in range(n)]
    ),
    "PoolAssignments per pool": lambda n: PoolAssignments(
        9, 1 << 40, [PoolAssignment(f"a/model/m{k:02}/0101", 1 << 45, 1.0) for k in range(n)], 9
    ),
    "PoolAssignments per owner": lambda n: PoolAssignments(
        9, 1 << 40, [], 9, {f"a/model/m{k:02}/0101": PoolOwner(f"a-{k}", 1 << 45) for k in range(n)}
    ),
    "PermitRenewal per permit": lambda n: make_renewal(
        "a/model/m/01", 1 << 45, [make_grant(1_000 + k) for k in range(n)]
    ),
    "PermitRenewal after a take-over": lambda n: make_renewal(
        "a/model/m/01", 2 << 45, [make_grant(1_000 + k) for k in range(n)]
    ),
    "DeclarationUpdate per change": lambda n: DeclarationUpdate(
        2_400,
        10_000,
        0.5,
        [
            DeclarationStep(k, [{"action": "put", "declaration": make_template(k)}])
            for k in range(n)
        ],
    ),
    "Append per entry": lambda n: Append(
        7, VOTER_ID, VOTER_ID, 10, 7, [make_entry(k) for k in range(n)], 10, 10
    ),
}


def measure_messages() -> list[Slope]:
    """Return the CPU time of encoding and decoding, and the encoded bytes, by message type."""
    slopes = []
    for name, message in FIXED_SIZE_MESSAGES.items():
        data = encode_frame(Frame(message))
        codec = [measure_cpu_us(lambda n=n, m=message: run_codec(m, n)) for n in OPERATION_COUNTS]
        slopes.append(fit_slope(f"{name} codec", "us/message", OPERATION_COUNTS, codec))
        sizes = [n * len(data) for n in OPERATION_COUNTS]
        slopes.append(fit_slope(f"{name} size", "B/message", OPERATION_COUNTS, sizes))
    for name, make in VARIABLE_SIZE_MESSAGES.items():
        messages = [make(count) for count in ITEM_COUNTS]
        codec = [measure_cpu_us(lambda m=message: run_codec(m, 200)) / 200 for message in messages]
        slopes.append(fit_slope(f"{name} codec", "us/item", ITEM_COUNTS, codec))
        sizes = [len(encode_frame(Frame(make(n)))) for n in ITEM_COUNTS]
        slopes.append(fit_slope(f"{name} size", "B/item", ITEM_COUNTS, sizes))
    return slopes


def run_codec(message: object, count: int) -> None:
    for _ in range(count):
        decode_frame(encode_frame(Frame(message))).unwrap()


def measure_memory(name: str, unit: str, sizes, make: Callable[[int], object]) -> Slope:
    """Fit the bytes that the result of `make(size)` occupies over the sizes."""
    values = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        retained = make(size)
        gc.collect()
        values.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del retained
    return fit_slope(name, unit, sizes, values)


def make_manager(count: int) -> QuotaManager:
    manager = QuotaManager(ShareAllocator("a", ["a", "b"], first_sequence=1, started_s=0.0))
    limits = {f"account-{k}": AccountLimits(100.0, 1e6, 1_000) for k in range(count)}
    manager.set_limits(limits, 0.0)
    return manager


def make_members(count: int) -> MemberTable:
    names = [f"a-{k}" for k in range(count)]
    return MemberTable("a-0", names, TimingSettings(), random.Random(1), 1 << 40)


def make_state(count: int) -> ReplicatedState:
    state = ReplicatedState()
    for number in range(count):
        state.apply(number + 1, make_claim(number))
    return state


def make_pool(size: int, requests: int):
    """Return a scheduler that has granted requests, and queued the rest once the pool was full."""
    scheduler = make_scheduler("length_aware", size, 1)
    rng = random.Random(1)
    for number in range(requests):
        request = make_request(number, rng)
        scheduler.receive("entry", request, 0.0)
    return scheduler


def make_queue(requests: int):
    """Return a scheduler that queues every request, as it neither grants nor refuses any."""
    scheduler = make_scheduler("length_aware", 4, 1)
    scheduler.allocator._find_refusal_kind = lambda waiting, now_s: None
    scheduler.allocator._try_grant = lambda waiting, now_s: None
    rng = random.Random(1)
    for number in range(requests):
        scheduler.receive("entry", make_request(number, rng), 0.0)
    return scheduler


def measure_memory_by_state() -> list[Slope]:
    """Return the memory per item of each kind of state."""
    counts = (100, 200, 300, 400)
    return [
        measure_memory(
            "upstream at its owner", "B/upstream", ITEM_COUNTS, lambda n: make_pool(n, 0)
        ),
        measure_memory("permit at its owner", "B/permit", counts, lambda n: make_pool(100, n)),
        measure_memory("queued request", "B/request", counts, make_queue),
        measure_memory("account at the coordinator", "B/account", counts, make_manager),
        measure_memory("member", "B/member", (10, 20, 40, 80), make_members),
        measure_memory(
            "log entry",
            "B/entry",
            OPERATION_COUNTS,
            lambda n: [make_entry(number) for number in range(n)],
        ),
        measure_memory("operation in the journal", "B/operation", OPERATION_COUNTS, make_state),
    ]


def run_heartbeats(count: int) -> None:
    scheduler = make_scheduler("length_aware", 32, 1)
    announcements = [ledger.announcement for ledger in scheduler.table.ledgers.values()]
    for number in range(count):
        heartbeat = FIXED_SIZE_MESSAGES["UpstreamBeat"]
        announcement = apply_heartbeat(announcements[number % len(announcements)], heartbeat)
        compute_checksum(announcement)
        scheduler.observe_upstream(announcement, number / 64)


def run_probes(count: int) -> None:
    table = make_members(40)
    for number in range(count):
        now_s = float(number)
        for effect in table.tick(now_s):
            if hasattr(effect, "message") and isinstance(effect.message, Ping):
                ack = Ack(effect.message.sequence, effect.destination, 1 << 40, [], PING_FACTS)
                table.receive(effect.destination, ack, now_s)


def run_digest(pools: int) -> None:
    rows = [make_row(k) for k in range(pools)]
    for _ in range(200):
        for row in rows:
            parse_row(row)


def measure_decision_costs() -> list[Slope]:
    """Return the CPU time of permit decisions, announcements, probes and domain digests."""
    sizes = (8, 16, 32, 64)
    decisions = [measure_decisions("length_aware", n, 2_000, 1)["mean_us"] for n in sizes]
    heartbeats = [measure_cpu_us(lambda n=n: run_heartbeats(n)) for n in OPERATION_COUNTS]
    probes = [measure_cpu_us(lambda n=n: run_probes(n)) for n in OPERATION_COUNTS]
    digests = [measure_cpu_us(lambda n=n: run_digest(n)) / 200 for n in ITEM_COUNTS]
    return [
        fit_slope("permit decision by upstreams", "us/upstream", sizes, decisions),
        fit_slope("announcement at the owner", "us/announcement", OPERATION_COUNTS, heartbeats),
        fit_slope("probe round", "us/probe", OPERATION_COUNTS, probes),
        fit_slope("digest by pools", "us/pool", ITEM_COUNTS, digests),
    ]
