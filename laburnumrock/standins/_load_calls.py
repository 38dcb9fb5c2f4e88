"""Client of the load generator: sends the planned calls and validates the responses."""

import asyncio
import json
from dataclasses import dataclass, field

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse

from laburnumrock.standins._engine import hash_prompt, token_text
from laburnumrock.standins._load_profile import LoadProfile, PlannedCall

# The client waits beyond the deadline to distinguish a late response from a missing one.
DEADLINE_MARGIN_S = 5.0
CONNECT_TIMEOUT_S = 5.0
MAX_CLIENTS = 10_000
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
FILLER_WORDS = 1_000_000
DONE = "[DONE]"


@dataclass(slots=True)
class CallRecord:
    """Outcome of one call, written as one JSON line.

    Parameters
    ----------
    number : int
        Position in the plan.
    kind : str
        ``completion`` or ``service``.
    length_class : str
        Class of a completion, or the name of the service.
    account, caller : str
        Client account, and caller within it.
    started_s : float
        Send time in seconds from the start of the load test.
    timeout_s : float
        Deadline in seconds.
    prompt_tokens : int
        Length of the prompt.
    result : str
        ``completed``, ``refused`` (an error response before any output), ``failed`` (an
        error after output) or ``broken`` (no complete response).
    status : int
        HTTP status; 599 if there was no response.
    error_kind, outcome : str, optional
        Members ``kind`` and ``outcome`` of the problem document.
    fault : str, optional
        Defect of the text of a response: ``incomplete``, ``out_of_order``, ``foreign_text`` or
        ``text_after_done``.
    first_token_s, total_s : float
        Latencies in seconds from the send time.
    tokens : int
        Number of received tokens.
    gaps_ms : list of float
        Inter-token latencies in milliseconds; tokens of one chunk share its arrival time.
    operation_id : str, optional
        ``Idempotency-Key``.
    is_replay : bool
        Whether the response had ``Idempotent-Replay: true``.
    has_retry_after : bool
        Whether a refused call got a ``Retry-After`` header.
    """

    number: int
    kind: str
    length_class: str
    account: str
    caller: str
    started_s: float
    timeout_s: float
    prompt_tokens: int = 0
    result: str = "broken"
    status: int = 599
    error_kind: str | None = None
    outcome: str | None = None
    fault: str | None = None
    first_token_s: float | None = None
    total_s: float = 0.0
    tokens: int = 0
    gaps_ms: list[float] = field(default_factory=list)
    operation_id: str | None = None
    is_replay: bool = False
    has_retry_after: bool = False

    def set_problem(self, problem: dict[str, object]) -> None:
        """Store the members of a problem document."""
        self.error_kind = str(problem.get("kind", "unknown"))
        self.outcome = str(problem.get("outcome", "unknown"))


class StreamValidator:
    """Parses the event stream of a completion and checks it against the expected tokens.

    Parameters
    ----------
    record : CallRecord
        Record to update.
    prompt_hash : str
        Prefix of every expected token.
    max_tokens : int
        Number of tokens of a complete response.
    """

    def __init__(self, record: CallRecord, prompt_hash: str, max_tokens: int) -> None:
        self.record = record
        self.prompt_hash = prompt_hash
        self.max_tokens = max_tokens
        self.buffer = b""
        self.last_token_s = 0.0
        self.has_done = False
        self.has_error = False

    def receive(self, chunk: bytes, elapsed_s: float) -> None:
        """Process bytes of the stream that arrived `elapsed_s` seconds after the send time."""
        self.buffer += chunk
        *events, self.buffer = self.buffer.split(b"\n\n")
        for event in events:
            self._receive_event(event.decode(), elapsed_s)

    def finish(self) -> None:
        """Set the result at the end of the stream."""
        if self.has_error:
            self.record.result = "failed" if self.record.tokens else "refused"
        elif not self.has_done:
            self.record.result = "broken"
        else:
            self.record.result = "completed"
            if self.record.tokens != self.max_tokens:
                self._record_fault("incomplete")

    def _receive_event(self, event: str, elapsed_s: float) -> None:
        lines = event.splitlines()
        data = "".join(line[5:].strip() for line in lines if line.startswith("data:"))
        if "event: error" in lines:
            self.has_error = True
            self.record.set_problem(json.loads(data))
        elif data == DONE:
            self.has_done = True
        elif data:
            self._receive_tokens(json.loads(data)["choices"][0]["text"], elapsed_s)

    def _receive_tokens(self, text: str, elapsed_s: float) -> None:
        record = self.record
        for word in text.split():
            if word + " " != token_text(self.prompt_hash, record.tokens):
                is_own = word.startswith(f"{self.prompt_hash}-")
                self._record_fault("out_of_order" if is_own else "foreign_text")
            if record.first_token_s is None:
                record.first_token_s = round(elapsed_s, 6)
            else:
                record.gaps_ms.append(round((elapsed_s - self.last_token_s) * 1_000, 3))
            self.last_token_s = elapsed_s
            record.tokens += 1
        if self.has_done:
            self._record_fault("text_after_done")

    def _record_fault(self, fault: str) -> None:
        self.record.fault = self.record.fault or fault


