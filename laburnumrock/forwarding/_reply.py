"""The one answer that a caller gets."""

import time

from eliot import log_message
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses
from tornado.iostream import StreamClosedError

from laburnumrock.errors import ANSWERS, ErrorKind
from laburnumrock.forwarding._context import ForwardingContext
from laburnumrock.forwarding._exchange import Answer
from laburnumrock.forwarding._wire import CallerRequest
from laburnumrock.routing import AccountEntry, Route, classify_length

PROMISE_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that the request has not run."""
START_RETRY_S = 1.8
"""Time in which an instance that starts learns the routes and upstreams."""


class CallerReply:
    """Writes to a caller, and logs and counts what it gets.

    Parameters
    ----------
    context : ForwardingContext
        Shared parts.
    connection : HTTP1Connection
        Connection of the caller.
    request : CallerRequest
        The request.
    """

    def __init__(
        self, context: ForwardingContext, connection: HTTP1Connection, request: CallerRequest
    ) -> None:
        self.context = context
        self.connection = connection
        self.request = request
        self.route: Route | None = None
        self.account: AccountEntry | None = None
        self.started = False
        self.caller_left = False

    def start_stream(self, answer: Answer) -> None:
        """Send the headers of a stream, unless an earlier upstream of it has sent them."""
        if self.started:
            return
        self.started = True
        headers = self.context.wire.encode_response(answer.headers)
        for name in ("Content-Length", "Transfer-Encoding"):
            headers.pop(name, None)
        self._write_headers(answer.status, answer.reason, headers)

    async def write_events(self, data: bytes) -> None:
        """Send whole events of a stream."""
        try:
            await self.connection.write(data)
        except StreamClosedError:
            # Without this mark the end of the exchange would look like a fault of the upstream.
            self.caller_left = True
            raise

    def finish_stream(self, status: int, attempts: int, longest_pause_s: float) -> None:
        """End a stream that was relayed whole."""
        self.connection.finish()
        self.count(status)
        self.context.metrics.longest_pause.labels(*self.labels()).observe(longest_pause_s)
        self.log("stream_finished", attempts=attempts, longest_pause_s=round(longest_pause_s, 4))

    def answer(self, answer: Answer, attempts: int) -> None:
        """Send the answer of an upstream unchanged."""
        headers = self.context.wire.encode_response(answer.headers)
        headers.pop("Transfer-Encoding", None)
        if self.request.method != "HEAD":
            headers["Content-Length"] = str(len(answer.body))
        self._write_headers(answer.status, answer.reason, headers, answer.body)
        self.connection.finish()
        self.count(answer.status)
        self.log("answered", status=answer.status, attempts=attempts)

    def fail(self, kind: ErrorKind, may_have_run: bool, retry_after_s: float = 0.0) -> None:
        """Answer with a failure of our own; its status promises only what is proved."""
        status = ANSWERS[kind].status
        if status in PROMISE_STATUSES and may_have_run:
            status = 502
        if status == 504 and not may_have_run:
            status = 503
        if status == 503 and retry_after_s <= 0:
            retry_after_s = START_RETRY_S * self.context.source.uniform(0.8, 1.4)
        self.log("request_failed", kind=kind, status=status, retry_after_s=retry_after_s)
        self.context.metrics.refusals.labels(kind.value).inc()
        self.count(status)
        headers = self.context.wire.encode_error(self.request.request_id, retry_after_s)
        body = f'{{"kind": "{kind.value}"}}\n'.encode()
        headers["Content-Type"] = "application/problem+json"
        headers["Content-Length"] = str(len(body))
        self._write_headers(status, responses.get(status, "Unknown"), headers, body)
        self.connection.finish()

    def break_off(self, kind: ErrorKind, last_event: str | None) -> None:
        """Close the connection, so that a cut stream does not look complete."""
        self.log("stream_broken_off", kind=kind, last_event=last_event)
        self.context.metrics.refusals.labels(kind.value).inc()
        self.count(0)
        self.connection.close()

    def note_left(self, attempts: int) -> None:
        """Record that the caller closed its connection."""
        self.log("caller_left", attempts=attempts)
        if self.route is not None:
            self.count(0)

    def labels(self) -> tuple[str, str]:
        """Return client account and length class, by which metrics are kept."""
        account = self.account.name if self.account is not None else ""
        prompt_tokens = self.request.prompt_tokens
        length = classify_length(prompt_tokens, 0, 0).value if prompt_tokens else "plain"
        return account, length

    def count(self, status: int) -> None:
        """Count the end of the request; status 0 stands for a closed connection."""
        labels = self.labels()
        metrics = self.context.metrics
        metrics.requests.labels(*labels, str(status)).inc()
        metrics.duration.labels(*labels).observe(time.monotonic() - self.request.arrived_s)

    def log(self, event: str, **values: object) -> None:
        """Write a log line of this request."""
        log_message(
            event,
            request_id=self.request.request_id,
            route=self.route.name if self.route is not None else None,
            elapsed_s=round(time.monotonic() - self.request.arrived_s, 4),
            **values,
        )

    def _write_headers(
        self, status: int, reason: str, headers: HTTPHeaders, body: bytes | None = None
    ) -> None:
        if self.context.stopping:
            headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        self.connection.write_headers(start_line, headers, body or None)


def is_good(answer: Answer) -> bool:
    """Whether an answer is a success that bears the proof of its upstream."""
    return 200 <= answer.status < 300 and answer.metadata.signed and not answer.metadata.encoded


def may_pass(answer: Answer) -> bool:
    """Whether a failure of an upstream can be given to the caller as it is."""
    if answer.metadata.encoded or answer.metadata.proves_not_run:
        return False
    return answer.metadata.signed and answer.status not in PROMISE_STATUSES
