"""Periodic announcement of an emulated upstream to the entry instances."""

import asyncio
import json
from collections.abc import Callable

from tornado.httpclient import AsyncHTTPClient, HTTPError

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_S = 0.4
ANNOUNCEMENT_PATH = "/upstreams/announcements"


class Announcer:
    """Posts an announcement every 0.5 s to one entry instance, and to the next one if that fails.

    Parameters
    ----------
    addresses : list of str
        Addresses ``host:port`` of entry instances.
    build : callable
        Returns the current announcement as a JSON-serializable dict.
    start_index : int
        Index of the first address to use. Different values spread upstreams over the instances.
    """

    def __init__(
        self,
        addresses: list[str],
        build: Callable[[], dict[str, object]],
        start_index: int = 0,
    ) -> None:
        self.addresses = addresses
        self.build = build
        self.index = start_index
        self.is_enabled = True
        self.sent = 0
        self.failed = 0
        self.client = AsyncHTTPClient(force_instance=True)
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start the periodic announcements."""
        if self.addresses:
            self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the periodic announcements and close the HTTP client."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        self.client.close()

    async def announce(self) -> bool:
        """Send one announcement; returns whether an entry instance accepted it."""
        if not self.is_enabled or not self.addresses:
            return False
        body = json.dumps(self.build())
        # Other instances are tried at once: one failed instance must not let the upstream expire.
        for _ in range(min(3, len(self.addresses))):
            address = self.addresses[self.index % len(self.addresses)]
            try:
                await self.client.fetch(
                    f"http://{address}{ANNOUNCEMENT_PATH}",
                    method="POST",
                    body=body,
                    headers={"Content-Type": "application/json"},
                    connect_timeout=ANNOUNCE_TIMEOUT_S,
                    request_timeout=ANNOUNCE_TIMEOUT_S,
                )
            except (HTTPError, OSError):
                self.failed += 1
                self.index += 1
                continue
            self.sent += 1
            return True
        return False

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            await self.announce()
            await asyncio.sleep(max(0.0, started_s + ANNOUNCE_INTERVAL_S - loop.time()))
