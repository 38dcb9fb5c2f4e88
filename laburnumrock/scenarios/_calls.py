"""Calls of a scenario, sent in the background, and what is declared for them."""

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
# A resend waits for a running operation for half of this time.
SERVICE_TIMEOUT_S = 6.0
DEFAULT_TIMEOUT_S = 10.0
DEFAULT_OUTPUT_TOKENS = 24


class Batch:
    """Calls that one statement submits.

    Parameters
    ----------
    kind : str
        Length class, ``orders`` or ``lookups``.
    keys : list of str
        Operation ids, one a call; empty for completions.
    futures : list of Future
        Outcomes in the order of sending.
    """

    def __init__(self, kind: str, keys: list[str], futures: list[Future]) -> None:
        self.kind = kind
        self.keys = keys
        self.futures = futures

    @property
    def is_done(self) -> bool:
        """Whether every call has ended."""
        return all(one.done() for one in self.futures)

    @property
    def records(self) -> list[CallRecord]:
        """Outcomes of the calls that have ended."""
        return [one.result() for one in self.futures if one.done()]

    def describe(self) -> str:
        """Count the outcomes, and name the slowest answer."""
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
    """Sends planned calls from an event loop of its own.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        A loop that runs in another thread.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clients: dict[str, LoadClient] = {}
        self.sent = 0

    def submit(
        self, name: str, kind: str, count: int, urls: list[str], options: dict[str, object]
    ) -> Batch:
        """Send `count` calls, spread evenly over ``over`` seconds and in turn over the URLs."""
        interval_s = float(options.get("over", 0.0)) / count
        is_service = kind in ("orders", "lookups")
        keys = [f"{options.get('keys', name)}-{index}" for index in range(count)]
        futures = []
        for index in range(count):
            key = keys[index] if is_service else None
            call = self._plan(kind, key, options)
            url = urls[index % len(urls)]
            work = self._send(url, call, index * interval_s)
            futures.append(asyncio.run_coroutine_threadsafe(work, self.loop))
        return Batch(kind, keys if is_service else [], futures)

    def _plan(self, kind: str, key: str | None, options: dict[str, object]) -> PlannedCall:
        self.sent += 1
        timeout_s = float(options.get("timeout", DEFAULT_TIMEOUT_S))
        if key is not None:
            path = ORDER_PATH if kind == "orders" else LOOKUP_PATH
            method = "POST" if kind == "orders" else "GET"
            service = ServiceProfile(
                service="orders", path=path, method=method, timeout_s=timeout_s, weight=1
            )
            # A number derived from the key, so that a resend is the same call.
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
    """Return a change of the template of the scenarios' client account."""
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
    """Return a change that declares the application engines' service."""
    paths = [{"path": "place", "repeatable": False}, {"path": "stock", "repeatable": True}]
    service = {"type": "service", "name": "orders", "paths": paths, "timeout_s": SERVICE_TIMEOUT_S}
    return {"action": "put", "declaration": service}


@contextmanager
def run_sender():
    """Run a `CallSender` until the end of the block; calls that still run are dropped."""
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
    own = asyncio.current_task()
    tasks = [task for task in asyncio.all_tasks() if task is not own]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
