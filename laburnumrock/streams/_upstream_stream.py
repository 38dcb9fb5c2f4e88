"""Streams of connections to upstreams, and the bytes that wait on a stream."""

import socket

from tornado.iostream import IOStream

MAX_FRAMING_RATIO, MAX_FRAMING_BYTES = 3, 16 * 1024
"""Maximum size of the framing of a body, as a multiple of the body and in addition. A body in
chunks of one byte is five times as much framing, and parsing it takes all CPU time of a process."""


def has_buffered_data(stream: IOStream) -> bool:
    """Return whether bytes were read from the socket and not processed, as part of a message."""
    return stream._read_buffer_size > 0


def has_unread_data(stream: IOStream) -> bool:
    """Return whether unread bytes, an end of stream or an error is pending."""
    # Tornado may already have read bytes into its own buffer while waiting for the close of the
    # connection.
    if has_buffered_data(stream):
        return True
    try:
        stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


class UpstreamStream(IOStream):
    """Stream that counts received bytes and can tell whether its connection may be reused."""

    received_bytes = 0

    def has_excessive_framing(self, head_end: int, body_bytes: int) -> bool:
        """Return whether a body came in so many chunks that parsing them takes all CPU time.

        Parameters
        ----------
        head_end : int
            Value of `parsed_bytes` at the end of the headers.
        body_bytes : int
            Size of the body so far.
        """
        framing_bytes = self.parsed_bytes - head_end - body_bytes
        return framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * body_bytes

    @property
    def parsed_bytes(self) -> int:
        """Number of received bytes that are not in the read buffer any more."""
        return self.received_bytes - self._read_buffer_size

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket and count the bytes."""
        count = super().read_from_fd(buf)
        self.received_bytes += count or 0
        return count

    def is_reusable(self) -> bool:
        """Return whether the connection is open and no unread data is pending.

        Notes
        -----
        Otherwise the upstream has closed the connection or sent bytes that belong to no request.
        """
        return not self.closed() and not has_unread_data(self)
