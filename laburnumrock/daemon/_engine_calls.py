"""HTTP calls from a pool owner to its engines."""

import asyncio
import json
from collections.abc import Awaitable

from eliot import log_message
from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure

MAX_CALLS = 64


class EngineCalls:
    """Cancels requests on engines and reads which requests hold KV memory.

    Parameters
    ----------
    timeout_s : float, > 0
        Timeout of a call in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        self.timeout_s = timeout_s
        # A dedicated client: on the shared one, a cancel would queue behind long-running streams.
        self.client: AsyncHTTPClient | None = None
        self.running: dict[tuple[str, ...], asyncio.Task] = {}

    def start(self, key: tuple[str, ...], call: Awaitable[None]) -> None:
        """Start a call unless one with the same key is already running."""
        if key in self.running:
            call.close()
            return
        task = asyncio.create_task(call)
        self.running[key] = task
        task.add_done_callback(lambda done: self.running.pop(key, None))

    async def stop(self) -> None:
        """Cancel all running calls."""
        tasks = list(self.running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self.client is not None:
            self.client.close()
            self.client = None

    async def cancel(self, base_url: str, request_id: str) -> bool:
        """Cancel a request and return whether the engine confirmed the cancellation."""
        body = json.dumps({"request_id": request_id})
        answer = await self._fetch(f"{base_url}/v1/cancel", "POST", body)
        return answer.is_ok()

    async def read_held_tokens(self, base_url: str) -> Result[dict[str, int], Failure]:
        """Read the requests that hold KV memory on an engine.

        Returns
        -------
        Result
            KV tokens by request id; 0 for a request that is queued in the engine.
        """
        answer = await self._fetch(f"{base_url}/v1/load", "GET", None)
        if answer.is_err():
            return answer
        try:
            load = parse_json(answer.unwrap())
            held = {str(name): 0 for name in load.get("waiting_requests", [])}
            held.update(
                {str(holding["request_id"]): int(holding["tokens"]) for holding in load["holdings"]}
            )
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            return Err(Failure(ErrorKind.UPSTREAM_FAILED, f"{base_url}/v1/load: {error!r}"))
        return Ok(held)

    async def _fetch(self, url: str, method: str, body: str | None) -> Result[bytes, Failure]:
        request = HTTPRequest(
            url,
            method=method,
            body=body,
            headers={"Content-Type": "application/json"},
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s,
        )
        if self.client is None:
            self.client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CALLS)
        try:
            response = await self.client.fetch(request)
        except (HTTPClientError, OSError, ValueError) as error:
            log_message("engine_call_failed", url=url, reason=str(error))
            return Err(Failure(ErrorKind.UPSTREAM_FAILED, f"{url}: {error}"))
        return Ok(response.body)
