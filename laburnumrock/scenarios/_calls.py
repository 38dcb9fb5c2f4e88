"""Client calls that a scenario sends in the background, and the declarations they need."""

import asyncio
import threading
import zlib
from concurrent.futures import Future
from contextlib import contextmanager

from laburnumrock.standins import (
    AccountProfile,
    CallRecord,
    ClassProfile,
    LoadClient,
    LoadProfile,
    PlannedCall,
    ServiceProfile,
)

ACCOUNT = AccountProfile(name="skylight")
PROFILE = LoadProfile(accounts=[ACCOUNT])
ORDER_PATH = "place"
LOOKUP_PATH = "stock"
PROMPT_TOKENS = {"short": 2_000, "medium": 20_000, "long": 150_000}
# A retry with the same idempotency key waits up to half of this time for the running operation.
SERVICE_TIMEOUT_S = 6.0
DEFAULT_TIMEOUT_S = 10.0
DEFAULT_OUTPUT_TOKENS = 24


class CallBatch:
    """Calls submitted by one ``submit`` statement.

    Parameters
    ----------
    kind : str
        Length class, ``orders`` or ``lookups``.
    keys : list of str
        Idempotency key of each call; empty for completions.
    futures : list of Future
        Future call records, in submission order.
    """

    def __init__(self, kind: str, keys: list[str], futures: list[Future]) -> None:
        self.kind = kind
        self.keys = keys
        self.futures = futures

    @property
    def is_done(self) -> bool:
        """Whether every call has completed or failed."""
        return all(future.done() for future in self.futures)

    @property
    def records(self) -> list[CallRecord]:
        """Records of the calls that have completed or failed."""
        return [future.result() for future in self.futures if future.done()]

    def describe(self) -> str:
        """Summarize the number of calls per outcome and the longest call duration."""
        counts: dict[str, int] = {}
        for record in self.records:
            text = record.fault or record.error_kind or record.result
            text += f" ({record.outcome})" if record.outcome else ""
            text += " replayed" if record.is_replay else ""
            counts[text] = counts.get(text, 0) + 1
        parts = [f"{count} {text}" for text, count in sorted(counts.items())]
        running = len(self.futures) - len(self.records)
        parts += [f"{running} running"] if running else []
        slowest_s = max((record.total_s for record in self.records), default=0.0)
        return f"{', '.join(parts)}; slowest {slowest_s:.2f} s"


class CallSender:
    """Sends planned calls on a separate event loop.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop that runs in another thread.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clients: dict[str, LoadClient] = {}
        self.sent = 0

    def submit(
        self, name: str, kind: str, count: int, urls: list[str], options: dict[str, object]
    ) -> CallBatch:
        """Send `count` calls evenly over ``over`` seconds, assigned round-robin to the URLs."""
        interval_s = float(options.get("over", 0.0)) / count
        is_service = kind in ("orders", "lookups")
        keys = [f"{options.get('keys', name)}-{index}" for index in range(count)]
        futures = []
        for index in range(count):
            key = keys[index] if is_service else None
            call = self._plan(kind, key, options)
            url = urls[index % len(urls)]
            send = self._send(url, call, index * interval_s)
            futures.append(asyncio.run_coroutine_threadsafe(send, self.loop))
        return CallBatch(kind, keys if is_service else [], futures)

    def _plan(self, kind: str, key: str | None, options: dict[str, object]) -> PlannedCall:
        self.sent += 1
        timeout_s = float(options.get("timeout", DEFAULT_TIMEOUT_S))
        if key is not None:
            path = ORDER_PATH if kind == "orders" else LOOKUP_PATH
            method = "POST" if kind == "orders" else "GET"
            service = ServiceProfile(
                service="orders", path=path, method=method, timeout_s=timeout_s, weight=1
            )
            # Derived from the key, so that a retry with the same key sends an identical call.
            number = zlib.crc32(key.encode())
            return PlannedCall(number, 0.0, ACCOUNT, "clerk", service=service, operation_id=key)
        tokens = int(options.get("tokens", PROMPT_TOKENS[kind]))
        length = ClassProfile(
            name=kind, min_tokens=tokens, max_tokens=tokens, timeout_s=timeout_s, weight=1
        )
        output = int(options.get("output", DEFAULT_OUTPUT_TOKENS))
        return PlannedCall(self.sent, 0.0, ACCOUNT, "clerk", length, tokens, max_tokens=output)

    async def _send(self, url: str, call: PlannedCall, delay_s: float) -> CallRecord:
        client = self.clients.get(url)
        if client is None:
            client = self.clients[url] = LoadClient(url, PROFILE, 0)
        await asyncio.sleep(delay_s)
        return await client.run(call, delay_s)


def make_template(priority: int = 0) -> dict[str, object]:
    """Return a change that declares the template of the client account used by scenarios."""
    template = {
        "type": "template",
        "client_account": ACCOUNT.name,
        "model": "quote",
        "priority": priority,
        "limits": {"requests_per_s": 500.0, "tokens_per_s": 5e7, "concurrency": 500},
        "deadlines": {"short_s": 20.0, "medium_s": 30.0, "long_s": 60.0},
        "max_output_tokens": 2_000,
    }
    return {"action": "put", "declaration": template}


def make_service() -> dict[str, object]:
    """Return a change that declares the service of the application engines."""
    paths = [{"path": "place", "repeatable": False}, {"path": "stock", "repeatable": True}]
    service = {"type": "service", "name": "orders", "paths": paths, "timeout_s": SERVICE_TIMEOUT_S}
    return {"action": "put", "declaration": service}


@contextmanager
def run_sender():
    """Run a `CallSender` for the duration of the block; pending calls are cancelled at its end."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    try:
        yield CallSender(loop)
    finally:
        asyncio.run_coroutine_threadsafe(_cancel_all(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


async def _cancel_all() -> None:
    current = asyncio.current_task()
    tasks = [task for task in asyncio.all_tasks() if task is not current]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
