"""Tests of placement by the dispatcher."""

import random
from dataclasses import replace

from laburnumrock.dispatch import (
    ActiveSendReport,
    DispatchAnswer,
    DispatchCall,
    DispatchSettings,
    LocalDispatcher,
    SendEnded,
    SendOutcome,
    SendStalled,
    SendStarted,
)
from laburnumrock.dispatch._load import ActiveSend
from laburnumrock.dispatch.tests.builders import (
    LONG,
    PLAIN,
    SHORT,
    SLOW_ATTENTION,
    make_dispatcher,
    make_report,
    place,
    place_waiting,
)
from laburnumrock.errors import ErrorKind


class TestPlacement:
    def test_short_prompt_avoids_an_engine_in_a_long_prefill(self):
        """Guards against short requests that wait behind a long prompt."""
        dispatcher = make_dispatcher()
        busy = {place(dispatcher, LONG).upstream_id}
        for _ in range(10):
            assert place(dispatcher, SHORT).upstream_id not in busy

    def test_long_prompt_avoids_streams(self):
        """Guards against streams that stall during the prefill of a long prompt."""
        dispatcher = make_dispatcher()
        answers = [place(dispatcher, SHORT) for _ in range(6)]
        for answer in answers:
            dispatcher.record_started(SendStarted(answer.permit, 0.1), 10.2)
        decoding = {answer.upstream_id for answer in answers}
        assert len(decoding) < 4
        assert place(dispatcher, LONG, 10.3).upstream_id not in decoding

    def test_short_prompts_share_engines(self):
        """Guards against streams on all engines, which would leave none for long prompts."""
        dispatcher = make_dispatcher(engines=8)
        used = set()
        for number in range(12):
            now_s = 10.0 + 0.1 * number
            answer = place(dispatcher, SHORT, now_s)
            used.add(answer.upstream_id)
            dispatcher.record_started(SendStarted(answer.permit, 0.1), now_s + 0.09)
        assert len(used) <= 4

    def test_prompt_that_is_late_on_one_engine_is_split(self):
        """Guards against the longest and most valuable prompts always being late."""
        dispatcher = make_dispatcher(engines=8)
        answer = place(dispatcher, replace(LONG, prompt_tokens=400_000))
        assert len(answer.helpers) >= 2
        assert answer.expected_first_s < 3.0
        assert all(helper.reserved_tokens == 0 for helper in answer.helpers)

    def test_prompt_larger_than_an_engine_reserves_memory(self):
        """Guards against a refusal of prompts that exceed the memory of one engine."""
        dispatcher = make_dispatcher(engines=8)
        answer = place(dispatcher, replace(LONG, prompt_tokens=900_000))
        reserved = sum(helper.reserved_tokens for helper in answer.helpers)
        assert reserved >= 900_000 - 450_000
        assert all(0 < helper.reserved_tokens < 450_000 for helper in answer.helpers)

    def test_never_more_than_the_slots(self):
        """Guards against requests that an engine queues or rejects."""
        dispatcher = make_dispatcher(engines=2, slots=3)
        placed = [place(dispatcher, SHORT) for _ in range(6)]
        assert all(answer.permit for answer in placed)
        assert isinstance(dispatcher.place("entry", "a", SHORT, 10.0), int)

    def test_excluded_and_drained_get_nothing(self):
        """Guards against sends to a failure domain that is out of service."""
        dispatcher = make_dispatcher(engines=3)
        dispatcher.set_drained({"a"})
        for _ in range(5):
            answer = place(dispatcher, replace(SHORT, excluded=["llm1"]))
            assert answer.upstream_id == "llm2"

    def test_no_upstream_is_refused_at_once(self):
        """Guards against a request that is queued although no upstream can serve it."""
        dispatcher = make_dispatcher(engines=0)
        answer = place(dispatcher, SHORT)
        assert answer.refusal == ErrorKind.NO_UPSTREAM
        assert answer.retry_after_s > 0

    def test_upstream_that_missed_a_report_is_used_when_others_are_full(self):
        """Guards against requests that are refused while a live engine has free slots."""
        dispatcher = make_dispatcher(engines=2, slots=1)
        dispatcher.observe(replace(make_report("llm", 0, 1), sequence=2), 12.5)
        first = place(dispatcher, SHORT, 12.6)
        assert first.upstream_id == "llm0"
        assert place(dispatcher, SHORT, 12.6).upstream_id == "llm1"

    def test_unresponsive_upstream_is_avoided_when_others_are_full(self):
        """Guards against requests that spend their time limit on an engine that is down."""
        dispatcher = make_dispatcher(engines=2, slots=1)
        for answer in [place(dispatcher, SHORT), place(dispatcher, SHORT)]:
            silent = answer.upstream_id == "llm1"
            outcome = SendOutcome.SILENT if silent else SendOutcome.DONE
            dispatcher.record_ended(SendEnded(answer.permit, outcome), 10.1)
        first = place(dispatcher, SHORT, 10.2)
        assert first.upstream_id == "llm0"
        ticket = dispatcher.place("entry", "a", SHORT, 10.2)
        assert isinstance(ticket, int)
        assert place_waiting(dispatcher, 10.25) == []
        dispatcher.record_ended(SendEnded(first.permit, SendOutcome.DONE), 10.3)
        ((decided, answer),) = place_waiting(dispatcher, 10.3)
        assert (decided, answer.upstream_id) == (ticket, "llm0")

    def test_plain_service_balances(self):
        """Guards against plain requests that pile up on one upstream."""
        dispatcher = make_dispatcher()
        dispatcher.observe(make_report("plain", 101, 6), 10.0)
        names = [place(dispatcher, PLAIN).upstream_id for _ in range(8)]
        assert names.count("plain100") == 4

    def test_long_prompts_do_not_queue_behind_each_other(self):
        """Guards against a stream that stalls during the prefill of the prompt behind it."""
        dispatcher = make_dispatcher(engines=6)
        calls = [replace(LONG, prompt_tokens=130_000) for _ in range(4)]
        used = [place(dispatcher, call).upstream_id for call in calls]
        assert len(set(used)) == 4

    def test_full_engines_help(self):
        """Guards against a prompt that stalls one engine's streams while others could help."""
        dispatcher = make_dispatcher(engines=4, slots=3)
        for number in range(11):
            now_s = 10.0 + 0.15 * number
            answer = place(dispatcher, SHORT, now_s)
            dispatcher.record_started(SendStarted(answer.permit, 0.1), now_s + 0.1)
        medium = DispatchCall("m", 1, "llm", "one", 1, 45_000, 1_000, 1.5, 0.5, 10.0)
        answer = place(dispatcher, medium, 11.8)
        assert len(answer.helpers) == 2

    def test_helper_does_not_delay_a_running_prefill(self):
        """Guards against a prompt that is late because its engine prefills a part ahead of it."""
        dispatcher = make_dispatcher(engines=12)
        prefilling = place(dispatcher, replace(LONG, prompt_tokens=180_000))
        assert not prefilling.helpers
        other = place(dispatcher, replace(LONG, prompt_tokens=400_000))
        names = {other.upstream_id, *(helper.upstream_id for helper in other.helpers)}
        assert prefilling.upstream_id not in names

    def test_expected_time_counts_the_parts_ahead(self):
        """Guards against predictions that ignore parts which take precedence."""
        dispatcher = make_dispatcher(engines=2)
        call = replace(LONG, prompt_tokens=100_000, goal_s=20.0, remaining_s=60.0)
        first = place(dispatcher, replace(call, prompt_tokens=600_000))
        second = place(dispatcher, call)
        assert first.expected_first_s > 5.0
        assert second.expected_first_s > first.expected_first_s

    def test_late_prompt_waits_for_engines(self):
        """Guards against a prompt that blocks one engine for its whole time limit."""
        dispatcher = make_dispatcher(engines=8)
        running = [place(dispatcher, replace(LONG, prompt_tokens=150_000)) for _ in range(8)]
        large = replace(LONG, prompt_tokens=400_000)
        ticket = dispatcher.place("entry", "a", large, 10.0)
        assert isinstance(ticket, int)
        for answer in running:
            dispatcher.record_ended(SendEnded(answer.permit, SendOutcome.DONE), 10.5)
        [(decided, answer)] = place_waiting(dispatcher, 10.5)
        assert decided == ticket
        assert answer.helpers

    def test_prompt_that_cannot_be_answered_in_time_is_refused(self):
        """Guards against prefill for a caller that will have disconnected."""
        dispatcher = make_dispatcher(engines=1)
        place(dispatcher, replace(LONG, prompt_tokens=200_000))
        answer = dispatcher.place("entry", "a", SHORT, 10.0)
        assert isinstance(answer, DispatchAnswer)
        assert answer.refusal == ErrorKind.DEADLINE_UNREACHABLE
        assert 0 < answer.retry_after_s < 5

    def test_late_prompt_keeps_clear_of_the_callers_timeout(self):
        """Guards against a prompt that is late in any case and is therefore split over so few
        engines that its caller leaves before the first event.
        """
        dispatcher = make_dispatcher(engines=23, slots=16, parameters=SLOW_ATTENTION)
        # Streams of each engine in the second after a burst of short prompts.
        streams = (0, 0, 0, 0, 0, 2, 4, 4, 4, 4, 4, 6, 6, 8, 10, 10, 12, 12, 12, 12, 12, 16, 16)
        for number, count in enumerate(streams):
            for _ in range(count):
                load = dispatcher.fleet.find_load(dispatcher.directory.records[f"llm{number}"])
                permit = dispatcher.next_permit = dispatcher.next_permit + 1
                stream = ActiveSend(
                    permit, "e", "u", 5_000, 1_300, 6_300, 0.25, 0.75, 9.0, 0.0, 0.0
                )
                load.add(stream, 10.0)
        call = replace(LONG, prompt_tokens=557_000, output_tokens=650, gap_goal_s=1.0)
        answer = place(dispatcher, call)
        # The caller leaves after four times its latency target.
        assert answer.expected_first_s <= 0.6 * 4 * call.goal_s

    def test_large_fleet_splits_a_prompt_over_the_most_engines(self):
        """Guards against the share of idle engines being computed from a sample of them."""
        dispatcher = make_dispatcher(engines=60)
        large = replace(LONG, prompt_tokens=420_000, goal_s=1.0)
        assert len(place(dispatcher, large).helpers) == 15

    def test_wait_ends_with_a_placement(self):
        """Guards against a refusal of a prompt that an engine could answer late."""
        dispatcher = make_dispatcher(engines=8)
        for _ in range(8):
            place(dispatcher, replace(LONG, prompt_tokens=150_000))
        assert isinstance(
            dispatcher.place("entry", "a", replace(LONG, prompt_tokens=250_000), 10.0), int
        )
        [(_, answer)] = place_waiting(dispatcher, 11.6)
        assert answer.permit

    def test_overdue_prefill_still_counts_as_running(self):
        """Guards against streams on an engine whose long prefill is slower than predicted."""
        dispatcher = make_dispatcher(engines=2)
        answer = place(dispatcher, LONG)
        for _ in range(4):
            assert place(dispatcher, SHORT, 15.0).upstream_id != answer.upstream_id


