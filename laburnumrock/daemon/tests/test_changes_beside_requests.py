"""Tests of changes of the declarations beside requests in progress, some with silent instances.

Other pairs of phases and changes: ``CHANGE_SEEDS="2 3 4" CHANGE_CASES=150 python -m pytest`` with
the path of this file.
"""

import asyncio
import os
import random

import pytest

from laburnumrock.daemon.tests.change_cases import (
    Case,
    Cluster,
    find_fault,
    list_changes,
    list_phases,
    make_cases,
)
from laburnumrock.declarations import InService, ServiceKind

SEEDS = [int(seed) for seed in os.environ.get("CHANGE_SEEDS", "1").split()]
CASES = int(os.environ.get("CHANGE_CASES", "0"))
FIND_SILENT = {
    "leader of the log": lambda cluster: [cluster.find_leader()],
    "coordinator": lambda cluster: [cluster.find_coordinator()],
    "all other instances": lambda cluster: [
        one for one in cluster.all() if one is not cluster.entry
    ],
}
"""Instances that are silent beside a change; they own most pools."""


CALM = {"election_min_s": 1.5, "election_max_s": 2.5}
"""Elections beside load: the event loop of all instances stood still for longer than 0.5 s."""


def play(folder, pairs, find_silent=lambda cluster: [], shared=(), timing=CALM) -> list[Case]:
    """Play cases, and return them with their answers."""

    async def run():
        cases = make_cases(pairs)
        cluster = Cluster(folder, cases, timing)
        async with cluster.run():
            await cluster.prepare()
            await cluster.wait(cluster.is_led, "leader and coordinator")
            await cluster.play(find_silent(cluster), [make(cluster) for make in shared])
        return cases

    return asyncio.run(run())


def choose_pairs(seed):
    """Return pairs of a phase and a change: each change with a phase of each group, and others."""
    rng = random.Random(seed)
    pairs = [(phase, change) for phase in list_phases() for change in list_changes()]
    rng.shuffle(pairs)
    chosen = {(change, phase.group): (phase, change) for phase, change in pairs}
    others = [pair for pair in pairs if pair not in chosen.values()]
    return [*chosen.values(), *others[: max(0, CASES - len(chosen))]]


def list_faults(cases, is_allowed=lambda case: False):
    found = {str(case): find_fault(case) for case in cases if not is_allowed(case)}
    return {name: fault for name, fault in found.items() if fault}


def is_refused_by_journal(case):
    """Return whether a call was refused as the journal could not be read."""
    return case.answer is not None and b'"kind": "journal_unavailable"' in case.answer[2]


def put_state(kind, find_name):
    def make(cluster):
        state = {"type": "service_state", "kind": kind, "name": find_name(cluster)}
        return {"action": "put", "declaration": state | {"state": InService.DRAINED}}

    return make


DRAIN_ENTRY = put_state(ServiceKind.INSTANCE, lambda cluster: cluster.entry.settings.instance_id)
DRAIN_DOMAIN = put_state(ServiceKind.FAILURE_DOMAIN, lambda cluster: "a")


class TestChanges:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_requests_are_answered(self, seed, tmp_path):
        """Guards against work that ends without its answer as a change took away what it held.

        The entry is drained beside it, which must not matter to what it has begun.
        """
        cases = play(tmp_path, choose_pairs(seed), shared=[DRAIN_ENTRY])
        assert list_faults(cases) == {}
        unchanged = [case for case in cases if case.change == "none"]
        assert {str(case): case.answer[0] for case in unchanged if case.answer[0] != 200} == {}

    def test_drained_domain_answers_what_was_sent(self, tmp_path):
        """Guards against requests that the drain of their domain ends, and missed phases."""
        cases = play(tmp_path, [(phase, "none") for phase in list_phases()], shared=[DRAIN_DOMAIN])
        assert list_faults(cases) == {}
        missed = {case.phase.name for case in cases if not case.reached.is_set()}
        assert missed <= {case.phase.name for case in cases if not case.phase.is_shown}

    def test_all_kinds_of_states_are_covered(self):
        """Guards against a new kind of component or state without a case."""
        assert set(ServiceKind) == {"upstream", "instance", "failure_domain"}
        assert set(InService) == {"in_service", "drained"}


class TestSilences:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_requests_are_answered(self, seed, tmp_path):
        """Guards against work that ends without its answer as another instance is silent."""
        names = sorted(FIND_SILENT)
        find_silent = FIND_SILENT[names[seed % len(names)]]
        cases = play(tmp_path, choose_pairs(seed), find_silent, timing={})
        assert list_faults(cases, is_refused_by_journal) == {}
