"""Tests of dispatchers that keep to the limits which upstreams state on their requests."""

import heapq
import random
from collections import Counter
from dataclasses import replace

import pytest

from laburnumrock.dispatch import (
    ActiveSendReport,
    DispatchAnswer,
    Dispatcher,
    DispatchSettings,
    LimitReport,
    LocalDispatcher,
    SendEnded,
    SendOutcome,
    UpstreamDirectory,
)
from laburnumrock.dispatch._limits import MAX_RETRY_S
from laburnumrock.dispatch._request_limits import RequestLimits
from laburnumrock.dispatch.tests.builders import (
    LONG,
    PLAIN,
    SHORT,
    make_dispatcher,
    make_report,
    place,
    place_waiting,
)
from laburnumrock.errors import ErrorKind

WINDOW_S = 4.0
STREAM_S = 1.2


def count_most(sent_s: list[float]) -> int:
    """Return the largest number of requests in any window."""
    return max(
        (sum(first_s <= time_s < first_s + WINDOW_S for time_s in sent_s) for first_s in sent_s),
        default=0,
    )


def max_requests(requests_per_s: float) -> float:
    """Return the number of requests in a window that the users' rule allows."""
    return 1.5 * WINDOW_S * requests_per_s + 5


class Replay:
    """Streams at a constant rate, placed by a leader; the upstreams state limits in time.

    Parameters
    ----------
    limits : dict of str to float
        Limits that upstreams state in each response while the replay runs.
    """

    def __init__(self, dispatcher: Dispatcher, limits: dict[str, float]) -> None:
        self.dispatcher = dispatcher
        self.limits = limits
        self.sent: list[tuple[float, str]] = []
        self.refused = Counter()
        self.ends: list[tuple[float, int, str]] = []

    def run(self, calls_per_s: float, start_s: float, length_s: float, call=SHORT) -> None:
        now_s = start_s
        while now_s < start_s + length_s:
            now_s += 1.0 / calls_per_s
            self._end_sends(now_s)
            for number in range(100):
                report = make_report("llm", number, 8)
                if report.upstream_id in self.dispatcher.directory.records:
                    newer = replace(report, sequence=int(now_s * 1e6))
                    self.dispatcher.observe(newer, now_s)
            decided = self.dispatcher.place("entry", "a", call, now_s)
            if isinstance(decided, DispatchAnswer):
                self._record(decided, now_s)
            for _, answer in place_waiting(self.dispatcher, now_s):
                self._record(answer, now_s)

    def _record(self, answer: DispatchAnswer, now_s: float) -> None:
        if not answer.permit:
            self.refused[answer.refusal] += 1
            return
        self.sent.append((now_s, answer.upstream_id))
        heapq.heappush(self.ends, (now_s + STREAM_S, answer.permit, answer.upstream_id))
        limit = self.limits.get(answer.upstream_id)
        if limit is not None:
            self.dispatcher.record_limits([LimitReport(answer.upstream_id, limit)], now_s)

    def _end_sends(self, now_s: float) -> None:
        while self.ends and self.ends[0][0] <= now_s:
            ended_s, permit, upstream_id = heapq.heappop(self.ends)
            unlimited = upstream_id not in self.limits
            ended = SendEnded(permit, SendOutcome.DONE, is_unlimited=unlimited)
            self.dispatcher.record_ended(ended, ended_s)

    def times(self, upstream_id: str, since_s: float) -> list[float]:
        return [time_s for time_s, name in self.sent if name == upstream_id and time_s >= since_s]