class TestStalls:
    def test_send_to_a_slow_engine_continues(self):
        """Guards against a second prefill of a long prompt although its engine is alive."""
        dispatcher = make_dispatcher()
        answer = place(dispatcher, LONG)
        assert not dispatcher.record_stalled(SendStalled(answer.permit), 11.0).give_up

    def test_send_to_a_stale_engine_is_abandoned(self):
        """Guards against a prompt that waits for an engine which no longer reports."""
        dispatcher = make_dispatcher()
        answer = place(dispatcher, LONG)
        assert dispatcher.record_stalled(SendStalled(answer.permit), 12.5).give_up

    def test_helper_that_left_is_noticed(self):
        """Guards against a prompt that waits for a part on an engine that left."""
        dispatcher = make_dispatcher(engines=8)
        answer = place(dispatcher, replace(LONG, prompt_tokens=400_000))
        dispatcher.directory.remove(answer.helpers[0].upstream_id, 10.1)
        assert dispatcher.record_stalled(SendStalled(answer.permit), 10.5).give_up

    def stall_all_sends(self, dispatcher) -> list[DispatchAnswer]:
        """Fill two engines and let all sends of one stall; return these sends."""
        answers = [place(dispatcher, SHORT) for _ in range(8)]
        stalled = [answer for answer in answers if answer.upstream_id == "llm0"]
        assert len(stalled) == 4
        for now_s in (10.9, 11.4):
            for answer in stalled:
                dispatcher.record_stalled(SendStalled(answer.permit), now_s)
        for number in range(2):
            report = replace(make_report("llm", number, 4), sequence=2)
            dispatcher.observe(report, 11.5)
        return stalled

    def test_engine_that_goes_on_is_used_again(self):
        """Guards against refusals for seconds while an engine that was silent has free slots."""
        dispatcher = make_dispatcher(engines=2, slots=4)
        stalled = self.stall_all_sends(dispatcher)
        for answer in stalled:
            dispatcher.record_started(SendStarted(answer.permit, 1.6), 11.6)
        for answer in stalled[:2]:
            dispatcher.record_ended(SendEnded(answer.permit, SendOutcome.CANCELLED), 11.7)
        # The late first events make the engine look slow, so the request waits for a better one.
        ticket = dispatcher.place("entry", "a", SHORT, 11.8)
        ((decided, answer),) = place_waiting(dispatcher, 12.0)
        assert (decided, answer.upstream_id) == (ticket, "llm0")

    def test_stream_that_ends_after_a_stall(self):
        """Guards against an engine that is avoided although its silent stream has ended whole."""
        dispatcher = make_dispatcher(engines=2, slots=4)
        stalled = self.stall_all_sends(dispatcher)
        dispatcher.record_ended(SendEnded(stalled[0].permit, SendOutcome.DONE), 11.7)
        assert place(dispatcher, SHORT, 11.8).upstream_id == "llm0"

    def test_engine_that_stays_silent_is_avoided(self):
        """Guards against an end of the avoidance by a send that did not stall."""
        dispatcher = make_dispatcher(engines=2, slots=4)
        stalled = self.stall_all_sends(dispatcher)
        other = next(send for send in dispatcher.sends.values() if send.upstream_id == "llm1")
        dispatcher.record_ended(SendEnded(stalled[0].permit, SendOutcome.SILENT), 11.7)
        answer = dispatcher.place("entry", "a", SHORT, 11.8)
        assert isinstance(answer, int) or not answer.permit
        dispatcher.record_ended(SendEnded(other.permit, SendOutcome.DONE), 11.8)
        assert place(dispatcher, SHORT, 11.8).upstream_id == "llm1"


