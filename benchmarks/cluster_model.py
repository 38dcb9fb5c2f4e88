"""Fleet model: callers, entry routing, permit schedulers or naive dispatch, and engines."""

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
TICK_INTERVAL_S = 0.1
ANNOUNCEMENT_INTERVAL_S = 0.5
SUMMARY_INTERVAL_S = 1.0


@dataclass(slots=True)
class CallState:
    """State of one call across its attempts."""

    call: Call
    attempt: int = 1
    excluded: list[str] = field(default_factory=list)
    tried_domains: list[str] = field(default_factory=list)
    domain: str = ""
    first_s: float | None = None
    finished_s: float | None = None
    refused_s: float | None = None
    wrongly_refused: bool = False
    admitted: bool = False
    failed: bool = False
    running_attempts: int = 0


class Cluster:
    """Failure domains under one placement policy; ``naive`` bypasses the schedulers."""

    def __init__(self, policy: str, domains: int, engines: int, seed: int) -> None:
        self.policy = policy
        self.rng = random.Random(seed)
        self.engines: dict[str, Engine] = {}
        self.domains = [chr(ord("a") + index) for index in range(domains)]
        self.drained: set[str] = set()
        self.events: list = []
        self.sequence = 0
        self.call_states: list[CallState] = []
        self.calls: dict[str, CallState] = {}
        self.next_engine_index = 0
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
            self.at(call.arrival_s, self.start_call, call)
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
        """Schedule a function call at a point in virtual time."""
        self.sequence += 1
        heapq.heappush(self.events, (when_s, self.sequence, function, arguments))

    def tick(self) -> None:
        """Tick all schedulers."""
        for domain, scheduler in self.schedulers.items():
            self.handle(domain, scheduler.tick(self.now_s))
        self.at(self.now_s + TICK_INTERVAL_S, self.tick)

    def announce_all(self) -> None:
        """Announce every running engine, and remove stopped ones from their scheduler."""
        for engine in self.engines.values():
            engine_jobs = engine.advance(self.now_s)
            self.handle_ended_jobs(engine, engine_jobs)
            if engine.up:
                self.handle(engine.domain, self.announce(engine))
            else:
                scheduler = self.schedulers[engine.domain]
                self.handle(engine.domain, scheduler.remove_upstream(engine.name, self.now_s))
        self.at(self.now_s + ANNOUNCEMENT_INTERVAL_S, self.announce_all)

    def announce(self, engine: Engine) -> list:
        """Deliver the announcement of one engine to its scheduler."""
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
        """Refresh the pool summaries that the routing of requests uses."""
        for domain, scheduler in self.schedulers.items():
            self.summaries[domain] = scheduler.summarize(self.now_s)
        self.at(self.now_s + SUMMARY_INTERVAL_S, self.summarize)

    def start_call(self, call: Call) -> None:
        """Record an arriving call and start its first attempt."""
        call_state = CallState(call)
        self.call_states.append(call_state)
        self.calls[call.name] = call_state
        self.start_attempt(call_state)

    def start_attempt(self, call_state: CallState) -> None:
        """Start the next attempt of a call."""
        call_state.tried_domains = []
        if self.schedulers:
            self.request_permit(call_state)
        else:
            self.send_naive(call_state)

    def request_permit(self, call_state: CallState) -> None:
        """Request a permit from the next pool; the call is refused if no pool is left to try."""
        names = [name for name in self.domains if name not in call_state.tried_domains]
        names = [name for name in names if name not in self.drained]
        if not names or self.now_s >= call_state.call.deadline_s:
            self.refuse(call_state)
            return
        name = self.pick_domain(names, call_state.call)
        call_state.tried_domains.append(name)
        call_state.domain = name
        call = call_state.call
        request = PermitRequest(
            request_id=call.name,
            attempt=call_state.attempt,
            client_account=call.account,
            caller=call.caller,
            model="m",
            prompt_tokens=call.prompt_tokens,
            max_output_tokens=call.output_tokens,
            remaining_s=call.deadline_s - self.now_s,
            excluded_upstreams=call_state.excluded,
        )
        self.handle(name, self.schedulers[name].receive("entry", request, self.now_s))

    def pick_domain(self, names: list[str], call: Call) -> str:
        """Return the failure domain whose pool is tried next, by the latest pool summaries."""
        summaries = [self.summaries[name] for name in names if name in self.summaries]
        remaining_s = call.deadline_s - self.now_s
        ordered = order_pools(
            summaries, call.prompt_tokens, call.output_tokens, remaining_s, self.rng
        )
        return ordered[0].pool_id.split("/")[0] if ordered else self.rng.choice(names)

    def handle(self, domain: str, effects: list) -> None:
        """Process the effects that a scheduler returned."""
        for effect in effects:
            message = getattr(effect, "message", None)
            if isinstance(message, PermitGrant):
                self.start(domain, message)
            elif isinstance(message, PermitRefusal):
                self.request_permit(self.calls[message.request_id])

    def start(self, domain: str, grant: PermitGrant) -> None:
        """Send a granted attempt to its engines."""
        call_state = self.calls[grant.request_id]
        call_state.admitted = True
        self.granted_twice += (grant.request_id, grant.attempt) in self.granted
        self.granted.add((grant.request_id, grant.attempt))
        engines = [self.engines[placement.upstream_id] for placement in grant.placements]
        parts = [placement.kv_tokens for placement in grant.placements]
        job = self.make_job(call_state, engines, parts)
        job.permit = grant
        for engine in engines:
            self.handle_ended_jobs(engine, engine.advance(self.now_s))
        reason = engines[0].submit(job, queue=False)
        for engine in engines[1:]:
            reason = reason or engine.reserve(job)
        for engine in engines:
            if reason:
                engine.release_job(job)
            self.schedule_next_event(engine)
        if reason:
            self.handle_rejection(engines[0], job, reason)

    def make_job(self, call_state: CallState, engines: list[Engine], parts: list[int]) -> Job:
        """Return a job for the current attempt of a call."""
        call = call_state.call
        job = Job(
            call.name, call_state.attempt, call.prompt_tokens, call.output_tokens, engines, parts
        )
        job.call_state = call_state
        job.sent_s = self.now_s
        self.run_twice += call_state.running_attempts > 0 or call_state.finished_s is not None
        call_state.running_attempts += 1
        return job

    def send_naive(self, call_state: CallState) -> None:
        """Send to the next engine in round-robin order, regardless of its load."""
        names = list(self.engines)
        for _ in range(len(names)):
            engine = self.engines[names[self.next_engine_index % len(names)]]
            self.next_engine_index += 1
            if engine.up and engine.domain not in self.drained:
                break
        else:
            self.refuse(call_state)
            return
        call_state.admitted = True
        needed_tokens = call_state.call.prompt_tokens + call_state.call.output_tokens
        job = self.make_job(call_state, [engine], [needed_tokens])
        self.handle_ended_jobs(engine, engine.advance(self.now_s))
        reason = engine.submit(job, queue=True)
        self.schedule_next_event(engine)
        if reason:
            self.handle_rejection(engine, job, reason)

    def handle_rejection(self, engine: Engine, job: Job, reason: str) -> None:
        """End an attempt that an engine rejected, and restart the engine if it crashed."""
        if reason == "crash":
            for lost_job in engine.restart():
                self.end(lost_job, PermitOutcome.FAILED)
            self.schedule_next_event(engine)
        outcome = PermitOutcome.COLD if reason in ("cold", "crash") else PermitOutcome.OVERLOADED
        self.end(job, outcome)

    def end(self, job: Job, outcome: PermitOutcome) -> None:
        """End an attempt, release its permit and start the next attempt if needed."""
        if job.failed:
            return
        call_state: CallState = job.call_state
        call_state.running_attempts -= 1
        job.failed = outcome is not PermitOutcome.FINISHED
        for engine in job.engines:
            if engine.up and engine.now_s < self.now_s:
                self.handle_ended_jobs(engine, engine.advance(self.now_s))
            engine.release_job(job)
            self.schedule_next_event(engine)
        if outcome is PermitOutcome.FINISHED:
            call_state.first_s = job.first_s
            call_state.finished_s = job.finished_s
        effects = []
        if job.permit is not None:
            first_s = None if job.first_s is None else job.first_s - job.sent_s
            release = PermitRelease(job.permit.permit_id, outcome, first_s, job.output_tokens)
            effects = self.schedulers[call_state.domain].receive("entry", release, self.now_s)
            self.handle(call_state.domain, effects)
        if outcome is PermitOutcome.FINISHED:
            return
        call_state.excluded = [*call_state.excluded, job.engines[0].name]
        call_state.attempt += 1
        if call_state.attempt > MAX_ATTEMPTS or self.now_s >= call_state.call.deadline_s:
            call_state.failed = True
            return
        self.start_attempt(call_state)

    def handle_ended_jobs(self, engine: Engine, ended: list[Job]) -> None:
        """End completed jobs, and start the next part of prompts that span several engines."""
        for job in ended:
            if job.finished_s is not None:
                self.end(job, PermitOutcome.FINISHED)
            else:
                job.part += 1
                following = job.engines[job.part]
                self.handle_ended_jobs(following, following.advance(self.now_s))
                following.start_part(job)
                self.schedule_next_event(following)
        if ended:
            self.schedule_next_event(engine)

    def schedule_next_event(self, engine: Engine) -> None:
        """Schedule the next event of an engine; this invalidates the event scheduled before."""
        engine.version += 1
        event_s = engine.next_event_s()
        if event_s < float("inf"):
            self.at(max(event_s, self.now_s), self.handle_engine_event, engine, engine.version)

    def handle_engine_event(self, engine: Engine, version: int) -> None:
        """Handle an event of an engine unless a later one replaced it."""
        if version == engine.version:
            ended = engine.advance(self.now_s)
            self.handle_ended_jobs(engine, ended)
            if not ended:
                self.schedule_next_event(engine)

    def refuse(self, call_state: CallState) -> None:
        """Record a refusal, and whether an engine could have served the call in time."""
        call_state.refused_s = self.now_s
        call_state.wrongly_refused = self.could_finish_in_time(call_state.call)

    def could_finish_in_time(self, call: Call) -> bool:
        """Return whether some engine could have finished a refused call in time."""
        needed_tokens = call.prompt_tokens + call.output_tokens
        for engine in self.engines.values():
            if not engine.up or engine.domain in self.drained or engine.waiting:
                continue
            if engine.kv_used + needed_tokens > KV_TOKENS or len(engine.jobs) >= MAX_SEQUENCES:
                continue
            if self.now_s - engine.cold_since_s < WARM_UP_S:
                continue
            if engine.estimate_finish_s(call.prompt_tokens, call.output_tokens) <= call.deadline_s:
                return True
        return False

    def drain(self, domain: str) -> None:
        """Take a failure domain out of service; running requests continue."""
        self.drained.add(domain)
        if self.schedulers:
            self.handle(domain, self.schedulers[domain].set_pool_in_service(False, self.now_s))

    def power_off(self, domain: str) -> None:
        """Stop the engines of a failure domain; their jobs fail."""
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
        """Make an engine cold without announcing it as cold."""
        engine = self.engines[name]
        self.handle_ended_jobs(engine, engine.advance(self.now_s))
        engine.cold_since_s = self.now_s
        engine.announced_cold = False
