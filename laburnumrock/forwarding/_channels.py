"""Kept connections to upstreams."""

import asyncio
import contextlib
import socket
import time
from dataclasses import dataclass

from result import Err, Ok, Result
from tornado.iostream import IOStream, StreamClosedError

from laburnumrock.errors import ErrorKind, Failure

KEEP_ALIVE_IDLE_S = 1
"""Seconds of silence before the kernel probes a connection; a dead path is then known in 3 s."""
KEEP_ALIVE_PROBES = 2
"""Unanswered probes, one a second, after which the connection counts as broken."""
USER_TIMEOUT_MS = 2_500
"""Longest time for which sent bytes may stay unacknowledged; above the stall of lossy links."""


@dataclass(frozen=True, slots=True)
class ConnectionPoolSettings:
    """Limits of the kept connections.

    Parameters
    ----------
    connect_timeout_s : float, > 0
        Longest wait for a new connection; a round trip takes a few ms.
    idle_s : float, > 0
        An idle connection is closed after this time, if the upstream states no shorter one.
    idle_margin_s : float, > 0
        Connections are given up this long before the upstream closes them.
    max_idle : int, > 0
        Idle connections kept for one upstream.
    """

    connect_timeout_s: float = 0.35
    idle_s: float = 8.0
    idle_margin_s: float = 1.0
    max_idle: int = 8


def has_unread(stream: IOStream) -> bool:
    """Whether bytes, an end or an error of the other side wait to be taken up."""
    # Tornado reads ahead while it waits for the close of a connection.
    if stream._read_buffer_size:
        return True
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


class ChannelStream(IOStream):
    """Stream that can tell whether an idle connection is still good."""

    def is_quiet(self) -> bool:
        """Whether the connection is open and nothing has arrived on it.

        Notes
        -----
        Otherwise the upstream closed the connection, or sent bytes that belong to no request.
        """
        return not self.closed() and not has_unread(self)


@dataclass(slots=True)
class Channel:
    """One connection to an upstream.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port of the upstream.
    stream : ChannelStream
        The connection.
    kept : bool
        Whether it has carried a request before.
    expires_s : float
        When an idle connection is no longer used.
    """

    host: str
    port: int
    stream: ChannelStream
    kept: bool = False
    expires_s: float = 0.0

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()


class ConnectionPool:
    """Idle connections by address.

    Parameters
    ----------
    settings : ConnectionPoolSettings
        Limits.
    """

    def __init__(self, settings: ConnectionPoolSettings) -> None:
        self.settings = settings
        self.idle: dict[tuple[str, int], list[Channel]] = {}
        # Connections opened since the counter was last read.
        self.opened = 0

    async def open(self, host: str, port: int, timeout_s: float) -> Result[Channel, Failure]:
        """Return a kept connection, or a new one.

        Returns
        -------
        Result
            A failure of kind ``connection_failed`` proves that nothing was sent.
        """
        kept = self._take_kept((host, port))
        if kept is not None:
            return Ok(kept)
        stream = ChannelStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        _set_options(stream.socket)
        limit_s = min(timeout_s, self.settings.connect_timeout_s)
        try:
            async with asyncio.timeout(limit_s):
                await stream.connect((host, port))
        except (OSError, TimeoutError, StreamClosedError) as error:
            stream.close()
            detail = f"cannot connect to {host}:{port}: {error or 'timeout'}"
            return Err(Failure(ErrorKind.CONNECTION_FAILED, detail))
        except BaseException:
            stream.close()
            raise
        self.opened += 1
        return Ok(Channel(host, port, stream))

    def keep(self, channel: Channel, stated_idle_s: float | None) -> None:
        """Keep a connection whose answer was read whole.

        Parameters
        ----------
        channel : Channel
            The connection.
        stated_idle_s : float, optional
            Idle time after which the upstream closes it, as it stated.
        """
        idle_s = self.settings.idle_s
        if stated_idle_s is not None:
            idle_s = min(idle_s, stated_idle_s - self.settings.idle_margin_s)
        idle = self.idle.setdefault((channel.host, channel.port), [])
        if idle_s <= 0 or len(idle) >= self.settings.max_idle or not channel.stream.is_quiet():
            channel.close()
            return
        channel.kept = True
        channel.expires_s = time.monotonic() + idle_s
        idle.append(channel)

    def close_idle(self) -> None:
        """Close connections that were idle for too long."""
        now_s = time.monotonic()
        for address, channels in list(self.idle.items()):
            good = []
            for channel in channels:
                if now_s < channel.expires_s and channel.stream.is_quiet():
                    good.append(channel)
                else:
                    channel.close()
            if good:
                self.idle[address] = good
            else:
                del self.idle[address]

    def close_address(self, host: str, port: int) -> None:
        """Close the idle connections to an upstream that left."""
        for channel in self.idle.pop((host, port), []):
            channel.close()

    def close(self) -> None:
        """Close all idle connections."""
        for channels in self.idle.values():
            for channel in channels:
                channel.close()
        self.idle.clear()

    def _take_kept(self, address: tuple[str, int]) -> Channel | None:
        channels = self.idle.get(address, [])
        now_s = time.monotonic()
        while channels:
            # The connection that was used last is the least likely to have been closed.
            channel = channels.pop()
            if now_s < channel.expires_s and channel.stream.is_quiet():
                return channel
            channel.close()
        return None


def _set_options(connection: socket.socket) -> None:
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