class LoadClient:
    """Sends planned calls to one URL.

    Parameters
    ----------
    url : str
        Base URL, normally of the load balancer.
    profile : LoadProfile
        Mix of calls.
    seed : int
        Seed of the plan. It is part of each prompt, so that load tests do not share prompts.
    """

    def __init__(self, url: str, profile: LoadProfile, seed: int) -> None:
        self.url = url.rstrip("/")
        self.profile = profile
        self.seed = seed
        self.filler = "w " * FILLER_WORDS
        self.client = AsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS, max_body_size=MAX_RESPONSE_BYTES
        )

    async def run(self, call: PlannedCall, elapsed_s: float) -> CallRecord:
        """Send one call and wait until it has ended."""
        target = call.length_class.name if call.length_class else call.service.service
        record = CallRecord(
            call.number,
            "completion" if call.length_class else "service",
            target,
            call.account.name,
            call.caller,
            round(elapsed_s, 6),
            call.timeout_s,
            call.prompt_tokens,
            operation_id=call.operation_id,
        )
        started_s = asyncio.get_running_loop().time()
        if call.length_class:
            await self._complete(call, record, started_s)
        else:
            await self._call_service(call, record)
        record.total_s = round(asyncio.get_running_loop().time() - started_s, 6)
        return record

    def build_prompt(self, call: PlannedCall) -> str:
        """Build a prompt of exactly `prompt_tokens` words that is unique to the call."""
        prefix_words = self.profile.shared_prefix_tokens if call.has_shared_prefix else 0
        prefix_words = min(prefix_words, call.prompt_tokens - 1)
        prefix = f"{call.account.name} " * prefix_words
        filler_words = call.prompt_tokens - prefix_words - 1
        return f"{prefix}call-{self.seed}-{call.number} {self.filler[: 2 * filler_words]}"

    async def _complete(self, call: PlannedCall, record: CallRecord, started_s: float) -> None:
        prompt = self.build_prompt(call)
        validator = StreamValidator(record, hash_prompt(prompt), call.max_tokens)
        loop = asyncio.get_running_loop()
        body = {"prompt": prompt, "max_tokens": call.max_tokens, "stream": True}
        chunks: list[bytes] = []

        def receive(chunk: bytes) -> None:
            chunks.append(chunk)
            if record.status == 200:
                validator.receive(chunk, loop.time() - started_s)

        def read_header(line: str) -> None:
            if line.startswith("HTTP/"):
                record.status = int(line.split()[1])

        request = self._make_request(call, "/v1/completions", "POST")
        request.body = json.dumps({**body, "user": call.caller}).encode()
        request.streaming_callback = receive
        request.header_callback = read_header
        response = await self._fetch(request)
        if response is None:
            # The status of a broken stream may be known, but its response is incomplete.
            record.result = "failed" if validator.has_error else "broken"
        elif record.status == 200:
            validator.finish()
        else:
            self._record_refusal(record, response, b"".join(chunks))

    async def _call_service(self, call: PlannedCall, record: CallRecord) -> None:
        service = call.service
        path = f"/v1/services/{service.service}/{service.path}"
        request = self._make_request(call, path, service.method)
        if service.method != "GET":
            request.body = json.dumps({"operation": call.operation_id}).encode()
        # Idempotent calls also have the key, as the application engine counts executions by it;
        # they may be retried.
        request.headers["Idempotency-Key"] = call.operation_id
        response = await self._fetch(request)
        if response is None:
            return
        record.status = response.code
        record.is_replay = response.headers.get("Idempotent-Replay") == "true"
        if response.code >= 400:
            self._record_refusal(record, response, response.body)
            return
        record.result = "completed"
        try:
            is_own = json.loads(response.body).get("operation_id") == call.operation_id
        except (ValueError, AttributeError):
            is_own = False
        if not is_own:
            record.fault = "foreign_text"

    def _make_request(self, call: PlannedCall, path: str, method: str) -> HTTPRequest:
        headers = {
            "X-Client-Account": call.account.name,
            "X-Timeout-S": str(call.timeout_s),
            "Content-Type": "application/json",
        }
        if call.account.key is not None:
            headers["Authorization"] = f"Bearer {call.account.key}"
        return HTTPRequest(
            self.url + path,
            method,
            headers,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=call.timeout_s + DEADLINE_MARGIN_S,
            follow_redirects=False,
        )

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | None:
        try:
            return await self.client.fetch(request, raise_error=False)
        except (HTTPError, OSError):
            return None

    def _record_refusal(self, record: CallRecord, response: HTTPResponse, body: bytes) -> None:
        record.has_retry_after = "Retry-After" in response.headers
        record.result = "refused"
        try:
            record.set_problem(json.loads(body))
        except (ValueError, AttributeError):
            record.error_kind = f"status_{response.code}"
            record.outcome = "unknown"