class TestLimits:
    def test_cold_upstream_gets_no_more_than_its_limit(self):
        """Guards against a cold upstream that all instances together overload."""
        dispatcher = make_dispatcher(engines=1, slots=1000)
        cold = replace(make_report("llm", 0, 1000), sequence=2, cold_left_s=5.0)
        dispatcher.observe(cold, 10.0)
        granted = 0
        for number in range(100):
            answer = dispatcher.place("entry", "a", SHORT, 10.0 + number / 100)
            granted += isinstance(answer, DispatchAnswer) and answer.permit > 0
        assert 1 <= granted <= 10

    def test_new_dispatcher_avoids_cold_upstreams_at_first(self):
        """Guards against two successive dispatchers that both use the whole cold rate limit."""
        dispatcher = make_dispatcher(engines=1)
        cold = replace(make_report("llm", 0, 8), sequence=2, cold_left_s=5.0)
        dispatcher.observe(cold, 10.0)
        dispatcher.start(1 << 32, 10.0)
        assert isinstance(dispatcher.place("entry", "a", SHORT, 10.1), int)

    def test_retry_budget(self):
        """Guards against more retries than all instances may make together."""
        dispatcher = make_dispatcher(slots=1000, retry_ratio=0.2, retry_slack=5.0)
        first = replace(SHORT, goal_s=30.0, gap_goal_s=10.0)
        for _ in range(50):
            place(dispatcher, first)
        second = replace(first, attempt=2, arrivals=1)
        answers = [place(dispatcher, second) for _ in range(20)]
        assert sum(answer.permit > 0 for answer in answers) == 15

    def test_refused_retries_take_nothing_from_the_budget(self):
        """Guards against a budget that is spent by asking again while nothing is sent."""
        dispatcher = make_dispatcher(engines=1, retry_ratio=0.0, retry_slack=2.0)
        first = place(dispatcher, SHORT)
        second = replace(SHORT, attempt=2, arrivals=1, excluded=[first.upstream_id])
        for _ in range(5):
            assert place(dispatcher, second).refusal == ErrorKind.NO_UPSTREAM
        dispatcher.observe(make_report("llm", 1, 8), 10.0)
        assert place(dispatcher, second).permit

    def test_queued_retries_take_from_the_budget_when_they_are_placed(self):
        """Guards against a budget that withdrawn requests spend, or that queued ones exceed."""
        dispatcher = make_dispatcher(engines=1, slots=1, retry_ratio=0.0, retry_slack=2.0)
        running = [place(dispatcher, SHORT)]
        # Retries may exceed the slots of an engine by two.
        running += [place(dispatcher, replace(SHORT, attempt=2)) for _ in range(2)]
        second = replace(SHORT, attempt=2, arrivals=1)
        tickets = [dispatcher.place("entry", "a", second, 10.0) for _ in range(6)]
        assert all(isinstance(ticket, int) for ticket in tickets)
        dispatcher.queue.remove(tickets[0])
        for answer in running:
            dispatcher.record_ended(SendEnded(answer.permit, SendOutcome.DONE), 10.1)
        decided = [answer for _, answer in place_waiting(dispatcher, 10.1)]
        assert sum(answer.permit > 0 for answer in decided) == 2
        assert {answer.refusal for answer in decided} == {"", ErrorKind.RATE_LIMITED}

    def test_unresponsive_upstream_is_avoided(self):
        """Guards against new requests to an upstream that did not respond."""
        dispatcher = make_dispatcher(engines=2)
        answer = place(dispatcher, SHORT)
        dispatcher.record_ended(SendEnded(answer.permit, SendOutcome.SILENT), 10.1)
        for _ in range(4):
            assert place(dispatcher, SHORT, 10.2).upstream_id != answer.upstream_id


