"""Choice of the upstream for one request.

Notes
-----
The load pattern that this answers: bursts of short prompts alternate with bursts of prompts of
200,000 tokens and more, on engines whose streams stall while they read a long prompt. So the cost
of a placement is the worth that the request and all streams beside it are expected to lose.
"""

import random
from dataclasses import dataclass, field

from laburnumrock.dispatch._directory import UpstreamEntry
from laburnumrock.dispatch._engine_model import MS_PER_S, EngineModel
from laburnumrock.dispatch._fleet import Fleet, UpstreamPair
from laburnumrock.dispatch._load import UpstreamLoad
from laburnumrock.dispatch._losses import (
    Streams,
    find_disturbance,
    find_part_disturbance,
    find_reader_delay,
    find_streams,
    late_loss,
    spread_order,
)
from laburnumrock.dispatch._messages import DispatchCall

FAIL_LOSS = 1.0
"""Share of its worth that a failed send is expected to lose."""
DELAY_WEIGHT = 0.05
"""Weight of a delay within the goal; only breaks ties between placements that are on time."""
IDLE_ENGINE_WEIGHT = 0.03
"""Weight of the use of an idle engine, which long prompts may soon need."""
ORDER_WEIGHT = 0.02
"""Weight of the common order of the engines among idle ones."""
DISTANCE_WEIGHT = 0.002
"""Weight of another failure domain; traffic between domains is priced."""
HELPER_WEIGHT = 0.02
"""Weight of each engine that helps; each one more can break the whole prompt."""
PART_WAIT_WEIGHT = 1.0
"""Worth of a second by which a part waits for earlier ones; the whole prompt waits for it."""
MAX_ENGINES_PER_PROMPT = 16
"""Largest number of engines that read one prompt; the engines' protocol allows 16 helpers."""
SPLIT_IDLE_SHARE = 0.6
"""Share of the engines without waiting prompts that one prompt may occupy, so that short prompts
still find one."""
SHORT_PART_MS = 100.0
"""A part that is read in this time delays no other request beyond its goal."""
MAX_WEIGHED, MAX_WEIGHED_PARTS = 40, 24
"""Engines that are weighed for a whole prompt and for parts; a random or the least busy part of a
larger fleet, so that a decision costs about the same for any number of engines."""
SPLIT_LOSS = 0.1
"""A placement that loses less is taken without weighing whether to split the prompt."""
SPLIT_SIZES = (2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are weighed for one prompt."""
MEMORY_SHARE = 0.97
"""Share of an engine's memory that is planned with; blocks round each request up."""
EXPECTED_PLAIN_S = 0.05
"""Predicted time of a request on an idle upstream that is not a model engine."""
MIN_SPLIT_READ_S = 1.0
"""Prompts that are read in less are not split while they wait."""
ABANDON_S, ABANDON_GOALS, ABANDON_GAPS = 2.0, 4.0, 8.0
"""Callers leave a stream without events after the longest of these times: in seconds, in goals of
the first event and in goals of the pauses, as the users state it."""
WAIT_GOAL_SHARE = 0.5
"""A prompt waits only if, split over the most engines, it is read in this share of its goal."""
REPEAT_EXTRA_SLOTS = 2
"""Requests beyond its slots that an engine gets if they were sent before; it queues more."""


@dataclass(slots=True)
class Choice:
    """Placement that is being considered.

    Parameters
    ----------
    entry, load : UpstreamEntry, UpstreamLoad
        The upstream.
    first_s : float
        Predicted time to the first event.
    loss : float
        Worth that is expected to be lost.
    prefill_ms : float
        Predicted time to read the prompt, or the part that each engine reads.
    burst_ms : float
        Longest time that this adds to one pass.
    helpers : list of tuple of (UpstreamEntry, UpstreamLoad, int)
        Engines that read parts, and the tokens to reserve there.
    """

    entry: UpstreamEntry
    load: UpstreamLoad
    first_s: float
    loss: float
    prefill_ms: float = 0.0
    burst_ms: float = 0.0
    helpers: list[tuple[UpstreamEntry, UpstreamLoad, int]] = field(default_factory=list)


class UpstreamChooser:
    """Weighs all placements of a request.

    Parameters
    ----------
    fleet : Fleet
        The upstreams.
    source : random.Random
        Breaks ties.
    """

    def __init__(self, fleet: Fleet, source: random.Random) -> None:
        self.fleet = fleet
        self.source = source

    def choose(self, domain: str, call: DispatchCall, now_s: float) -> Choice | None:
        """Return the placement that loses least, or None when no upstream has room.

        Parameters
        ----------
        domain : str
            Failure domain of the entry that sends the request.
        call : DispatchCall
            The request.
        now_s : float
            Monotonic clock in seconds.
        """
        # Engines queue a few requests; a stream that was cut cannot wait for a free slot.
        least_free = 1 if call.attempt <= 1 else 1 - REPEAT_EXTRA_SLOTS
        for usable in self.fleet.find_candidates(call, now_s):
            candidates = [pair for pair in usable if pair[1].free_slots >= least_free]
            choice = self._choose_among(domain, call, usable, candidates, now_s)
            if choice is not None:
                return choice
        return None

    def _choose_among(
        self,
        domain: str,
        call: DispatchCall,
        usable: list[UpstreamPair],
        candidates: list[UpstreamPair],
        now_s: float,
    ) -> Choice | None:
        if not candidates:
            return None
        model = self.fleet.models.get(call.service)
        if model is None:
            return min(
                (self._weigh_plain(domain, call, *pair, now_s) for pair in candidates),
                key=lambda choice: choice.loss,
            )
        prefill_ms = model.prefill_ms(0, call.prompt_tokens)
        burst_ms = model.burst_ms(call.prompt_tokens)
        memory = call.prompt_tokens + call.output_tokens
        capacity = MEMORY_SHARE * model.parameters.kv_capacity_tokens
        best: Choice | None = None
        weighed = candidates
        if len(weighed) > MAX_WEIGHED:
            weighed = self.source.sample(candidates, MAX_WEIGHED)
        for entry, load in weighed:
            if load.memory_tokens + memory > capacity:
                continue
            choice = self._weigh(domain, call, entry, load, prefill_ms, burst_ms, now_s)
            if best is None or choice.loss < best.loss:
                best = choice
        if best is not None and best.loss <= SPLIT_LOSS:
            return best
        split = self._split(domain, call, usable, candidates, model, now_s)
        if split is not None and (best is None or split.loss < best.loss):
            return split
        return best

    def is_worth_waiting(self, choice: Choice, call: DispatchCall) -> bool:
        """Whether a request that would be late now may be on time once engines are free."""
        model = self.fleet.models.get(call.service)
        if model is None or choice.first_s <= call.goal_s:
            return False
        # Split over the most engines a long prompt takes a sixteenth of the time.
        whole_s = model.prefill_ms(0, call.prompt_tokens) / MS_PER_S
        best_s = whole_s / MAX_ENGINES_PER_PROMPT if whole_s > MIN_SPLIT_READ_S else whole_s
        return best_s < WAIT_GOAL_SHARE * call.goal_s

    def is_in_vain(self, choice: Choice, call: DispatchCall) -> bool:
        """Whether the caller will have left before the predicted first event."""
        if call.gap_goal_s <= 0:
            return choice.first_s > call.remaining_s
        patience_s = max(ABANDON_S, ABANDON_GOALS * call.goal_s, ABANDON_GAPS * call.gap_goal_s)
        return choice.first_s > min(patience_s, call.remaining_s)

    def _weigh_plain(
        self,
        domain: str,
        call: DispatchCall,
        entry: UpstreamEntry,
        load: UpstreamLoad,
        now_s: float,
    ) -> Choice:
        loss = len(load.sends) / load.slots + FAIL_LOSS * load.current_failure_rate(now_s)
        loss += self._distance(domain, entry) + self.source.random() * 1e-3
        return Choice(entry, load, EXPECTED_PLAIN_S * (1 + len(load.sends)), loss)

    def _weigh(
        self,
        domain: str,
        call: DispatchCall,
        entry: UpstreamEntry,
        load: UpstreamLoad,
        prefill_ms: float,
        burst_ms: float,
        now_s: float,
    ) -> Choice:
        value = self.fleet.find_value(call.service, call.prompt_tokens, call.output_tokens)
        pass_ms = load.pass_ms()
        own_pass_ms = load.model.decode_pass_ms(len(load.sends) + 1, call.prompt_tokens)
        first_ms = pass_ms + load.reading_ms() + prefill_ms + own_pass_ms
        first_s = load.pace * first_ms / MS_PER_S
        loss = value * late_loss(first_s, call.goal_s)
        loss += DELAY_WEIGHT * first_s / call.goal_s
        loss += value * FAIL_LOSS * load.current_failure_rate(now_s)
        if call.gap_goal_s > 0:
            gap_s = load.pace * own_pass_ms / MS_PER_S
            loss += value * late_loss(gap_s, call.gap_goal_s)
        loss += find_disturbance(load, burst_ms)
        if not load.sends:
            order = spread_order(entry.report.upstream_id)
            long = prefill_ms > SHORT_PART_MS
            loss += IDLE_ENGINE_WEIGHT + ORDER_WEIGHT * (1.0 - order if long else order)
        loss += self._distance(domain, entry) + self.source.random() * 1e-4
        return Choice(entry, load, first_s, loss, prefill_ms, burst_ms)

    def _split(
        self,
        domain: str,
        call: DispatchCall,
        usable: list[UpstreamPair],
        candidates: list[UpstreamPair],
        model: EngineModel,
        now_s: float,
    ) -> Choice | None:
        """Split a long prompt into parts that disturb the streams of their engines least."""
        whole_ms = model.prefill_ms(0, call.prompt_tokens)
        memory = call.prompt_tokens + call.output_tokens
        capacity = MEMORY_SHARE * model.parameters.kv_capacity_tokens
        able = [pair for pair in usable if not pair[0].is_cold(now_s)]
        idle = sum(1 for _, load in able if load.reading_ms() <= 0)
        if len(able) > MAX_WEIGHED_PARTS:
            able.sort(key=lambda pair: (pair[1].reading_ms(), len(pair[1].sends)))
            able = able[:MAX_WEIGHED_PARTS]
        streams = [find_streams(load) for _, load in able]
        free_loads = {id(load) for _, load in candidates}
        best = None
        for engines in SPLIT_SIZES:
            part_ms = whole_ms / engines
            most = min(len(able), MAX_ENGINES_PER_PROMPT)
            if part_ms > SHORT_PART_MS and memory <= capacity:
                most = min(most, int(SPLIT_IDLE_SHARE * idle))
            if engines > most or memory > engines * capacity:
                continue
            burst_ms = model.part_burst_ms(call.prompt_tokens, engines)
            part = (part_ms, burst_ms)
            costs = [
                self._part_cost(domain, pair, part, load_streams, now_s)
                for pair, load_streams in zip(able, streams, strict=True)
            ]
            order = sorted(range(len(able)), key=costs.__getitem__)
            ranked = [(*able[place], costs[place]) for place in order]
            reserved = -int(-memory // engines) if memory > capacity else 0
            choice = self._weigh_split(
                domain, call, ranked, free_loads, engines, part, reserved, now_s
            )
            if choice is not None and (best is None or choice.loss < best.loss):
                best = choice
        return best

    def _weigh_split(
        self,
        domain: str,
        call: DispatchCall,
        ranked: list[tuple[UpstreamEntry, UpstreamLoad, float]],
        free_loads: set[int],
        engines: int,
        part: tuple[float, float],
        reserved: int,
        now_s: float,
    ) -> Choice | None:
        memory = call.prompt_tokens + call.output_tokens - reserved * (engines - 1)
        first = None
        helping = []
        part_costs = 0.0
        for entry, load, cost in ranked:
            free = MEMORY_SHARE * load.model.parameters.kv_capacity_tokens - load.memory_tokens
            if first is None and memory <= free and id(load) in free_loads:
                first = (entry, load)
            elif len(helping) < engines - 1 and reserved <= free and load.parts < load.slots:
                helping.append((entry, load, reserved))
                part_costs += cost
        if first is None or len(helping) < engines - 1:
            return None
        part_ms, _ = part
        choice = self._weigh(domain, call, *first, *part, now_s)
        pace = max([first[1].pace, *(load.pace for _, load, _ in helping)])
        waits_ms = max(load.pass_ms() + load.parts_ms() for _, load, _ in helping)
        own_pass_ms = first[1].model.decode_pass_ms(len(first[1].sends) + 1, call.prompt_tokens)
        first_s = pace * (waits_ms + part_ms + own_pass_ms) / MS_PER_S
        if first_s > choice.first_s:
            value = self.fleet.find_value(call.service, call.prompt_tokens, call.output_tokens)
            choice.loss += value * late_loss(first_s, call.goal_s)
            choice.loss -= value * late_loss(choice.first_s, call.goal_s)
            choice.first_s = first_s
        choice.loss += part_costs
        choice.helpers = helping
        return choice

    def _part_cost(
        self,
        domain: str,
        pair: UpstreamPair,
        part: tuple[float, float],
        streams: Streams,
        now_s: float,
    ) -> float:
        """Worth that is lost when an engine reads a part for another one.

        Parameters
        ----------
        part : tuple of (float, float)
            Time to read the part, and the longest time that it adds to one pass, in ms.
        streams : Streams
            Streams of that engine.
        """
        entry, load = pair
        part_ms, burst_ms = part
        cost = HELPER_WEIGHT + find_part_disturbance(load, streams, burst_ms)
        cost += find_reader_delay(load, streams, part_ms)
        cost += PART_WAIT_WEIGHT * load.pace * load.parts_ms() / MS_PER_S
        cost += HELPER_WEIGHT * (load.pace + 10.0 * load.current_failure_rate(now_s))
        return cost + self._distance(domain, entry)

    def _distance(self, domain: str, entry: UpstreamEntry) -> float:
        return 0.0 if entry.report.failure_domain == domain else DISTANCE_WEIGHT
