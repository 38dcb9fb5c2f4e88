"""Counters and timers sent to statsd."""

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
        Client of the statsd server; nothing is sent without one.
    """

    def __init__(self, client: statsd.StatsClient | None) -> None:
        self.client = client

    def count(self, name: str) -> None:
        """Add one to a counter."""
        if self.client is not None:
            self.client.incr(name)

    def time(self, name: str, value_s: float) -> None:
        """Send a time span given in seconds."""
        if self.client is not None:
            self.client.timing(name, value_s * MILLISECONDS_PER_SECOND)


@contextlib.contextmanager
def open_counters(settings: InstanceSettings) -> Iterator[Counters]:
    """Open the connection to the statsd server of the settings.

    Parameters
    ----------
    settings : InstanceSettings
        Names the server, or none.

    Yields
    ------
    Counters
        Sender of counters and timers.
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