class TestActiveSends:
    def test_lost_permits_are_dropped(self):
        """Guards against slots that stay occupied after their entry node was killed."""
        dispatcher = make_dispatcher(engines=1, slots=1)
        place(dispatcher, SHORT)
        dispatcher.drop_unlisted_sends("entry", set(), 10.5)
        assert isinstance(dispatcher.place("entry", "a", SHORT, 10.5), int)
        dispatcher.drop_unlisted_sends("entry", set(), 11.5)
        assert place(dispatcher, SHORT, 11.5).permit

    def test_new_dispatcher_adopts_sends(self):
        """Guards against a new leader that considers busy engines idle."""
        dispatcher = make_dispatcher(engines=1, slots=1)
        dispatcher.start(1 << 32, 10.0)
        dispatcher.adopt("entry", ActiveSendReport(5, "llm0", 5000, 1600, 0.2, 0.5, True), 10.0)
        assert isinstance(dispatcher.place("entry", "a", SHORT, 10.0), int)
        dispatcher.record_ended(SendEnded(5, SendOutcome.DONE), 10.1)
        assert place(dispatcher, SHORT, 10.1).permit

    def test_adopted_parts_occupy_their_engines(self):
        """Guards against a new leader that considers engines with a prompt part idle."""
        dispatcher = make_dispatcher(engines=3)
        report = ActiveSendReport(5, "llm0", 300_000, 800, 0.8, 0.1, False, ["llm1"])
        dispatcher.adopt("entry", report, 10.0)
        assert dispatcher.fleet.loads["llm1"].pending_parts_ms() > 1000
        assert place(dispatcher, SHORT).upstream_id == "llm2"

    def test_helpers_are_freed_with_the_send(self):
        """Guards against engines that stay occupied by a part of a prompt that ended."""
        dispatcher = make_dispatcher(engines=8)
        answer = place(dispatcher, replace(LONG, prompt_tokens=900_000))
        dispatcher.record_ended(SendEnded(answer.permit, SendOutcome.CANCELLED), 10.1)
        assert all(not load.sends for load in dispatcher.fleet.loads.values())


class TestMisdirectedSends:
    def test_upstream_whose_address_another_one_has(self):
        """Guards against requests to an upstream that has ended until its successor reports."""
        dispatcher = make_dispatcher(engines=3)
        local = LocalDispatcher(DispatchSettings(), random.Random(1))
        upstreams = dispatcher.directory.usable("llm", 10.0)
        answer = place(dispatcher, SHORT)
        dispatcher.record_ended(SendEnded(answer.permit, SendOutcome.MISDIRECTED), 10.0)
        used = {place(dispatcher, SHORT, 10.2).upstream_id for _ in range(20)}
        assert used and answer.upstream_id not in used
        assert dispatcher.fleet.find_partitioned(10.2) == set()
        alone = local.place("a", upstreams, SHORT, 10.0)
        local.record_ended(SendEnded(alone.permit, SendOutcome.MISDIRECTED), 10.0)
        used = {local.place("a", upstreams, SHORT, 10.2).upstream_id for _ in range(20)}
        assert used and alone.upstream_id not in used