class TestLeader:
    @pytest.mark.parametrize("limit", [0.0, 0.4, 1.0, 3.0])
    def test_two_engines_of_a_busy_fleet(self, limit):
        """Guards against engines that get more than they take, as in incident LIMIT."""
        dispatcher = make_dispatcher(engines=6)
        replay = Replay(dispatcher, {"llm0": limit, "llm3": limit})
        replay.run(24.0, 10.0, 20.0)
        for name in replay.limits:
            assert replay.times(name, 10.0)
            assert count_most(replay.times(name, 13.0)) <= max_requests(limit)
        assert not replay.refused

    def test_all_engines(self):
        """Guards against a limited service that is not used, or whose callers wait in vain."""
        dispatcher = make_dispatcher(engines=4)
        replay = Replay(dispatcher, {f"llm{number}": 3.0 for number in range(4)})
        replay.run(30.0, 10.0, 20.0)
        for name in replay.limits:
            sent_s = replay.times(name, 13.0)
            assert count_most(sent_s) <= max_requests(3.0)
            assert len(sent_s) >= 0.8 * 17.0 * 3.0
        assert set(replay.refused) == {ErrorKind.CONCURRENCY_LIMITED}

    def test_limits_that_end(self):
        """Guards against engines that stay out of use after they state no limit any more."""
        dispatcher = make_dispatcher(engines=4)
        replay = Replay(dispatcher, {f"llm{number}": 1.0 for number in range(4)})
        replay.run(30.0, 10.0, 10.0)
        replay.limits = {}
        replay.run(20.0, 20.0, 10.0)
        assert dispatcher.fleet.limits.by_upstream == {}
        served = [time_s for time_s, _ in replay.sent if time_s >= 25.0]
        assert len(served) >= 0.95 * 5.0 * 20.0

    def test_new_leader(self):
        """Guards against a change of the leader after which the whole limit is used again."""
        dispatcher = make_dispatcher(engines=4)
        replay = Replay(dispatcher, {"llm0": 2.0})
        replay.run(30.0, 10.0, 8.0)
        limits = dispatcher.fleet.limits.list_reports(18.0)
        for number in range(1, 5):
            restarted_s = 17.0 + number
            replay.dispatcher = make_dispatcher(engines=4)
            replay.dispatcher.start(number << 32, restarted_s)
            aged = [replace(limits[0], age_s=restarted_s - 18.0 + limits[0].age_s)]
            replay.dispatcher.record_limits(aged, restarted_s)
            replay.ends = []
            replay.run(30.0, restarted_s, 1.0)
        assert count_most(replay.times("llm0", 13.0)) <= max_requests(2.0)

    def test_leader_that_is_elected_again(self):
        """Guards against a leader that forgets the limits when its term ends."""
        dispatcher = make_dispatcher()
        dispatcher.record_limits([LimitReport("llm0", 1.0)], 10.0)
        dispatcher.start(1 << 32, 12.0)
        assert dispatcher.fleet.limits.wait_s("llm0", 12.0) == 1.0

    def test_known_before_the_upstream(self):
        """Guards against a core that has just started and drops the limits of unknown upstreams."""
        dispatcher = Dispatcher(DispatchSettings(), UpstreamDirectory(4.0, 30.0), random.Random(1))
        dispatcher.record_limits([LimitReport("llm0", 1.0)], 10.0)
        dispatcher.observe(make_report("llm", 0, 8), 11.0)
        assert dispatcher.fleet.limits.by_upstream["llm0"].requests_per_s == 1.0
        dispatcher.record_limits([LimitReport("unknown", 1.0)], 10.0)
        dispatcher.fleet.expire_limits(50.0)
        assert set(dispatcher.fleet.limits.by_upstream) == {"llm0"}

    def test_new_incarnation(self):
        """Guards against an upstream that is held to the limit of its earlier process."""
        dispatcher = make_dispatcher()
        dispatcher.record_limits([LimitReport("llm0", 1.0)], 10.0)
        dispatcher.observe(replace(make_report("llm", 0, 8), incarnation=2), 11.0)
        assert dispatcher.fleet.limits.by_upstream == {}

    def test_response_to_an_adopted_send(self):
        """Guards against a limit that ends by a response from before it was stated."""
        dispatcher = make_dispatcher()
        dispatcher.start(100, 10.0)
        dispatcher.record_limits([LimitReport("llm0", 1.0, 5.0)], 20.0)
        report = ActiveSendReport(7, "llm0", 5_000, 1_600, 0.2, 1.0, True)
        dispatcher.adopt("entry", report, 20.0)
        dispatcher.record_ended(SendEnded(7, SendOutcome.DONE, is_unlimited=True), 20.1)
        assert set(dispatcher.fleet.limits.by_upstream) == {"llm0"}

    def test_helpers_count(self):
        """Guards against parts of long prompts on engines that take no more work."""
        dispatcher = make_dispatcher(engines=9)
        limited = [f"llm{number}" for number in range(3)]
        dispatcher.record_limits([LimitReport(name, 1.0) for name in limited], 10.0)
        used = Counter()
        for number in range(100):
            answer = place(dispatcher, LONG, 10.0 + 0.1 * number)
            used.update([answer.upstream_id, *(one.upstream_id for one in answer.helpers)])
            dispatcher.record_ended(SendEnded(answer.permit, SendOutcome.DONE), 10.1 + 0.1 * number)
        assert all(used[name] <= 10 for name in limited)

    def test_unreachable_wait_is_refused_at_once(self):
        """Guards against requests that wait for a limited upstream until they are refused."""
        dispatcher = make_dispatcher(engines=2)
        dispatcher.record_limits([LimitReport("plain100", 0.2)], 10.0)
        answer = place(dispatcher, PLAIN, 10.0)
        assert answer.refusal == ErrorKind.CONCURRENCY_LIMITED
        assert 1.0 <= answer.retry_after_s <= 1.5 * MAX_RETRY_S

    def test_reachable_wait_is_queued(self):
        """Guards against a refusal of requests that a limited upstream takes in time."""
        dispatcher = make_dispatcher(engines=1)
        dispatcher.record_limits([LimitReport("llm0", 4.0)], 10.0)
        ticket = dispatcher.place("entry", "a", SHORT, 10.0)
        assert isinstance(ticket, int)
        assert place_waiting(dispatcher, 10.2) == []
        ((decided, answer),) = place_waiting(dispatcher, 10.3)
        assert (decided, answer.upstream_id) == (ticket, "llm0")


