"""Links to all other instances: one websocket per direction and peer, opened on demand."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from eliot import log_message
from result import Err, Ok, Result
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages import MAX_FRAME_BYTES, Frame, decode_frame, encode_frame
from laburnumrock.settings import InstanceSettings, PeerSettings
from laburnumrock.transport._handshake import prove_identity

QUEUE_FRAMES = 1_024
RECONNECT_MIN_S = 0.05
RECONNECT_MAX_S = 0.5

Handler = Callable[[str, object], Awaitable[object | None] | object | None]


@dataclass(slots=True)
class _Link:
    """Outgoing link to one peer."""

    peer: PeerSettings
    frames: asyncio.Queue[bytes] = field(default_factory=lambda: asyncio.Queue(QUEUE_FRAMES))
    task: asyncio.Task | None = None


class PeerNetwork:
    """Sends messages to other instances and hands received ones to handlers.

    Messages to one peer arrive in the order in which they were sent, or not at all. Each instance
    sends on the link that it opened itself; answers to calls travel on the receiver's own link.

    Parameters
    ----------
    settings : InstanceSettings
        Addresses of this instance and its peers.
    key : bytes
        Shared key of the system's instances.
    """

    def __init__(self, settings: InstanceSettings, key: bytes) -> None:
        self.settings = settings
        self.key = key
        self.peers = {peer.instance_id: peer for peer in settings.peers}
        self.handlers: dict[type, Handler] = {}
        self.links: dict[str, _Link] = {}
        self.pending_calls: dict[int, asyncio.Future] = {}
        self.next_call_number = 1
        self.server: Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.random = random.Random(settings.seed)

    async def start(self) -> None:
        """Open the port for other instances."""
        listen = self.settings.listen
        self.server = await serve(
            self._receive_frames,
            listen.host,
            listen.peer_port,
            max_size=MAX_FRAME_BYTES,
            compression=None,
        )

    async def stop(self) -> None:
        """Close every link and the port."""
        links = [link.task for link in self.links.values() if link.task is not None]
        for task in [*links, *self.tasks]:
            task.cancel()
        await asyncio.gather(*links, *self.tasks, return_exceptions=True)
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
            Called with the sender's name and the message, it may be a coroutine function. What it
            returns is the answer when the sender waits for one.
        """
        self.handlers[message_type] = handler

    def send(self, peer: str, message: object) -> None:
        """Send a message without waiting; it is dropped when the peer cannot take it."""
        self._enqueue(peer, Frame(message))

    async def call(self, peer: str, message: object, timeout_s: float) -> Result[object, Failure]:
        """Send a message and wait for the answer.

        Parameters
        ----------
        peer : str
            Instance to ask; this instance itself is allowed.
        message : object
            The question.
        timeout_s : float, > 0
            Longest wait in seconds.

        Returns
        -------
        Result
            The answer, or a failure of kind ``peer_unreachable``. The failure does not prove that
            the peer did not act on the message.
        """
        if peer == self.settings.instance_id:
            return await self._call_self(message, timeout_s)
        number = self.next_call_number
        self.next_call_number += 1
        answer: asyncio.Future = asyncio.get_running_loop().create_future()
        self.pending_calls[number] = answer
        try:
            if not self._enqueue(peer, Frame(message, call_number=number)):
                return _unreachable(peer)
            return Ok(await asyncio.wait_for(answer, timeout_s))
        except TimeoutError:
            return _unreachable(peer)
        finally:
            del self.pending_calls[number]

    async def _call_self(self, message: object, timeout_s: float) -> Result[object, Failure]:
        try:
            own = self._run_handler(self.settings.instance_id, message)
            answer = await asyncio.wait_for(own, timeout_s)
        except TimeoutError:
            return _unreachable(self.settings.instance_id)
        return _unreachable(self.settings.instance_id) if answer is None else Ok(answer)

    def _enqueue(self, peer: str, frame: Frame) -> bool:
        if peer == self.settings.instance_id:
            self._dispatch(peer, frame)
            return True
        if peer not in self.peers:
            return False
        link = self.links.get(peer)
        if link is None:
            link = _Link(self.peers[peer])
            link.task = asyncio.create_task(self._run_link(link))
            self.links[peer] = link
        try:
            link.frames.put_nowait(encode_frame(frame))
        except asyncio.QueueFull:
            return False
        return True

    async def _run_link(self, link: _Link) -> None:
        delay_s = RECONNECT_MIN_S
        while True:
            try:
                async with self._open(link.peer) as connection:
                    delay_s = RECONNECT_MIN_S
                    await self._send_frames(connection, link)
            except (OSError, TimeoutError, WebSocketException):
                # Frames queued before the reconnection are stale: their senders have given up.
                _drop_frames(link)
                await asyncio.sleep(delay_s * self.random.uniform(0.5, 1.0))
                delay_s = min(delay_s * 2, RECONNECT_MAX_S)

    @contextlib.asynccontextmanager
    async def _open(self, peer: PeerSettings):
        connection = await connect(
            f"ws://{peer.host}:{peer.peer_port}",
            max_size=MAX_FRAME_BYTES,
            compression=None,
            open_timeout=self.settings.timing.connect_timeout_s,
            proxy=None,
        )
        async with connection:
            async with asyncio.timeout(self.settings.timing.connect_timeout_s):
                proved = await prove_identity(connection, self.key, self.settings.instance_id)
            if proved.is_err() or proved.unwrap() != peer.instance_id:
                log_message("peer_refused", peer=peer.instance_id, failure=str(proved))
                raise OSError(f"handshake with {peer.instance_id} failed")
            yield connection

    async def _send_frames(self, connection: Connection, link: _Link) -> None:
        closed = asyncio.create_task(connection.wait_closed())
        get: asyncio.Task | None = None
        try:
            while True:
                get = asyncio.create_task(link.frames.get())
                await asyncio.wait([get, closed], return_when=asyncio.FIRST_COMPLETED)
                if not get.done():
                    raise OSError("link closed")
                await connection.send(get.result())
        finally:
            tasks = [task for task in (get, closed) if task is not None]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _receive_frames(self, connection: ServerConnection) -> None:
        try:
            async with asyncio.timeout(self.settings.timing.connect_timeout_s):
                proved = await prove_identity(connection, self.key, self.settings.instance_id)
            if proved.is_err():
                log_message("peer_refused", failure=str(proved.unwrap_err()))
                return
            async for data in connection:
                if not self._receive_frame(proved.unwrap(), data):
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
        self._dispatch(peer, frame.unwrap())
        return True

    def _dispatch(self, peer: str, frame: Frame) -> None:
        if frame.answered_call is not None:
            waiting = self.pending_calls.get(frame.answered_call)
            if waiting is not None and not waiting.done():
                waiting.set_result(frame.message)
            return
        task = asyncio.create_task(self._answer(peer, frame))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, peer: str, frame: Frame) -> None:
        answer = await self._run_handler(peer, frame.message)
        if answer is not None and frame.call_number is not None:
            self._enqueue(peer, Frame(answer, answered_call=frame.call_number))

    async def _run_handler(self, peer: str, message: object) -> object | None:
        handler = self.handlers.get(type(message))
        if handler is None:
            log_message("unhandled_message", peer=peer, type=type(message).__name__)
            return None
        answer = handler(peer, message)
        if asyncio.iscoroutine(answer):
            return await answer
        return answer


def _drop_frames(link: _Link) -> None:
    while not link.frames.empty():
        link.frames.get_nowait()


def _unreachable(peer: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.PEER_UNREACHABLE, f"no answer from {peer}"))
