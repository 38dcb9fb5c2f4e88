"""Replay of synthetic user load against placement policies, in virtual time."""

import math
import random
from collections.abc import Callable

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
from laburnumrock.standins import FleetReplay, ReplayRequest

ENGINES = 21
PARAMETERS = EngineParameters(mean_prompt_tokens=13_229, mean_output_tokens=1_541)
PLACE_WAITING_INTERVAL_S = 0.05
# Rate, mean and standard deviation (of the logarithm) of the prompt length, maximum prompt length,
# output length, latency targets and value of the three kinds of requests.
KINDS = {
    "short": (23.1, 4_960, 0.9, 23_800, 1_600, 0.3, 0.2, 1.3),
    "medium": (1.67, 45_000, 0.5, 110_000, 960, 1.5, 0.5, 3.1),
    "long": (0.69, 210_000, 0.55, 430_000, 800, 3.0, 0.8, 22.0),
}
# Rate factors of the three kinds in phases of about ten seconds, as on the users' worst days.
PHASES = ((0.37, 1.3, 2.7), (2.4, 0.5, 0.05), (0.37, 1.3, 2.8))
PHASE_S = 9.5


def make_load(seed: int, phases=PHASES) -> list[ReplayRequest]:
    """Generate the requests of one replay."""
    rng = random.Random(seed)
    requests = []
    for phase, factors in enumerate(phases):
        for (rate, mean, spread, largest, output, goal_s, gap_s, value), factor in zip(
            KINDS.values(), factors, strict=True
        ):
            at_s = 0.0
            while (at_s := at_s + rng.expovariate(rate * factor)) < PHASE_S:
                centre = math.log(mean) - spread**2 / 2
                tokens = min(int(rng.lognormvariate(centre, spread)), largest)
                # The value grows with the size of a request, up to four times that of its kind.
                size = (tokens + 10 * output) / (mean + 10 * output)
                requests.append(
                    ReplayRequest(
                        len(requests) + 1,
                        phase * PHASE_S + at_s,
                        max(tokens, 100),
                        output,
                        goal_s,
                        gap_s,
                        value * min(0.3 + 0.7 * size, 4.0),
                    )
                )
    return requests


def replay_round_robin(requests: list[ReplayRequest]) -> None:
    """Send each request to the next engine, as a naive baseline."""
    fleet = FleetReplay(ENGINES, PARAMETERS, lambda *_: None, lambda *_: None)
    for index, request in enumerate(sorted(requests, key=lambda item: item.arrives_s)):
        fleet.at(request.arrives_s, lambda r=request, e=index % ENGINES: fleet.send(r, e, []))
    fleet.run(1e9)


def replay_least_sends(requests: list[ReplayRequest]) -> None:
    """Send each request to an engine with the fewest requests, as a naive baseline."""
    counts = [0] * ENGINES
    used: dict[int, int] = {}

    def end(request: ReplayRequest, now_s: float) -> None:
        counts[used[request.number]] -= 1

    fleet = FleetReplay(ENGINES, PARAMETERS, lambda *_: None, end)

    def send(request: ReplayRequest) -> None:
        engine = min(range(ENGINES), key=lambda number: (counts[number], number))
        counts[engine] += 1
        used[request.number] = engine
        fleet.send(request, engine, [])

    for request in requests:
        fleet.at(request.arrives_s, lambda r=request: send(r))
    fleet.run(1e9)


def replay_dispatcher(requests: list[ReplayRequest]) -> None:
    """Place each request with the dispatcher."""
    dispatcher = make_dispatcher()
    permits: dict[int, int] = {}

    def first(request: ReplayRequest, now_s: float) -> None:
        sent_s = now_s - request.first_s
        dispatcher.record_started(SendStarted(permits[request.number], now_s - sent_s), now_s)

    def end(request: ReplayRequest, now_s: float) -> None:
        message = SendEnded(permits[request.number], SendOutcome.DONE)
        dispatcher.record_ended(message, now_s)

    fleet = FleetReplay(ENGINES, PARAMETERS, first, end)
    waiting: dict[int, ReplayRequest] = {}

    def send(request: ReplayRequest, answer: DispatchAnswer) -> None:
        if not answer.permit:
            request.refused = True
            return
        permits[request.number] = answer.permit
        helpers = [int(helper.upstream_id) for helper in answer.helpers]
        fleet.send(request, int(answer.upstream_id), helpers)

    def place(request: ReplayRequest) -> None:
        call = DispatchCall(
            str(request.number),
            1,
            "llm",
            "one",
            1,
            request.prompt_tokens,
            request.output_tokens,
            request.goal_s,
            request.gap_goal_s,
            15.0,
        )
        answer = dispatcher.place("e", "a", call, fleet.now_s)
        if isinstance(answer, DispatchAnswer):
            send(request, answer)
        else:
            waiting[answer] = request

    def retry() -> None:
        """Place waiting requests at a fixed interval."""
        for decision in dispatcher.place_waiting({}, fleet.now_s):
            send(waiting.pop(decision.ticket), decision.answer)
        fleet.at(fleet.now_s + PLACE_WAITING_INTERVAL_S, retry)

    for request in requests:
        fleet.at(request.arrives_s, lambda r=request: place(r))
    fleet.at(0.0, retry)
    fleet.run(PHASE_S * len(PHASES) + 60.0)


def make_dispatcher() -> Dispatcher:
    """Return a dispatcher with idle engines whose reports never become stale."""
    settings = DispatchSettings(stale_after_s=1e9)
    dispatcher = Dispatcher(settings, UpstreamDirectory(1e9, 1e9), random.Random(1))
    dispatcher.set_routes(RouteSet(1, (), (Service("llm", engine=PARAMETERS),)))
    dispatcher.start(1, 0.0)
    state = UpstreamState.READY
    for number in range(ENGINES):
        name = str(number)
        report = UpstreamReport(name, "llm", name, 80, "abc"[number % 3], 1, 1, 8, state)
        dispatcher.observe(report, 0.0)
    return dispatcher


POLICIES: dict[str, Callable[[list[ReplayRequest]], None]] = {
    "round_robin": replay_round_robin,
    "least_sends": replay_least_sends,
    "dispatcher": replay_dispatcher,
}


def measure(policy: str, seed: int, phases=PHASES) -> dict[str, float]:
    """Return the share of the value that is earned, for each kind of request and for all."""
    requests = make_load(seed, phases)
    POLICIES[policy](requests)
    goals = {kind: values[5] for kind, values in KINDS.items()}
    shares = {}
    for kind, goal_s in goals.items():
        of_kind = [request for request in requests if request.goal_s == goal_s]
        total = sum(request.value for request in of_kind)
        shares[kind] = sum(request.earned_value for request in of_kind) / total if total else 1.0
    total = sum(request.value for request in requests)
    shares["all"] = sum(request.earned_value for request in requests) / total
    return shares