class TestEntryNodes:
    """Entry nodes that place requests alone."""

    ENTRIES = 15

    def place_alone(self, locals_, calls_per_s, length_s, start_s=20.0, engines=3):
        """Let all entry nodes place requests at a rate each; return the times by upstream."""
        upstreams = make_dispatcher(engines=engines).directory.usable("llm", 10.0)
        rng = random.Random(5)
        events = [
            (start_s + rng.uniform(0.0, length_s), number)
            for number in range(len(locals_))
            for _ in range(int(calls_per_s * length_s))
        ]
        sent: dict[str, list[float]] = {}
        for now_s, number in sorted(events):
            answer = locals_[number].place("a", upstreams, SHORT, now_s)
            if answer.permit:
                sent.setdefault(answer.upstream_id, []).append(now_s)
                locals_[number].record_ended(SendEnded(answer.permit, SendOutcome.DONE), now_s)
        return sent

    def make_locals(self, limit: float, names=("llm0",)) -> list[LocalDispatcher]:
        result = [
            LocalDispatcher(DispatchSettings(), random.Random(seed)) for seed in range(self.ENTRIES)
        ]
        for local in result:
            local.share_budget(self.ENTRIES, 0.0)
            for name in names:
                local.limits.record(LimitReport(name, limit), 10.0)
        return result

    @pytest.mark.parametrize("limit", [0.0, 1.0, 5.0, 30.0])
    @pytest.mark.parametrize("calls_per_s", [0.5, 5.0])
    def test_loss_of_the_leader(self, limit, calls_per_s):
        """Guards against entry nodes that each use the limit once they place alone."""
        sent = self.place_alone(self.make_locals(limit), calls_per_s, 12.0)
        # Half of the limit; the rest is for a leader that other entry nodes still reach.
        assert count_most(sent.get("llm0", [])) <= 0.5 * WINDOW_S * limit + 5

    def test_all_upstreams_limited(self):
        """Guards against entry nodes that refuse everything, or do not tell when to come back."""
        names = [f"llm{number}" for number in range(3)]
        locals_ = self.make_locals(60.0, names)
        sent = self.place_alone(locals_, 20.0, 12.0)
        assert sum(map(len, sent.values())) >= 0.8 * 0.5 * 60.0 * 3 * 12.0
        upstreams = make_dispatcher(engines=3).directory.usable("llm", 10.0)
        answers = [locals_[0].place("a", upstreams, SHORT, 32.0) for _ in range(10)]
        refused = [answer for answer in answers if answer.refusal]
        assert refused
        for answer in refused:
            assert answer.refusal == ErrorKind.CONCURRENCY_LIMITED
            assert 0.0 < answer.retry_after_s <= MAX_RETRY_S


class TestRequestLimits:
    def make_known(self, age_s: float = 0.0) -> RequestLimits:
        limits = RequestLimits()
        limits.record(LimitReport("u", 2.0, age_s), 10.0)
        return limits

    def test_older_statement(self):
        """Guards against a late report of an entry node that replaces a newer limit."""
        limits = self.make_known()
        limits.record(LimitReport("u", 9.0, 1.0), 10.5)
        assert limits.by_upstream["u"].requests_per_s == 2.0
        limits.record(LimitReport("u", 1.0, 0.1), 10.5)
        assert limits.by_upstream["u"].requests_per_s == 1.0

    def test_report_from_before_the_end(self):
        """Guards against a limit that hellos of other entry nodes bring back after its end."""
        limits = self.make_known()
        limits.record_unlimited("u", 10.4)
        assert limits.by_upstream
        limits.record_unlimited("u", 11.0)
        assert not limits.by_upstream
        limits.record(LimitReport("u", 2.0, 1.2), 11.2)
        assert not limits.by_upstream
        limits.record(LimitReport("u", 2.0), 11.2)
        assert limits.by_upstream
        assert limits.list_rates() == {"u": 2.0}

    def test_list_of_the_leader(self):
        """Guards against an entry node that keeps limits which the leader found to have ended."""
        limits = self.make_known(age_s=2.0)
        limits.record(LimitReport("v", 3.0), 10.0)
        limits.replace_known([LimitReport("w", 4.0, 0.5)], 9.0, 10.1)
        assert set(limits.by_upstream) == {"v", "w"}
