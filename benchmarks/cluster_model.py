"""Fleet model: callers, entry routing, schedulers or naive dispatch, and engines."""

import heapq
import random
from dataclasses import dataclass, field

from engine_model import (
    DECODE_STEP_S,
    KV_TOKENS,
    MAX_SEQUENCES,
    PREFILL_TOKENS_PER_S,
    STEP_OVERLAP,
    WARM_UP_S,
    Engine,
    Job,
)
from workload import Call

from laburnumrock.admission import order_pools
from laburnumrock.placement import (
    PermitGrant,
    PermitOutcome,
    PermitRefusal,
    PermitRelease,
    PermitRequest,
    PoolScheduler,
    PoolSettings,
)
from laburnumrock.upstreams import UpstreamAnnouncement, UpstreamKind, UpstreamState

MAX_ATTEMPTS = 3
TICK_S = 0.1
ANNOUNCEMENT_S = 0.5
SUMMARY_S = 1.0


@dataclass(slots=True)
class Pending:
    """Progress of one call."""

    call: Call
    attempt: int = 1
    excluded: list[str] = field(default_factory=list)
    domains: list[str] = field(default_factory=list)
    domain: str = ""
    first_s: float | None = None
    finished_s: float | None = None
    refused_s: float | None = None
    wrong: bool = False
    admitted: bool = False
    failed: bool = False
    active: int = 0


