"""Tests of requests that wait for a free upstream."""

from dataclasses import replace

from laburnumrock.dispatch import DispatchAnswer, Dispatcher, SendEnded, SendOutcome
from laburnumrock.dispatch._dispatcher import MAX_FAILED_PLACEMENTS
from laburnumrock.dispatch.tests.builders import (
    PLAIN,
    SHORT,
    make_dispatcher,
    make_report,
    place,
    place_waiting,
)
from laburnumrock.errors import ErrorKind


def replace_call(dispatcher: Dispatcher, arrived_s: float):
    """Return the queued call of the dispatcher as if it had arrived at another time."""
    queued = next(iter(dispatcher.queue.calls.values()))
    delay_s = arrived_s - queued.arrived_s
    return replace(
        queued,
        arrived_s=arrived_s,
        improve_until_s=queued.improve_until_s + delay_s,
        wait_until_s=queued.wait_until_s + delay_s,
    )


class TestWaiting:
    def test_pass_over_many_waiting_requests_is_bounded(self, monkeypatch):
        """Guards against a leader that evaluates its whole queue at the end of each send."""
        dispatcher = make_dispatcher(engines=1, slots=1)
        place(dispatcher, SHORT)
        monkeypatch.setattr(dispatcher.queue, "is_full", lambda *_: False)
        tickets = [dispatcher.place("entry", "a", SHORT, 10.0) for _ in range(50)]
        calls = []
        choose = dispatcher.chooser.choose
        monkeypatch.setattr(
            dispatcher.chooser, "choose", lambda *values: calls.append(values) or choose(*values)
        )
        assert place_waiting(dispatcher, 10.05) == []
        assert len(calls) == MAX_FAILED_PLACEMENTS
        # Expired requests are decided nevertheless.
        assert [ticket for ticket, _ in place_waiting(dispatcher, 11.0)] == tickets

    def test_upstream_without_slots_gets_no_retry(self):
        """Guards against one upstream that reports 0 slots and ends each pass over the queue with a
        division by zero, so that no waiting request of any service is decided.
        """
        dispatcher = make_dispatcher(engines=1, slots=1)
        dispatcher.observe(replace(make_report("plain", 100, 0), sequence=2), 10.0)
        running = place(dispatcher, SHORT)
        tickets = [
            dispatcher.place("entry", "a", call, 10.0)
            for call in (replace(PLAIN, attempt=2), replace(SHORT, remaining_s=4.0))
        ]
        assert all(isinstance(ticket, int) for ticket in tickets)
        dispatcher.record_ended(SendEnded(running.permit, SendOutcome.DONE), 10.1)
        ((ticket, answer),) = place_waiting(dispatcher, 10.1)
        assert (ticket, answer.upstream_id) == (tickets[1], "llm0")
        ((ticket, answer),) = place_waiting(dispatcher, 10.3)
        assert (ticket, answer.refusal) == (tickets[0], ErrorKind.CONCURRENCY_LIMITED)

    def queue_unplaceable_retries(self, dispatcher: Dispatcher) -> None:
        """Queue retries of streams whose engine `llm1` is silent, while `llm0` is full."""
        retry = replace(SHORT, attempt=2, excluded=["llm1"])
        while isinstance(dispatcher.place("entry", "a", retry, 10.0), DispatchAnswer):
            pass
        for _ in range(MAX_FAILED_PLACEMENTS):
            assert isinstance(dispatcher.place("entry", "a", retry, 10.0), int)

    def test_retries_hold_up_no_other_service(self):
        """Guards against requests to a sound service that wait while an engine is silent."""
        dispatcher = make_dispatcher(engines=2, slots=1)
        self.queue_unplaceable_retries(dispatcher)
        running = [place(dispatcher, PLAIN) for _ in range(6)]
        ticket = dispatcher.place("entry", "a", PLAIN, 10.0)
        dispatcher.record_ended(SendEnded(running[0].permit, SendOutcome.DONE), 10.01)
        assert [decided for decided, _ in place_waiting(dispatcher, 10.02)] == [ticket]

    def test_retries_hold_up_no_new_requests(self, monkeypatch):
        """Guards against new requests that wait behind retries which exclude the free engine."""
        dispatcher = make_dispatcher(engines=2, slots=1)
        first = place(dispatcher, replace(SHORT, excluded=["llm0"]))
        self.queue_unplaceable_retries(dispatcher)
        monkeypatch.setattr(dispatcher.queue, "is_full", lambda *_: False)
        ticket = dispatcher.place("entry", "a", SHORT, 10.0)
        dispatcher.record_ended(SendEnded(first.permit, SendOutcome.DONE), 10.01)
        [(decided, answer)] = place_waiting(dispatcher, 10.02)
        assert (decided, answer.upstream_id) == (ticket, "llm1")

    def test_tickets_of_two_leaders_differ(self):
        """Guards against a late decision of a former leader that is taken for another request's.

        Notes
        -----
        Seen in the tgs-taipei-grown deployment: an engine of one service ran a request to another.
        """
        tickets = set()
        for term in (1, 2):
            dispatcher = make_dispatcher(engines=1, slots=1)
            dispatcher.start(term << 32, 10.0)
            place(dispatcher, SHORT)
            tickets.add(dispatcher.place("entry", "a", SHORT, 10.0))
        assert len(tickets) == 2

    def test_waiting_request_gets_the_free_slot(self):
        """Guards against a refusal while an engine is about to become free."""
        dispatcher = make_dispatcher(engines=1, slots=1)
        first = place(dispatcher, SHORT)
        ticket = dispatcher.place("entry", "a", SHORT, 10.0)
        dispatcher.record_ended(SendEnded(first.permit, SendOutcome.DONE), 10.1)
        [(served, answer)] = place_waiting(dispatcher, 10.1)
        assert served == ticket
        assert answer.permit

    def test_interrupted_stream_precedes_new_requests(self):
        """Guards against an interrupted stream that fails because new requests take every slot."""
        dispatcher = make_dispatcher(engines=1, slots=1)
        running = [place(dispatcher, SHORT)]
        running += [place(dispatcher, replace(SHORT, attempt=2)) for _ in range(2)]
        new = dispatcher.place("entry", "a", SHORT, 10.0)
        interrupted = dispatcher.place("entry", "a", replace(SHORT, attempt=2), 10.0)
        assert isinstance(new, int) and isinstance(interrupted, int)
        dispatcher.record_ended(SendEnded(running[0].permit, SendOutcome.DONE), 10.1)
        [(ticket, answer)] = place_waiting(dispatcher, 10.1)
        assert ticket == interrupted and answer.permit

    def test_waiting_ends_before_the_deadline(self):
        """Guards against a request that is queued until its caller leaves, and against a refusal
        while the caller, who waits 2 s for the first event, may still be served.
        """
        dispatcher = make_dispatcher(engines=1, slots=1)
        place(dispatcher, SHORT)
        dispatcher.place("entry", "a", SHORT, 10.0)
        assert place_waiting(dispatcher, 10.5) == []
        [(_, answer)] = place_waiting(dispatcher, 10.0 + 2.0 / 3)
        assert answer.refusal == ErrorKind.CONCURRENCY_LIMITED

    def test_plain_request_waits_by_its_own_time_limit(self):
        """Guards against a booking that is refused after a share of a short latency target although
        its caller waits for seconds.
        """
        dispatcher = make_dispatcher()
        booking = replace(PLAIN, goal_s=0.126, remaining_s=1.5)
        running = [place(dispatcher, booking) for _ in range(6)]
        ticket = dispatcher.place("entry", "a", booking, 10.0)
        assert place_waiting(dispatcher, 10.2) == []
        dispatcher.record_ended(SendEnded(running[0].permit, SendOutcome.DONE), 10.3)
        [(served, answer)] = place_waiting(dispatcher, 10.3)
        assert served == ticket
        assert answer.permit

    def test_queue_is_limited_by_the_rate_at_which_sends_end(self):
        """Guards against requests of a burst that wait although they cannot be placed in time, and
        against a delay after which they come back too early.
        """
        dispatcher = make_dispatcher(engines=10, slots=2)
        running = [place(dispatcher, SHORT) for _ in range(20)]
        for index, answer in enumerate(running[:10]):
            dispatcher.record_ended(SendEnded(answer.permit, SendOutcome.DONE), 10.0 + index / 10)
            place(dispatcher, SHORT)
        answers = [dispatcher.place("entry", "a", SHORT, 10.95) for _ in range(30)]
        queued = [answer for answer in answers if isinstance(answer, int)]
        # Ten sends end per second, and a request waits 0.6 s.
        assert len(queued) == 6
        assert answers[-1].refusal == ErrorKind.CONCURRENCY_LIMITED
        assert answers[-1].retry_after_s >= 0.4

    def test_ended_sends_are_dropped_without_a_queue(self):
        """Guards against a dispatcher whose memory grows with each send while nothing waits."""
        dispatcher = make_dispatcher(engines=1)
        for number in range(100):
            now_s = 10.0 + number / 10
            report = replace(make_report("llm", 0, 8), sequence=2 + number)
            dispatcher.observe(report, now_s)
            answer = place(dispatcher, SHORT, now_s)
            dispatcher.record_ended(SendEnded(answer.permit, SendOutcome.DONE), now_s)
        assert len(dispatcher.queue.ended_s["llm"]) <= 11

    def test_requests_that_can_be_on_time_precede_late_ones(self):
        """Guards against a burst in which every request waits behind late ones and is late too."""
        dispatcher = make_dispatcher(engines=1, slots=2)
        first, _ = [place(dispatcher, SHORT) for _ in range(2)]
        dispatcher.place("entry", "a", SHORT, 10.0)
        dispatcher.queue.calls[1000] = replace_call(dispatcher, arrived_s=10.35)
        dispatcher.record_ended(SendEnded(first.permit, SendOutcome.DONE), 10.4)
        [(served, answer)] = place_waiting(dispatcher, 10.4)
        assert served == 1000
        assert answer.permit

    def test_long_queue_refuses_at_once(self):
        """Guards against a burst that is queued without a chance of being served in time."""
        dispatcher = make_dispatcher(engines=1, slots=2)
        for _ in range(2):
            place(dispatcher, SHORT)
        assert isinstance(dispatcher.place("entry", "a", SHORT, 10.0), int)
        assert place(dispatcher, SHORT).refusal == ErrorKind.CONCURRENCY_LIMITED
