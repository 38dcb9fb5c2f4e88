"""Links to the other instances: one WebSocket per direction and peer, opened on demand."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from eliot import log_message
from result import Err, Ok, Result
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages import MAX_FRAME_BYTES, Frame, decode_frame, encode_frame
from laburnumrock.transport._handshake import authenticate_peer
from laburnumrock.transport._traffic import TrafficCounts

if TYPE_CHECKING:
    from laburnumrock.settings import InstanceSettings, PeerSettings

QUEUE_FRAMES = 1_024
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 0.5
FLUSH_CHECK_S = 0.005
"""Interval at which the queues are checked while they are flushed."""
CLOSE_TIMEOUT_S = 0.3
"""Time limit for the closing handshake of an unresponsive link. The default of the library is 10 s,
during which no new link is opened."""

ACCEPTED_PING_RATIO = 10.0
"""Interval of pings on accepted links, in multiples of the interval on opened ones. The instance
that opened a link detects a broken path; on accepted links pings only remove dead connections. With
pings at the same rate, a leader with 195 entry nodes handled 780 of them per second."""

Handler = Callable[[str, object], Awaitable[object | None] | object | None]


@dataclass(slots=True)
class _Link:
    """Outgoing link to one peer."""

    peer: PeerSettings
    frames: deque[bytes] = field(default_factory=deque)
    has_frames: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task | None = None


@dataclass(slots=True)
class _PendingCall:
    """Call whose answer is pending."""

    peer: str
    answer: asyncio.Future


class PeerNetwork:
    """Sends messages to other instances and passes received messages to handlers.

    Messages to one peer arrive in the order in which they were sent, or not at all. Each instance
    sends only on the links that it opened itself, so an answer to a call is sent on the link that
    the called instance opened.

    Parameters
    ----------
    settings : InstanceSettings
        Addresses of this instance and its peers.
    key : bytes
        Shared key of the system's instances.
    resolve_peer : callable, optional
        Returns the address of an instance that is not in the settings, or None.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        key: bytes,
        resolve_peer: Callable[[str], PeerSettings | None] | None = None,
    ) -> None:
        self.settings = settings
        self.key = key
        self.resolve_peer = resolve_peer
        self.peers = {peer.instance_id: peer for peer in settings.peers}
        self.handlers: dict[type, Handler] = {}
        self.links: dict[str, _Link] = {}
        self.pending_calls: dict[int, _PendingCall] = {}
        self.next_call_number = 1
        self.server: Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.rng = random.Random(settings.seed)
        self.traffic = TrafficCounts()

    async def start(self) -> None:
        """Open the port and accept links from other instances."""
        listen = self.settings.listen
        self.server = await serve(
            self._receive_frames,
            listen.host,
            listen.peer_port,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=ACCEPTED_PING_RATIO * self.settings.timing.link_ping_s,
            ping_timeout=self.settings.timing.link_ping_s,
            close_timeout=CLOSE_TIMEOUT_S,
        )

    async def flush(self, timeout_s: float) -> None:
        """Wait until the queued messages are sent, or until the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while any(link.frames for link in self.links.values()):
                    await asyncio.sleep(FLUSH_CHECK_S)

    async def stop(self) -> None:
        """Close every link and the port."""
        link_tasks = [link.task for link in self.links.values() if link.task is not None]
        for task in [*link_tasks, *self.tasks]:
            task.cancel()
        await asyncio.gather(*link_tasks, *self.tasks, return_exceptions=True)
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()

    def handle(self, message_type: type, handler: Handler) -> None:
        """Register the handler of a message type.

        Parameters
        ----------
        message_type : type
            Registered message class.
        handler : callable
            Called with the name of the sender and the message; may be a coroutine function. Its
            return value is sent as the answer if the sender waits for one.
        """
        self.handlers[message_type] = handler

    def send(self, peer: str, message: object) -> None:
        """Queue a message for a peer; drop it if the peer is unknown or the queue is full."""
        self._enqueue(peer, Frame(message))

    def broadcast(self, peers: Iterable[str], message: object) -> None:
        """Send a message to several peers, encoding it only once."""
        frame = Frame(message)
        data = encode_frame(frame)
        for peer in peers:
            self._enqueue(peer, frame, data)

    async def call(self, peer: str, message: object, timeout_s: float) -> Result[object, Failure]:
        """Send a message and wait for the answer.

        Parameters
        ----------
        peer : str
            Instance to ask; this instance itself is allowed.
        message : object
            Message to answer.
        timeout_s : float, > 0
            Longest wait in seconds.

        Returns
        -------
        Result
            The answer, or a failure of kind ``peer_unreachable``. The failure does not prove that
            the peer did not act on the message.
        """
        if peer == self.settings.instance_id:
            return await self._call_local(message, timeout_s)
        number = self.next_call_number
        self.next_call_number += 1
        answer: asyncio.Future = asyncio.get_running_loop().create_future()
        self.pending_calls[number] = _PendingCall(peer, answer)
        try:
            if not self._enqueue(peer, Frame(message, call_number=number)):
                return _unreachable(peer)
            async with asyncio.timeout(timeout_s):
                return Ok(await answer)
        except TimeoutError:
            # The answer may have arrived in the turn of the event loop in which the time ended.
            has_answer = answer.done() and not answer.cancelled() and answer.exception() is None
            return Ok(answer.result()) if has_answer else _unreachable(peer)
        except ConnectionError:
            return _unreachable(peer)
        finally:
            del self.pending_calls[number]

    async def _call_local(self, message: object, timeout_s: float) -> Result[object, Failure]:
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._run_handler(self.settings.instance_id, message)
        except TimeoutError:
            return _unreachable(self.settings.instance_id)
        except Exception as error:
            # As for a handler of a peer: the caller gets a failure, and the log the error.
            _log_handler_error(self.settings.instance_id, Frame(message), error)
            return _unreachable(self.settings.instance_id)
        return _unreachable(self.settings.instance_id) if answer is None else Ok(answer)

    def _enqueue(self, peer: str, frame: Frame, data: bytes | None = None) -> bool:
        if peer == self.settings.instance_id:
            self._dispatch(peer, frame)
            return True
        link = self.links.get(peer)
        if link is None:
            address = self.peers.get(peer)
            if address is None and self.resolve_peer is not None:
                address = self.resolve_peer(peer)
            if address is None:
                return False
            link = _Link(address)
            link.task = asyncio.create_task(self._run_link(link))
            self.links[peer] = link
        if len(link.frames) >= QUEUE_FRAMES:
            return False
        if data is None:
            data = encode_frame(frame)
        link.frames.append(data)
        link.has_frames.set()
        self.traffic.count_sent(frame.message, len(data))
        return True

    async def _run_link(self, link: _Link) -> None:
        delay_s = RECONNECT_MIN_S
        while True:
            try:
                async with self._open(link.peer) as connection:
                    delay_s = RECONNECT_MIN_S
                    await self._send_frames(connection, link)
            except (OSError, TimeoutError, WebSocketException):
                # A broken link is expected; the instances log what it costs them.
                pass
            except Exception as error:
                # An error must not end the task, because the link would never be opened again.
                # asyncio raises an AttributeError when the peer closes a link during a large write.
                detail = f"{type(error).__name__}: {error}"
                log_message("link_failed", peer=link.peer.instance_id, error=detail)
            # Frames queued before the reconnection are stale: their senders no longer wait.
            link.frames.clear()
            self._fail_calls(link.peer.instance_id)
            await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1.0))
            delay_s = min(delay_s * 2, RECONNECT_MAX_S)
            # Reconnect only when there are frames to send; otherwise a peer that was removed
            # would be dialed forever.
            link.has_frames.clear()
            if not link.frames:
                await link.has_frames.wait()

    def _fail_calls(self, peer: str) -> None:
        """Fail the pending calls to a peer whose link broke, as the peer has probably crashed."""
        for call in self.pending_calls.values():
            if call.peer == peer and not call.answer.done():
                call.answer.set_exception(ConnectionError(f"the link to {peer} broke"))

    @contextlib.asynccontextmanager
    async def _open(self, peer: PeerSettings):
        connection = await connect(
            f"ws://{peer.host}:{peer.peer_port}",
            max_size=MAX_FRAME_BYTES,
            compression=None,
            open_timeout=self.settings.timing.connect_timeout_s,
            ping_interval=self.settings.timing.link_ping_s,
            ping_timeout=self.settings.timing.link_ping_s,
            close_timeout=CLOSE_TIMEOUT_S,
            proxy=None,
        )
        async with connection:
            async with asyncio.timeout(self.settings.timing.connect_timeout_s):
                authenticated = await authenticate_peer(
                    connection, self.key, self.settings.instance_id
                )
            if authenticated.is_err() or authenticated.unwrap() != peer.instance_id:
                log_message("peer_refused", peer=peer.instance_id, failure=str(authenticated))
                raise OSError(f"handshake with {peer.instance_id} failed")
            yield connection

    async def _send_frames(self, connection: Connection, link: _Link) -> None:
        closed = asyncio.create_task(connection.wait_closed())
        closed.add_done_callback(lambda _: link.has_frames.set())
        try:
            while not closed.done():
                while link.frames:
                    await connection.send(link.frames.popleft())
                link.has_frames.clear()
                if not link.frames and not closed.done():
                    await link.has_frames.wait()
            raise OSError("link closed")
        finally:
            closed.cancel()

    async def _receive_frames(self, connection: ServerConnection) -> None:
        try:
            async with asyncio.timeout(self.settings.timing.connect_timeout_s):
                authenticated = await authenticate_peer(
                    connection, self.key, self.settings.instance_id
                )
            if authenticated.is_err():
                log_message("peer_refused", failure=str(authenticated.unwrap_err()))
                return
            async for data in connection:
                if not self._receive_frame(authenticated.unwrap(), data):
                    return
        except (OSError, TimeoutError, WebSocketException):
            return

    def _receive_frame(self, peer: str, data: bytes | str) -> bool:
        if isinstance(data, str):
            return False
        frame = decode_frame(data)
        if frame.is_err():
            log_message("malformed_message", peer=peer, failure=str(frame.unwrap_err()))
            return False
        self.traffic.count_received(frame.unwrap().message, len(data))
        self._dispatch(peer, frame.unwrap())
        return True

    def _dispatch(self, peer: str, frame: Frame) -> None:
        if frame.answered_call is not None:
            pending = self.pending_calls.get(frame.answered_call)
            if pending is not None and not pending.answer.done():
                pending.answer.set_result(frame.message)
            return
        if peer == self.settings.instance_id:
            # A state machine that sends to itself must not be re-entered before it returns.
            asyncio.get_running_loop().call_soon(self._handle_frame, peer, frame)
        else:
            self._handle_frame(peer, frame)

    def _handle_frame(self, peer: str, frame: Frame) -> None:
        """Run a handler; a task is created only if the handler is a coroutine function."""
        try:
            answer = self._start_handler(peer, frame.message)
        except Exception as error:
            # An error in one handler must not close the link, which carries all other messages.
            _log_handler_error(peer, frame, error)
            return
        if asyncio.iscoroutine(answer):
            task = asyncio.create_task(self._answer_when_done(peer, frame, answer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self._answer(peer, frame, answer)

    async def _answer_when_done(self, peer: str, frame: Frame, answer: Awaitable) -> None:
        try:
            self._answer(peer, frame, await answer)
        except Exception as error:
            _log_handler_error(peer, frame, error)

    def _answer(self, peer: str, frame: Frame, answer: object | None) -> None:
        if answer is not None and frame.call_number is not None:
            self._enqueue(peer, Frame(answer, answered_call=frame.call_number))

    def _start_handler(self, peer: str, message: object) -> object | None:
        handler = self.handlers.get(type(message))
        if handler is None:
            log_message("unhandled_message", peer=peer, type=type(message).__name__)
            return None
        return handler(peer, message)

    async def _run_handler(self, peer: str, message: object) -> object | None:
        answer = self._start_handler(peer, message)
        if asyncio.iscoroutine(answer):
            return await answer
        return answer


def _log_handler_error(peer: str, frame: Frame, error: Exception) -> None:
    name = type(frame.message).__name__
    log_message("handler_failed", peer=peer, type=name, error=f"{type(error).__name__}: {error}")


def _unreachable(peer: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.PEER_UNREACHABLE, f"no answer from {peer}"))