class Cluster:
    """Three failure domains under one policy; ``naive`` sends straight to the engines."""

    def __init__(self, policy: str, domains: int, engines: int, seed: int) -> None:
        self.policy = policy
        self.rng = random.Random(seed)
        self.engines: dict[str, Engine] = {}
        self.domains = [chr(ord("a") + index) for index in range(domains)]
        self.drained: set[str] = set()
        self.events: list = []
        self.sequence = 0
        self.pending: list[Pending] = []
        self.calls: dict[str, Pending] = {}
        self.next_engine = 0
        self.granted: set[tuple[str, int]] = set()
        self.granted_twice = 0
        self.run_twice = 0
        self.schedulers: dict[str, PoolScheduler] = {}
        self.summaries: dict[str, object] = {}
        self.now_s = 0.0
        for domain in self.domains:
            for index in range(engines):
                name = f"{domain}{index}"
                self.engines[name] = Engine(name, domain)
        if policy != "naive":
            for domain in self.domains:
                settings = PoolSettings(
                    f"{domain}/m", policy=policy, permit_ttl_s=1e6, step_overlap=STEP_OVERLAP
                )
                self.schedulers[domain] = PoolScheduler(settings, random.Random(seed), 0.0)
            for engine in self.engines.values():
                self.announce(engine)
                ledger = self.schedulers[engine.domain].table.ledgers[engine.name]
                ledger.slow_start.limit = MAX_SEQUENCES
            for domain in self.domains:
                self.schedulers[domain].tick(0.0)

    def run(self, calls: list[Call], actions: list[tuple], end_s: float) -> None:
        """Run calls and scripted actions ``(time, method, arguments...)`` up to `end_s`."""
        for call in calls:
            self.at(call.arrival_s, self.arrive, call)
        for when_s, method, *arguments in actions:
            self.at(when_s, getattr(self, method), *arguments)
        if self.schedulers:
            self.at(0.0, self.tick)
            self.at(0.0, self.announce_all)
            self.at(0.0, self.summarize)
        while self.events and self.events[0][0] <= end_s:
            self.now_s, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)

    def at(self, when_s: float, function, *arguments) -> None:
        """Schedule a call."""
        self.sequence += 1
        heapq.heappush(self.events, (when_s, self.sequence, function, arguments))

    def tick(self) -> None:
        """Tick all schedulers."""
        for domain, scheduler in self.schedulers.items():
            self.handle(domain, scheduler.tick(self.now_s))
        self.at(self.now_s + TICK_S, self.tick)

    def announce_all(self) -> None:
        """Let every engine announce itself; a stopped one is forgotten."""
        for engine in self.engines.values():
            engine_jobs = engine.advance(self.now_s)
            self.settle(engine, engine_jobs)
            if engine.up:
                self.handle(engine.domain, self.announce(engine))
            else:
                scheduler = self.schedulers[engine.domain]
                self.handle(engine.domain, scheduler.remove_upstream(engine.name, self.now_s))
        self.at(self.now_s + ANNOUNCEMENT_S, self.announce_all)

    def announce(self, engine: Engine) -> list:
        """Relay the announcement of one engine."""
        announcement = UpstreamAnnouncement(
            upstream_id=engine.name,
            kind=UpstreamKind.MODEL_ENGINE,
            failure_domain=engine.domain,
            incarnation=engine.incarnation,
            base_url=engine.name,
            models=["m"],
            kv_capacity_tokens=KV_TOKENS,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
            decode_step_s=DECODE_STEP_S,
            state=UpstreamState(engine.state()),
            running=len(engine.jobs),
        )
        return self.schedulers[engine.domain].observe_upstream(announcement, self.now_s)

    def summarize(self) -> None:
        """Refresh the summaries that route requests to pools."""
        for domain, scheduler in self.schedulers.items():
            self.summaries[domain] = scheduler.summarize(self.now_s)
        self.at(self.now_s + SUMMARY_S, self.summarize)

    def arrive(self, call: Call) -> None:
        """Start a call."""
        entry = Pending(call)
        self.pending.append(entry)
        self.calls[call.name] = entry
        self.try_next(entry)

    def try_next(self, entry: Pending) -> None:
        """Start the next attempt of a call."""
        entry.domains = []
        if self.schedulers:
            self.ask(entry)
        else:
            self.send_naive(entry)

    def ask(self, entry: Pending) -> None:
        """Ask the next pool for a permit; a call that no pool takes is refused."""
        names = [name for name in self.domains if name not in entry.domains]
        names = [name for name in names if name not in self.drained]
        if not names or self.now_s >= entry.call.deadline_s:
            self.refuse(entry)
            return
        name = self.pick_domain(names, entry.call)
        entry.domains.append(name)
        entry.domain = name
        call = entry.call
        request = PermitRequest(
            request_id=call.name,
            attempt=entry.attempt,
            client_account=call.account,
            caller=call.caller,
            model="m",
            prompt_tokens=call.prompt_tokens,
            max_output_tokens=call.output_tokens,
            remaining_s=call.deadline_s - self.now_s,
            excluded_upstreams=entry.excluded,
        )
        self.handle(name, self.schedulers[name].receive("entry", request, self.now_s))

    def pick_domain(self, names: list[str], call: Call) -> str:
        """Return the pool that the entry instance tries next, by the last summaries."""
        summaries = [self.summaries[name] for name in names if name in self.summaries]
        remaining_s = call.deadline_s - self.now_s
        ordered = order_pools(
            summaries, call.prompt_tokens, call.output_tokens, remaining_s, self.rng
        )
        return ordered[0].pool_id.split("/")[0] if ordered else self.rng.choice(names)

    def handle(self, domain: str, effects: list) -> None:
        """Carry out the effects of a scheduler."""
        for effect in effects:
            message = getattr(effect, "message", None)
            if isinstance(message, PermitGrant):
                self.start(domain, message)
            elif isinstance(message, PermitRefusal):
                self.ask(self.calls[message.request_id])

    def start(self, domain: str, grant: PermitGrant) -> None:
        """Send a granted attempt to its engines."""
        entry = self.calls[grant.request_id]
        entry.admitted = True
        self.granted_twice += (grant.request_id, grant.attempt) in self.granted
        self.granted.add((grant.request_id, grant.attempt))
        engines = [self.engines[placement.upstream_id] for placement in grant.placements]
        parts = [placement.kv_tokens for placement in grant.placements]
        job = self.make_job(entry, engines, parts)
        job.permit = grant
        for engine in engines:
            self.settle(engine, engine.advance(self.now_s))
        reason = engines[0].submit(job, queue=False)
        for engine in engines[1:]:
            reason = reason or engine.reserve(job)
        for engine in engines:
            if reason:
                engine.leave(job)
            self.wake(engine)
        if reason:
            self.lose(engines[0], job, reason)

    def make_job(self, entry: Pending, engines: list[Engine], parts: list[int]) -> Job:
        """Return the present attempt of a call."""
        call = entry.call
        job = Job(call.name, entry.attempt, call.prompt_tokens, call.output_tokens, engines, parts)
        job.pending = entry
        job.sent_s = self.now_s
        self.run_twice += entry.active > 0 or entry.finished_s is not None
        entry.active += 1
        return job

    def send_naive(self, entry: Pending) -> None:
        """Send to the next engine in turn, whatever its load."""
        names = list(self.engines)
        for _ in range(len(names)):
            engine = self.engines[names[self.next_engine % len(names)]]
            self.next_engine += 1
            if engine.up and engine.domain not in self.drained:
                break
        else:
            self.refuse(entry)
            return
        entry.admitted = True
        need = entry.call.prompt_tokens + entry.call.output_tokens
        job = self.make_job(entry, [engine], [need])
        self.settle(engine, engine.advance(self.now_s))
        reason = engine.submit(job, queue=True)
        self.wake(engine)
        if reason:
            self.lose(engine, job, reason)

    def lose(self, engine: Engine, job: Job, reason: str) -> None:
        """Handle a refusal or a crash of an engine."""
        if reason == "crash":
            for lost in engine.restart():
                self.end(lost, PermitOutcome.FAILED)
            self.wake(engine)
        outcome = PermitOutcome.COLD if reason in ("cold", "crash") else PermitOutcome.OVERLOADED
        self.end(job, outcome)

    def end(self, job: Job, outcome: PermitOutcome) -> None:
        """Finish an attempt, release its permit and start the next attempt if needed."""
        if job.failed:
            return
        entry: Pending = job.pending
        entry.active -= 1
        job.failed = outcome is not PermitOutcome.FINISHED
        for engine in job.engines:
            if engine.up and engine.now_s < self.now_s:
                self.settle(engine, engine.advance(self.now_s))
            engine.leave(job)
            self.wake(engine)
        if outcome is PermitOutcome.FINISHED:
            entry.first_s = job.first_s
            entry.finished_s = job.finished_s
        effects = []
        if job.permit is not None:
            first_s = None if job.first_s is None else job.first_s - job.sent_s
            release = PermitRelease(job.permit.permit_id, outcome, first_s, job.output_tokens)
            effects = self.schedulers[entry.domain].receive("entry", release, self.now_s)
            self.handle(entry.domain, effects)
        if outcome is PermitOutcome.FINISHED:
            return
        entry.excluded = [*entry.excluded, job.engines[0].name]
        entry.attempt += 1
        if entry.attempt > MAX_ATTEMPTS or self.now_s >= entry.call.deadline_s:
            entry.failed = True
            return
        self.try_next(entry)

    def settle(self, engine: Engine, ended: list[Job]) -> None:
        """Finish answers, and start the next part of spanning prompts."""
        for job in ended:
            if job.finished_s is not None:
                self.end(job, PermitOutcome.FINISHED)
            else:
                job.part += 1
                following = job.engines[job.part]
                self.settle(following, following.advance(self.now_s))
                following.start_part(job)
                self.wake(following)
        if ended:
            self.wake(engine)

    def wake(self, engine: Engine) -> None:
        """Schedule the next change of an engine."""
        engine.version += 1
        event_s = engine.next_event_s()
        if event_s < float("inf"):
            self.at(max(event_s, self.now_s), self.run_engine, engine, engine.version)

    def run_engine(self, engine: Engine, version: int) -> None:
        """Handle a change of an engine unless it was rescheduled."""
        if version == engine.version:
            ended = engine.advance(self.now_s)
            self.settle(engine, ended)
            if not ended:
                self.wake(engine)

    def refuse(self, entry: Pending) -> None:
        """Record a refusal and whether it was wrong."""
        entry.refused_s = self.now_s
        entry.wrong = self.could_finish(entry.call)

    def could_finish(self, call: Call) -> bool:
        """Return whether some engine could have finished a refused call in time."""
        need = call.prompt_tokens + call.output_tokens
        for engine in self.engines.values():
            if not engine.up or engine.domain in self.drained or engine.waiting:
                continue
            if engine.kv_used + need > KV_TOKENS or len(engine.jobs) >= MAX_SEQUENCES:
                continue
            if self.now_s - engine.cold_since_s < WARM_UP_S:
                continue
            if engine.estimate_finish_s(call.prompt_tokens, call.output_tokens) <= call.deadline_s:
                return True
        return False

    def drain(self, domain: str) -> None:
        """Take a failure domain out of service; running work goes on."""
        self.drained.add(domain)
        if self.schedulers:
            self.handle(domain, self.schedulers[domain].set_pool_in_service(False, self.now_s))

    def power_off(self, domain: str) -> None:
        """Stop the engines of a failure domain."""
        for engine in self.engines.values():
            if engine.domain == domain:
                engine.up = False
                for job in engine.restart():
                    self.end(job, PermitOutcome.FAILED)

    def power_on(self, domain: str) -> None:
        """Start the engines of a failure domain, cold, and put it back in service."""
        for engine in self.engines.values():
            if engine.domain == domain:
                engine.now_s = self.now_s
                engine.up = True
                engine.restart()
        self.drained.discard(domain)
        if self.schedulers:
            self.handle(domain, self.schedulers[domain].set_pool_in_service(True, self.now_s))

    def turn_cold(self, name: str) -> None:
        """Turn an engine cold without an announcement."""
        engine = self.engines[name]
        self.settle(engine, engine.advance(self.now_s))
        engine.cold_since_s = self.now_s
        engine.announced_cold = False
