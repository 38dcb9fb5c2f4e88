"""Tests of the crash evidence that entry nodes share while there is no leader."""

import asyncio
import random
import time
from types import SimpleNamespace

from laburnumrock.dispatch import SendEnded, SendOutcome
from laburnumrock.nodes._crash_evidence import MAX_TOLD_ENTRIES, CrashEvidence
from laburnumrock.nodes._messages import CrashedRequests, EntryHello
from laburnumrock.nodes._views import MIN_VIEW_INTERVAL_S
from laburnumrock.nodes.tests.deployment import ENTRY, make_report, open_deployment, wait_until
from laburnumrock.quarantine import (
    CrashedRequest,
    CrashQuarantine,
    QuarantineSettings,
    name_request,
)

REQUEST = name_request("5a" * 32)
CRASHED = SendEnded(-1, SendOutcome.CRASHED, [], [REQUEST, "a1"], 0.1)


class FakeNetwork:
    """Network that records what is sent."""

    def __init__(self, name: str) -> None:
        self.settings = SimpleNamespace(instance_id=name)
        self.sent: list[tuple[list[str], CrashedRequests]] = []

    def broadcast(self, peers, message) -> None:
        self.sent.append((sorted(peers), message))


def make_evidence(entry_count: int) -> CrashEvidence:
    quarantine = CrashQuarantine(QuarantineSettings())
    evidence = CrashEvidence(quarantine, FakeNetwork("e0"), random.Random(1))
    evidence.entries = [f"e{number}" for number in range(entry_count)]
    return evidence


class TestTelling:
    def test_crash_is_told_to_all_others(self):
        """Guards against a request that each entry alone sends to three upstreams."""
        evidence = make_evidence(3)
        evidence.quarantine.record_crash(CRASHED.parts, 1.0, 1.1, is_shared=False)
        evidence.tell_others(CRASHED)
        ((told, message),) = evidence.network.sent
        assert told == ["e1", "e2"]
        assert [(one.name, one.crashes) for one in message.requests] == [(REQUEST, 1)]

    def test_other_ends_are_not_told(self):
        """Guards against messages between entries for each request."""
        evidence = make_evidence(3)
        evidence.tell_others(SendEnded(-1, SendOutcome.DONE, [], [REQUEST], 0.1))
        assert evidence.network.sent == []

    def test_news_are_passed_on_if_there_are_many_entries(self):
        """Guards against entries that are not told, and against messages without end."""
        message = CrashedRequests([CrashedRequest(REQUEST, 2, 0.0)])
        few, many = make_evidence(MAX_TOLD_ENTRIES), make_evidence(3 * MAX_TOLD_ENTRIES)
        for evidence in (few, many):
            evidence.receive("e1", message)
            evidence.receive("e2", message)
            assert evidence.quarantine.find_suspects([REQUEST]) == {REQUEST}
        assert few.network.sent == []
        ((told, _),) = many.network.sent
        assert len(told) == MAX_TOLD_ENTRIES

    def test_parts_of_led_sends_are_not_counted(self):
        """Guards against sound parts that an entry refuses, as it sees only its own successes."""
        evidence = make_evidence(3)
        evidence.record(SendEnded(1, SendOutcome.CRASHED, [], [REQUEST, "a1"], 0.1))
        assert set(evidence.quarantine.suspects) == {REQUEST}
        assert [one.name for one in evidence.list_for_leader()] == [REQUEST]


class TestEntryNames:
    def test_views_name_the_entries_when_one_is_new(self, tmp_path):
        """Guards against entries that cannot tell each other, and names in each view."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                entry, leader = deployment.entry, deployment.leader()
                await wait_until(lambda: entry.crash_evidence.entries == [ENTRY])
                hello = EntryHello("b", 0, 0, 0)
                leader.views.record_hello("127.0.0.9", hello, time.monotonic())
                await wait_until(lambda: len(entry.crash_evidence.entries) == 2)
                await asyncio.sleep(2 * MIN_VIEW_INTERVAL_S)
                views = []
                leader.views.network.broadcast = lambda names, view: views.append(view)
                await leader.observe_upstream(make_report(1000, upstream_id="u5"))
                await wait_until(lambda: views)
                assert views[0].entries == []

        asyncio.run(run())
