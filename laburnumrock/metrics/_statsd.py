"""Counters and timers that are sent to a statsd server."""

import contextlib
from collections.abc import Iterator

import statsd

from laburnumrock.settings import InstanceSettings

MILLISECONDS_PER_SECOND = 1_000


class Counters:
    """Sends counters and timers when a statsd server is configured.

    Parameters
    ----------
    client : statsd.StatsClient, optional
        Client of the statsd server; without one, nothing is sent.
    """

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self.client = client

    def count(self, name: str) -> None:
        """Increment a counter."""
        if self.client is not None:
            self.client.incr(name)

    def time(self, name: str, value_s: float) -> None:
        """Send a duration given in seconds."""
        if self.client is not None:
            self.client.timing(name, value_s * MILLISECONDS_PER_SECOND)


@contextlib.contextmanager
def open_counters(settings: InstanceSettings) -> Iterator[Counters]:
    """Open a client of the configured statsd server.

    Parameters
    ----------
    settings : InstanceSettings
        Settings with the address of the server, if there is one.

    Yields
    ------
    Counters
        Counters, which send nothing if no server is configured.
    """
    server = settings.statsd
    if server is None:
        yield Counters(None)
        return
    client = statsd.StatsClient(server.host, server.port, prefix=server.prefix)
    try:
        yield Counters(client)
    finally:
        client.close()
