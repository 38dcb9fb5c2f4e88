"""Pool of persistent connections to upstreams."""

import asyncio
import contextlib
import math
import socket
import time
from dataclasses import dataclass
from enum import StrEnum

from result import Err, Ok, Result
from tornado.iostream import StreamClosedError

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.streams import UpstreamStream

KEEP_ALIVE_IDLE_S = 1
"""Idle time in seconds before the kernel sends TCP keep-alive probes; a dead network path is then
detected within 3 s."""
KEEP_ALIVE_PROBES = 2
"""Unanswered keep-alive probes, one a second, after which a connection is considered broken."""
USER_TIMEOUT_MS = 2_500
"""Longest time for which sent bytes may remain unacknowledged; longer than the stalls that packet
loss causes on a link."""

MAX_BUFFER_BYTES = 512 * 1024
"""Maximum number of unprocessed bytes of a connection. A body without a length is buffered until
the upstream closes the connection, so this is also its maximum size."""


class PortState(StrEnum):
    """What an attempt to open a connection tells of an upstream."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ConnectionPoolSettings:
    """Limits of the connection pool.

    Parameters
    ----------
    connect_timeout_s : float, > 0
        Time limit for opening a connection; a round trip takes a few ms.
    idle_s : float, > 0
        Idle time after which a connection is closed, unless the Keep-Alive header of the upstream
        states a shorter one.
    idle_margin_s : float, > 0
        Margin by which a connection is closed before the upstream would close it.
    max_idle : int, > 0
        Maximum number of idle connections to one upstream.
    """

    connect_timeout_s: float = 0.35
    idle_s: float = 8.0
    idle_margin_s: float = 1.0
    max_idle: int = 8


@dataclass(slots=True)
class UpstreamConnection:
    """One persistent connection to an upstream.

    Parameters
    ----------
    host : str
        IP address of the upstream.
    port : int
        Port of the upstream.
    stream : UpstreamStream
        Stream of the connection.
    reused : bool
        Whether the connection has carried an earlier request.
    idle_since_s, expires_s : float
        Readings of the monotonic clock from which the connection has been idle, and from which it
        is no longer reused.
    """

    host: str
    port: int
    stream: UpstreamStream
    reused: bool = False
    idle_since_s: float = 0.0
    expires_s: float = 0.0

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()


class ConnectionPool:
    """Pool of idle connections, by upstream address.

    Parameters
    ----------
    settings : ConnectionPoolSettings
        Limits of the pool.
    """

    def __init__(self, settings: ConnectionPoolSettings) -> None:
        self.settings = settings
        self.idle: dict[tuple[str, int], list[UpstreamConnection]] = {}
        # Connections opened since the metric was last updated.
        self.opened = 0

    async def open(
        self, host: str, port: int, timeout_s: float, max_idle_s: float = math.inf
    ) -> Result[UpstreamConnection, Failure]:
        """Return an idle connection of the pool, or open a new one.

        Parameters
        ----------
        host : str
            IP address of the upstream.
        port : int
            Port of the upstream.
        timeout_s : float
            Time limit for opening a connection, unless that of the pool is shorter.
        max_idle_s : float
            Maximum time for which a connection of the pool may have been idle. A new one proves
            that the upstream can be reached.

        Returns
        -------
        Result
            The connection, or a failure of kind ``connection_failed``, which proves that no byte
            was sent.
        """
        reused = self._take_idle((host, port), max_idle_s)
        if reused is not None:
            return Ok(reused)
        try:
            return Ok(await self._connect(host, port, timeout_s))
        except (OSError, TimeoutError, OverflowError, ValueError) as error:
            # The socket raises the last two for an address that does not exist.
            detail = f"cannot connect to {host}:{port}: {error or 'timeout'}"
            return Err(Failure(ErrorKind.CONNECTION_FAILED, detail))

    async def probe(self, host: str, port: int, timeout_s: float) -> PortState:
        """Return whether an upstream accepts a new connection; one that has crashed refuses it.

        Notes
        -----
        A connection that is accepted joins the pool.
        """
        try:
            connection = await self._connect(host, port, timeout_s)
        except ConnectionRefusedError:
            return PortState.REFUSED
        except (OSError, TimeoutError):
            return PortState.UNKNOWN
        self.release(connection, None)
        return PortState.ACCEPTED

    async def _connect(self, host: str, port: int, timeout_s: float) -> UpstreamConnection:
        stream = UpstreamStream(
            socket.socket(socket.AF_INET, socket.SOCK_STREAM), max_buffer_size=MAX_BUFFER_BYTES
        )
        _set_options(stream.socket)
        try:
            async with asyncio.timeout(min(timeout_s, self.settings.connect_timeout_s)):
                await stream.connect((host, port))
        except StreamClosedError as error:
            raise error.real_error or ConnectionError("closed while connecting") from error
        except BaseException:
            stream.close()
            raise
        self.opened += 1
        return UpstreamConnection(host, port, stream)

    def release(self, connection: UpstreamConnection, keep_alive_s: float | None) -> None:
        """Return a connection to the pool after its response was read completely.

        Parameters
        ----------
        connection : UpstreamConnection
            Connection to reuse.
        keep_alive_s : float, optional
            Idle time after which the upstream closes the connection, as stated in its response.
        """
        idle_s = self.settings.idle_s
        if keep_alive_s is not None:
            idle_s = min(idle_s, keep_alive_s - self.settings.idle_margin_s)
        idle = self.idle.setdefault((connection.host, connection.port), [])
        if (
            idle_s <= 0
            or len(idle) >= self.settings.max_idle
            or not connection.stream.is_reusable()
        ):
            connection.close()
            return
        connection.reused = True
        connection.idle_since_s = time.monotonic()
        connection.expires_s = connection.idle_since_s + idle_s
        idle.append(connection)

    def close_idle(self) -> None:
        """Close connections whose idle time has expired or that the upstream has closed."""
        now_s = time.monotonic()
        for address, connections in list(self.idle.items()):
            reusable = []
            for connection in connections:
                if now_s < connection.expires_s and connection.stream.is_reusable():
                    reusable.append(connection)
                else:
                    connection.close()
            if reusable:
                self.idle[address] = reusable
            else:
                del self.idle[address]

    def close_address(self, host: str, port: int) -> None:
        """Close the idle connections to an upstream that is no longer in service."""
        for connection in self.idle.pop((host, port), []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()

    def _take_idle(self, address: tuple[str, int], max_idle_s: float) -> UpstreamConnection | None:
        connections = self.idle.get(address, [])
        now_s = time.monotonic()
        while connections and now_s - connections[-1].idle_since_s <= max_idle_s:
            # The most recently used connection is the least likely to have been closed by the
            # upstream.
            connection = connections.pop()
            if now_s < connection.expires_s and connection.stream.is_reusable():
                return connection
            connection.close()
        return None


def _set_options(tcp_socket: socket.socket) -> None:
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    with contextlib.suppress(OSError):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
