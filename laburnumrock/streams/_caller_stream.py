"""Streams of connections to callers, which may close their sending side and read on."""

import asyncio
import re
from collections.abc import Callable

from eliot import log_message
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Any client of HTTP/1.1 must accept interim responses (RFC 9110, section 15.2), but some skip only
this one: ``http.client`` of Python takes 102 for the final response."""
CHECK_INTERVAL_S = 0.02
"""Interval at which a half-closed connection is checked for a reset; a few round trips."""
PROBE_INTERVAL_S = 0.2
"""Interval of the probes of a half-closed connection. Upstreams must not work for more than 0.5 s
for a caller that has left."""
UNCONFIRMED_S = 0.3
"""Time after which a caller counts as having left if nothing could be written to it, as a response
has begun and its next part has not come."""
CONFIRMED_S = 0.1
"""Time without a reset after which a half-closed connection counts as one whose caller waits; many
round trips, and less than the retransmission of a lost probe takes."""
MAX_LEADING_ZEROS = 8
"""Leading zeros of the size of a chunk that probes write. Clients accept at least 16 digits."""
_INTERIM_START = b"HTTP/1.1 1"
# Servers skip empty lines before a request (RFC 9112, section 2.2), as tornado does.
_START_LINE_VERSION = re.compile(rb"[\r\n]*[^\r\n]* HTTP/1\.1\r?\n")


class CallerStream(IOStream):
    """Stream that stays open for writing when its peer has closed its sending side.

    Notes
    -----
    The end of the input is the same for a caller that has closed its connection and for one that
    has closed its sending side only and waits for the response. They differ once something is
    written: the host of the former answers with a reset. So the end of the input, while no read is
    in progress, starts probes, and a reset closes the stream. Before the response has begun, a
    probe is an interim response; later, each part of the response is one, and so are bytes that
    still wait to be written. Where a response has a part without meaning, such as a comment in a
    stream of events, `write_probe` writes one while the response stands still.

    The stream closes at the end of the input, as `IOStream` does, if a read is in progress or if
    the request is none of HTTP/1.1, since clients of HTTP/1.0 do not know interim responses.
    """

    input_ended_s: float | None = None
    """Time of the event loop at which the end of the input was read."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.accepts_interim = False
        # Whether a part of the response to the current request was written.
        self.response_begun = False
        self.last_write_s = 0.0
        self.write_probe: Callable[[], None] | None = None
        self.leading_zeros = 0

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> "asyncio.Future[bytes]":
        """Read the head of a request, and note whether its version has interim responses."""
        self.response_begun = False
        self.write_probe = None
        head = super().read_until_regex(regex, max_bytes)
        head.add_done_callback(self._note_version)
        return head

    def _note_version(self, head: "asyncio.Future[bytes]") -> None:
        if not head.cancelled() and head.exception() is None:
            self.accepts_interim = _START_LINE_VERSION.match(head.result()) is not None

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Write a part of a response, or an interim response to a request with ``Expect``."""
        if not self.response_begun:
            # An empty write only waits for earlier bytes.
            self.response_begun = len(data) > 0 and data[:10] != _INTERIM_START
        self.last_write_s = self.io_loop.time()
        self.leading_zeros = 0
        return super().write(data)

    def write_leading_zero(self) -> None:
        """Write a digit of the size of the next chunk, as a probe that changes no body."""
        if self.leading_zeros < MAX_LEADING_ZEROS:
            self.leading_zeros += 1
            self.last_write_s = self.io_loop.time()
            super().write(b"0")

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket; the end of the input closes the stream only if a read needs it."""
        count = super().read_from_fd(buf)
        if count != 0:
            return count
        if self.reading() and self._find_read_pos() is not None:
            # Enough was read before; the end of the input is read again after this read.
            return None
        if self.reading() or not self.accepts_interim:
            return 0
        if self.input_ended_s is None:
            self.input_ended_s = self.io_loop.time()
            log_message("caller_input_ended", response_begun=self.response_begun)
            self._check_peer()
        return None

    async def is_peer_waiting(self) -> bool:
        """Return whether the peer waits for the response, after a probe if its input has ended."""
        while not self.closed() and self.input_ended_s is not None:
            ended_s = self.io_loop.time() - self.input_ended_s
            if ended_s >= CONFIRMED_S:
                return not self._is_reset()
            await asyncio.sleep(CONFIRMED_S - ended_s)
        return not self.closed()

    def _handle_events(self, fd: int, events: int) -> None:
        super()._handle_events(fd, events)
        # The end of the input stays readable, so that listening for it would occupy the loop.
        state = self._state
        if not self.closed() and self._is_input_done and state is not None and state & IOLoop.READ:
            self._state = state & ~IOLoop.READ
            self.io_loop.update_handler(self.fileno(), self._state)
        self._listen_beside_buffer()

    def _maybe_add_error_listener(self) -> None:
        super()._maybe_add_error_listener()
        self._listen_beside_buffer()

    def _listen_beside_buffer(self) -> None:
        """Listen for the end of the input though bytes of a next request were read.

        Notes
        -----
        Tornado listens only while its buffer is empty, so that the close of a caller would not be
        noticed. Above the size of one read, the buffer grows no further, and the close is found by
        the write of the response.
        """
        is_waiting = not self.reading() and self._close_callback is not None
        if is_waiting and self.accepts_interim and self._read_buffer_size < self.read_chunk_size:
            self._add_io_state(IOLoop.READ)

    def _add_io_state(self, state: int) -> None:
        if self._is_input_done:
            state &= ~IOLoop.READ
        if state:
            super()._add_io_state(state)

    @property
    def _is_input_done(self) -> bool:
        return self.input_ended_s is not None and not self.reading()

    def _check_peer(self, probed_s: float | None = None) -> None:
        """Close the stream if its peer has reset the connection, and probe the peer.

        Parameters
        ----------
        probed_s : float, optional
            Time of the event loop at which the last probe was written.
        """
        if self.closed():
            return
        if self._is_reset():
            self.close()
            return
        now_s = self.io_loop.time()
        if self.writing():
            self.last_write_s = now_s
        elif self.write_probe is not None and now_s - self.last_write_s >= PROBE_INTERVAL_S:
            self.write_probe()
        if self.closed():
            # The probe has found a reset that arrived meanwhile.
            return
        if self._is_unconfirmed(now_s):
            self.close()
            return
        if not self.response_begun and (probed_s is None or now_s - probed_s >= PROBE_INTERVAL_S):
            probed_s = now_s
            super().write(INTERIM_RESPONSE)
        self.io_loop.call_later(CHECK_INTERVAL_S, self._check_peer, probed_s)

    def _is_reset(self) -> bool:
        """Whether the host of the peer has answered written bytes with a reset."""
        try:
            self.socket.getpeername()
        except OSError:
            return True
        error = self.get_fd_error()
        if error is not None and error.errno:
            self.error = error
            return True
        return False

    def _is_unconfirmed(self, now_s: float) -> bool:
        """Whether nothing could be written for long since the end of the input."""
        probed = not self.response_begun or self.last_write_s > self.input_ended_s
        return not probed and now_s - self.input_ended_s > UNCONFIRMED_S


def wrap_caller(stream: IOStream) -> CallerStream:
    """Return a stream for a connection that was just accepted, in place of the given one."""
    return CallerStream(
        stream.socket,
        max_buffer_size=stream.max_buffer_size,
        read_chunk_size=stream.read_chunk_size,
    )
