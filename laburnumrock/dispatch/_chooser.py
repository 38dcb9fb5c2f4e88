"""Selection of the upstream for one request.

Notes
-----
Designed for bursts of short prompts that alternate with bursts of prompts of 200,000 tokens and
more, on engines whose streams stall during the prefill of a long prompt. The loss of a placement is
therefore the value that the request and all other requests on its engines are expected to lose.
"""

import random
from dataclasses import dataclass, field

from laburnumrock.dispatch._directory import UpstreamRecord
from laburnumrock.dispatch._engine_model import MS_PER_S, EngineModel
from laburnumrock.dispatch._fleet import Fleet, UpstreamPair
from laburnumrock.dispatch._limits import client_timeout_s
from laburnumrock.dispatch._load import UpstreamLoad
from laburnumrock.dispatch._losses import (
    LATE_LOSS,
    interference_loss,
    late_loss,
    part_interference_loss,
    prefill_delay_loss,
)
from laburnumrock.dispatch._messages import DispatchCall
from laburnumrock.dispatch._rank import engine_rank

FAILURE_LOSS = 1.0
"""Share of its value that a request is expected to lose when its send fails."""
DELAY_WEIGHT = 0.05
"""Weight of a delay within the latency target; only breaks ties between placements on time."""
IDLE_ENGINE_WEIGHT = 0.03
"""Cost of using an idle engine, which long prompts may soon need."""
RANK_WEIGHT = 0.02
"""Weight of the engine rank in the choice among idle engines."""
CROSS_DOMAIN_WEIGHT = 0.002
"""Cost of an upstream in another failure domain; traffic between domains is charged."""
HELPER_WEIGHT = 0.02
"""Cost of each helper engine; the failure of any helper fails the whole prompt."""
PART_WAIT_WEIGHT = 1.0
"""Cost of each second that a part waits for earlier parts; the whole prompt waits for it."""
MAX_ENGINES_PER_PROMPT = 16
"""Maximum number of engines that prefill one prompt; the engine protocol allows 16 helpers."""
SPLIT_IDLE_SHARE = 0.6
"""Share of the engines without pending prefill that one prompt may occupy, so that short prompts
still find a free one."""
SHORT_PART_MS = 100.0
"""A part with at most this prefill time delays no other request beyond its latency target."""
MAX_CANDIDATES, MAX_PART_CANDIDATES = 24, 24
"""Maximum numbers of engines that are evaluated for a whole prompt and for parts. In larger fleets
whole prompts use a random sample and parts the least busy engines, so that the cost of a decision
is nearly independent of the number of engines."""
SPLIT_LOSS_THRESHOLD = 0.1
"""A placement with at most this loss is taken without evaluating a split of the prompt."""
SPLIT_ENGINE_COUNTS = (2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are evaluated for a split prompt."""
MEMORY_SHARE = 0.97
"""Usable share of an engine's KV cache; each request is rounded up to whole blocks."""
PLAIN_REQUEST_S = 0.05
"""Predicted time of a request on an idle upstream that is not a model engine."""
MIN_SPLIT_PREFILL_S = 1.0
"""Prompts with a shorter prefill are assumed not to be split when deciding whether to wait."""
ABANDON_RAMP_START, ABANDON_RAMP_END = 0.5, 0.9
"""Shares of the caller's timeout between which the expected loss of a first event rises from that
of a late one to the whole value. Later prompts may delay a prefill beyond its prediction."""
WAIT_GOAL_SHARE = 0.5
"""A prompt waits only if its prefill, split over as many engines as possible, takes less than this
share of its latency target."""
RETRY_EXTRA_SLOTS = 2
"""Retries that may exceed the slots of an engine; its own queue is longer than this."""


@dataclass(slots=True)
class Choice:
    """Candidate placement.

    Parameters
    ----------
    entry, load : UpstreamRecord, UpstreamLoad
        The upstream that runs the request.
    first_s : float
        Predicted time to the first event.
    loss : float
        Value that is expected to be lost, over all affected requests.
    prefill_ms : float
        Predicted prefill time of the prompt, or of the part on each engine.
    peak_prefill_ms : float
        Longest time that the prefill adds to one pass.
    helpers : list of tuple of (UpstreamRecord, UpstreamLoad, int)
        Engines that prefill parts, and the tokens to reserve there.
    """

    entry: UpstreamRecord
    load: UpstreamLoad
    first_s: float
    loss: float
    prefill_ms: float = 0.0
    peak_prefill_ms: float = 0.0
    helpers: list[tuple[UpstreamRecord, UpstreamLoad, int]] = field(default_factory=list)


class UpstreamChooser:
    """Selects the placement of a request with the lowest expected loss.

    Parameters
    ----------
    fleet : Fleet
        The upstreams.
    rng : random.Random
        Samples candidates and breaks ties.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng

    def choose(self, domain: str, call: DispatchCall, now_s: float) -> Choice | None:
        """Return the placement with the lowest loss, or None if no upstream has capacity.

        Parameters
        ----------
        domain : str
            Failure domain of the entry node that sends the request.
        call : DispatchCall
            The request.
        now_s : float
            Monotonic clock in seconds.
        """
        # An interrupted stream cannot wait for a free slot, so its retry may exceed the slots of an
        # engine, which queues a few requests itself. An upstream that reports 0 slots takes none.
        min_free_slots = 1 if call.attempt <= 1 else 1 - RETRY_EXTRA_SLOTS
        for usable in self.fleet.find_candidates(call, now_s):
            candidates = [
                pair
                for pair in usable
                if pair[1].slots > 0
                and pair[1].slots - len(pair[1].sends) + pair[1].summary.parts >= min_free_slots
            ]
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
                (self._score_plain(domain, call, *pair, now_s) for pair in candidates),
                key=lambda choice: choice.loss,
            )
        prefill_ms = model.prefill_ms(0, call.prompt_tokens)
        peak_prefill_ms = model.peak_prefill_ms(call.prompt_tokens)
        value = self.fleet.request_value(call.service, call.prompt_tokens, call.output_tokens)
        memory = call.prompt_tokens + call.output_tokens
        capacity = MEMORY_SHARE * model.parameters.kv_capacity_tokens
        best: Choice | None = None
        sampled = candidates
        if len(sampled) > MAX_CANDIDATES:
            sampled = self.rng.sample(candidates, MAX_CANDIDATES)
        for record, load in sampled:
            if load.memory_tokens + memory > capacity:
                continue
            choice = self._score_single(
                domain, call, record, load, prefill_ms, peak_prefill_ms, value, now_s
            )
            if best is None or choice.loss < best.loss:
                best = choice
        if best is not None and best.loss <= SPLIT_LOSS_THRESHOLD:
            return best
        split = self._choose_split(domain, call, usable, candidates, model, now_s)
        if split is not None and (best is None or split.loss < best.loss):
            return split
        return best

    def should_wait(self, choice: Choice, call: DispatchCall) -> bool:
        """Whether a request that would now be late may be on time once engines are free."""
        model = self.fleet.models.get(call.service)
        if model is None or choice.first_s <= call.goal_s:
            return False
        # Split over as many engines as possible (16), a long prompt takes a sixteenth of the time.
        whole_s = model.prefill_ms(0, call.prompt_tokens) / MS_PER_S
        best_s = whole_s / MAX_ENGINES_PER_PROMPT if whole_s > MIN_SPLIT_PREFILL_S else whole_s
        return best_s < WAIT_GOAL_SHARE * call.goal_s

    def _score_plain(
        self,
        domain: str,
        call: DispatchCall,
        record: UpstreamRecord,
        load: UpstreamLoad,
        now_s: float,
    ) -> Choice:
        loss = len(load.sends) / load.slots + FAILURE_LOSS * load.current_failure_rate(now_s)
        loss += self._distance_cost(domain, record) + self.rng.random() * 1e-3
        return Choice(record, load, PLAIN_REQUEST_S * (1 + len(load.sends)), loss)

    def _score_single(
        self,
        domain: str,
        call: DispatchCall,
        record: UpstreamRecord,
        load: UpstreamLoad,
        prefill_ms: float,
        peak_prefill_ms: float,
        value: float,
        now_s: float,
    ) -> Choice:
        pass_ms = load.pass_ms()
        own_pass_ms = load.model.decode_pass_ms(len(load.sends) + 1, call.prompt_tokens)
        first_ms = pass_ms + load.pending_prefill_ms() + prefill_ms + own_pass_ms
        first_s = load.slowdown * first_ms / MS_PER_S
        loss = value * delay_loss(call, first_s)
        loss += DELAY_WEIGHT * first_s / call.goal_s
        loss += value * FAILURE_LOSS * load.current_failure_rate(now_s)
        if call.gap_goal_s > 0:
            gap_s = load.slowdown * own_pass_ms / MS_PER_S
            loss += value * late_loss(gap_s, call.gap_goal_s)
        loss += interference_loss(load, peak_prefill_ms)
        if not load.sends:
            rank = engine_rank(record.report.upstream_id)
            long = prefill_ms > SHORT_PART_MS
            loss += IDLE_ENGINE_WEIGHT + RANK_WEIGHT * (1.0 - rank if long else rank)
        loss += self._distance_cost(domain, record) + self.rng.random() * 1e-4
        return Choice(record, load, first_s, loss, prefill_ms, peak_prefill_ms)

    def _choose_split(
        self,
        domain: str,
        call: DispatchCall,
        usable: list[UpstreamPair],
        candidates: list[UpstreamPair],
        model: EngineModel,
        now_s: float,
    ) -> Choice | None:
        """Split a long prompt into parts with the least interference with other streams."""
        whole_ms = model.prefill_ms(0, call.prompt_tokens)
        memory = call.prompt_tokens + call.output_tokens
        capacity = MEMORY_SHARE * model.parameters.kv_capacity_tokens
        eligible = [pair for pair in usable if not pair[0].is_cold(now_s)]
        idle = sum(1 for _, load in eligible if load.pending_prefill_ms() <= 0)
        if len(eligible) > MAX_PART_CANDIDATES:
            eligible.sort(key=lambda pair: (pair[1].pending_prefill_ms(), len(pair[1].sends)))
            eligible = eligible[:MAX_PART_CANDIDATES]
        free_loads = {id(load) for _, load in candidates}
        best = None
        for engine_count in SPLIT_ENGINE_COUNTS:
            part_ms = whole_ms / engine_count
            max_engines = min(len(eligible), MAX_ENGINES_PER_PROMPT)
            if part_ms > SHORT_PART_MS and memory <= capacity:
                max_engines = min(max_engines, int(SPLIT_IDLE_SHARE * idle))
            if engine_count > max_engines or memory > engine_count * capacity:
                continue
            peak_prefill_ms = model.part_peak_prefill_ms(call.prompt_tokens, engine_count)
            part = (part_ms, peak_prefill_ms)
            costs = [self._part_cost(domain, pair, part, now_s) for pair in eligible]
            by_cost = sorted(range(len(eligible)), key=costs.__getitem__)
            ranked = [(*eligible[index], costs[index]) for index in by_cost]
            reserved = -int(-memory // engine_count) if memory > capacity else 0
            choice = self._score_split(
                domain, call, ranked, free_loads, engine_count, part, reserved, now_s
            )
            if choice is not None and (best is None or choice.loss < best.loss):
                best = choice
        return best

    def _score_split(
        self,
        domain: str,
        call: DispatchCall,
        ranked: list[tuple[UpstreamRecord, UpstreamLoad, float]],
        free_loads: set[int],
        engine_count: int,
        part: tuple[float, float],
        reserved: int,
        now_s: float,
    ) -> Choice | None:
        memory = call.prompt_tokens + call.output_tokens - reserved * (engine_count - 1)
        first = None
        helpers = []
        part_costs = 0.0
        for record, load, cost in ranked:
            free = MEMORY_SHARE * load.model.parameters.kv_capacity_tokens - load.memory_tokens
            if first is None and memory <= free and id(load) in free_loads:
                first = (record, load)
            elif len(helpers) < engine_count - 1 and reserved <= free and load.parts < load.slots:
                helpers.append((record, load, reserved))
                part_costs += cost
        if first is None or len(helpers) < engine_count - 1:
            return None
        part_ms, _ = part
        value = self.fleet.request_value(call.service, call.prompt_tokens, call.output_tokens)
        choice = self._score_single(domain, call, *first, *part, value, now_s)
        slowdown = max([first[1].slowdown, *(load.slowdown for _, load, _ in helpers)])
        max_wait_ms = max(load.pass_ms() + load.pending_parts_ms() for _, load, _ in helpers)
        own_pass_ms = first[1].model.decode_pass_ms(len(first[1].sends) + 1, call.prompt_tokens)
        first_s = slowdown * (max_wait_ms + part_ms + own_pass_ms) / MS_PER_S
        if first_s > choice.first_s:
            choice.loss += value * (delay_loss(call, first_s) - delay_loss(call, choice.first_s))
            choice.first_s = first_s
        choice.loss += part_costs
        choice.helpers = helpers
        return choice

    def _part_cost(
        self,
        domain: str,
        pair: UpstreamPair,
        part: tuple[float, float],
        now_s: float,
    ) -> float:
        """Expected loss of value when an engine prefills a part for another one.

        Parameters
        ----------
        part : tuple of (float, float)
            Prefill time of the part, and the longest time that it adds to one pass, in ms.
        """
        record, load = pair
        part_ms, peak_prefill_ms = part
        cost = HELPER_WEIGHT + part_interference_loss(load, peak_prefill_ms)
        cost += prefill_delay_loss(load, part_ms)
        cost += PART_WAIT_WEIGHT * load.slowdown * load.pending_parts_ms() / MS_PER_S
        cost += HELPER_WEIGHT * (load.slowdown + 10.0 * load.current_failure_rate(now_s))
        return cost + self._distance_cost(domain, record)

    def _distance_cost(self, domain: str, record: UpstreamRecord) -> float:
        return 0.0 if record.report.failure_domain == domain else CROSS_DOMAIN_WEIGHT


def delay_loss(call: DispatchCall, first_s: float) -> float:
    """Share of its value that a request is expected to lose by the predicted first event.

    Notes
    -----
    A late answer keeps a part of its value, an answer that the caller no longer waits for none. A
    prompt of 560,000 tokens was split over three engines because it was late in any case; its
    prefill took longer than predicted, and the caller left after 12 s.
    """
    late = late_loss(first_s, call.goal_s)
    if late < LATE_LOSS:
        return late
    share = first_s / max(client_timeout_s(call), 1e-3)
    risk = (share - ABANDON_RAMP_START) / (ABANDON_RAMP_END - ABANDON_RAMP_START)
    return late + (1.0 - late) * min(1.0, max(0.0, risk))
