"""Phases of a request in which a party may fall silent, as places in the response to it."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class FramedResponse:
    """Bytes of a response.

    Parameters
    ----------
    head : bytes
        Status line and headers.
    pieces : tuple of bytes
        Body in pieces, with their framing; for a stream, its events.
    end : bytes
        Framing after the last piece.
    closes : bool
        Whether the close of the connection ends the body.
    """

    head: bytes
    pieces: tuple[bytes, ...]
    end: bytes = b""
    closes: bool = False

    @property
    def data(self) -> bytes:
        """All bytes."""
        return self.head + b"".join(self.pieces) + self.end


FrameFunction = Callable[[list[str], list[bytes]], FramedResponse]
CutFunction = Callable[[FramedResponse], tuple[int, ...]]


@dataclass(frozen=True, slots=True)
class Phase:
    """Phase of a request.

    Parameters
    ----------
    name : str
        Name in `PHASES`.
    find_cuts : callable
        Returns the numbers of bytes of a response after which there is a silence; none if the
        response has no such place.
    reads_bytes : int, optional
        Number of bytes of the request that its upstream reads before the first silence; None if
        that is the whole request.
    body_bytes : int
        Size of the body of the request.
    ends_at_limit : bool
        Whether the last silence ends at the time limit of the caller.
    """

    name: str
    find_cuts: CutFunction
    reads_bytes: int | None = None
    body_bytes: int = 2
    ends_at_limit: bool = False

    def occurs_in(self, response: FramedResponse) -> bool:
        """Return whether a response has the places of the silences."""
        return self.reads_bytes is not None or bool(self.find_cuts(response))


FRAMINGS: dict[str, FrameFunction] = {}
PHASES: dict[str, Phase] = {}


def register_framing(name: str) -> Callable[[FrameFunction], FrameFunction]:
    """Register a function that frames the pieces of a body."""

    def register(frame: FrameFunction) -> FrameFunction:
        FRAMINGS[name] = frame
        return frame

    return register


def register_phase(name: str, **values: object) -> Callable[[CutFunction], CutFunction]:
    """Register a function that finds the silences of a phase in a response."""

    def register(find_cuts: CutFunction) -> CutFunction:
        PHASES[name] = Phase(name, find_cuts, **values)
        return find_cuts

    return register


def split_response(phase: Phase, response: FramedResponse) -> Iterator[bytes]:
    """Yield the parts of a response between its silences."""
    data = response.data
    cuts = phase.find_cuts(response)
    for start, stop in zip((0, *cuts), (*cuts, len(data)), strict=True):
        yield data[start:stop]


def read_wait_s(pid: int) -> float:
    """Return the time for which a process was ready to run and had no processor."""
    text = Path(f"/proc/{pid}/schedstat").read_text(encoding="ascii")
    return int(text.split()[1]) / 1e9


@register_framing("length")
def _frame_with_length(lines: list[str], pieces: list[bytes]) -> FramedResponse:
    length = sum(map(len, pieces))
    return FramedResponse(_encode_head([*lines, f"Content-Length: {length}"]), tuple(pieces))


@register_framing("chunks")
def _frame_with_chunks(lines: list[str], pieces: list[bytes]) -> FramedResponse:
    chunks = (f"{len(piece):x}\r\n".encode() + piece + b"\r\n" for piece in pieces)
    head = _encode_head([*lines, "Transfer-Encoding: chunked"])
    return FramedResponse(head, tuple(chunks), b"0\r\n\r\n")


@register_framing("close")
def _frame_with_close(lines: list[str], pieces: list[bytes]) -> FramedResponse:
    return FramedResponse(_encode_head(lines), tuple(pieces), closes=True)


def _encode_head(lines: list[str]) -> bytes:
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@register_phase("connected, nothing read", reads_bytes=0)
@register_phase("connected, nothing of a long body read", reads_bytes=0, body_bytes=1_000_000)
@register_phase("a part of the head read", reads_bytes=40)
@register_phase("half of a long body read", reads_bytes=500_000, body_bytes=1_000_000)
def _before_end_of_request(response: FramedResponse) -> tuple[int, ...]:
    return ()


@register_phase("before the head")
@register_phase("before the head, to the limit", ends_at_limit=True)
def _before_head(response: FramedResponse) -> tuple[int, ...]:
    return (0,)


@register_phase("in the status line")
def _in_status_line(response: FramedResponse) -> tuple[int, ...]:
    return (9,)


@register_phase("in the head")
def _in_head(response: FramedResponse) -> tuple[int, ...]:
    return (len(response.head) // 2,)


@register_phase("before the last byte of the head")
def _before_end_of_head(response: FramedResponse) -> tuple[int, ...]:
    return (len(response.head) - 1,)


@register_phase("after the head")
@register_phase("after the head, to the limit", ends_at_limit=True)
def _after_head(response: FramedResponse) -> tuple[int, ...]:
    return (len(response.head),)


@register_phase("in the framing of a piece")
def _in_framing(response: FramedResponse) -> tuple[int, ...]:
    return (len(response.head) + 1,)


@register_phase("in the first piece")
def _in_first_piece(response: FramedResponse) -> tuple[int, ...]:
    return (len(response.head) + len(response.pieces[0]) // 2,)


@register_phase("between pieces")
@register_phase("between pieces, to the limit", ends_at_limit=True)
def _between_pieces(response: FramedResponse) -> tuple[int, ...]:
    return (len(response.head) + len(response.pieces[0]),)


@register_phase("within a piece")
@register_phase("within a piece, to the limit", ends_at_limit=True)
def _within_piece(response: FramedResponse) -> tuple[int, ...]:
    first, second, *_ = response.pieces
    return (len(response.head) + len(first) + len(second) // 2,)


@register_phase("before the last byte of the body")
def _before_last_byte(response: FramedResponse) -> tuple[int, ...]:
    return (len(response.head) + sum(map(len, response.pieces)) - 1,)


@register_phase("before the end")
@register_phase("before the end, to the limit", ends_at_limit=True)
def _before_end(response: FramedResponse) -> tuple[int, ...]:
    if not response.end and not response.closes:
        return ()
    return (len(response.data) - len(response.end),)


@register_phase("in the end")
def _in_end(response: FramedResponse) -> tuple[int, ...]:
    return (len(response.data) - 3,) if response.end else ()


@register_phase("two silences, before and after the head")
def _around_head(response: FramedResponse) -> tuple[int, ...]:
    return (0, len(response.head))


@register_phase("two silences, before the head and within a piece")
def _before_head_and_within_piece(response: FramedResponse) -> tuple[int, ...]:
    return (0, *_within_piece(response))


@register_phase("two silences, between pieces")
def _between_pieces_twice(response: FramedResponse) -> tuple[int, ...]:
    first, second, *_ = response.pieces
    start = len(response.head) + len(first)
    return (start, start + len(second))


@register_phase("two silences, within a piece and before the end")
def _within_piece_and_before_end(response: FramedResponse) -> tuple[int, ...]:
    return (*_within_piece(response), len(response.data) - max(1, len(response.end)))
