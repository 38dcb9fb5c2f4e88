"""Mutual proof of the shared key when a link opens."""

import hmac
import secrets
from dataclasses import dataclass

from result import Err, Ok, Result
from websockets.asyncio.connection import Connection

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages import Frame, decode_frame, encode_frame, register_message

HANDSHAKE_VERSION = 1
NONCE_BYTES = 16


@register_message
@dataclass(frozen=True, slots=True)
class PeerHello:
    """First frame of both sides of a link."""

    instance_id: str
    nonce: bytes
    version: int


@register_message
@dataclass(frozen=True, slots=True)
class PeerProof:
    """Second frame of both sides: proves knowledge of the shared key."""

    proof: bytes


def compute_proof(key: bytes, prover: PeerHello, verifier: PeerHello) -> bytes:
    """Compute the proof that one side sends to the other.

    The nonces and names of both sides enter it, with the prover first, so that a proof can
    neither be replayed on another link nor reflected to its sender.
    """
    parts = [prover.instance_id.encode(), prover.nonce, verifier.instance_id.encode()]
    return hmac.digest(key, b"\0".join([*parts, verifier.nonce]), "sha256")


async def authenticate_peer(
    connection: Connection, key: bytes, instance_id: str
) -> Result[str, Failure]:
    """Run the handshake on a new link.

    Parameters
    ----------
    connection : Connection
        Open websocket.
    key : bytes
        Shared key of the system's instances.
    instance_id : str
        Name of this instance.

    Returns
    -------
    Result
        Name of the other instance, or a failure of kind ``unauthenticated`` or
        ``malformed_message``.
    """
    own = PeerHello(instance_id, secrets.token_bytes(NONCE_BYTES), HANDSHAKE_VERSION)
    await connection.send(encode_frame(Frame(own)))
    hello = await _receive(connection, PeerHello)
    if hello.is_err():
        return hello
    other = hello.unwrap()
    if other.nonce == own.nonce:
        return Err(Failure(ErrorKind.UNAUTHENTICATED, "the peer reflected the nonce"))
    await connection.send(encode_frame(Frame(PeerProof(compute_proof(key, own, other)))))
    proof = await _receive(connection, PeerProof)
    if proof.is_err():
        return proof
    if not hmac.compare_digest(proof.unwrap().proof, compute_proof(key, other, own)):
        detail = f"peer {other.instance_id} does not know the shared key"
        return Err(Failure(ErrorKind.UNAUTHENTICATED, detail))
    return Ok(other.instance_id)


async def _receive(connection: Connection, cls: type) -> Result:
    data = await connection.recv()
    if isinstance(data, str):
        return Err(Failure(ErrorKind.MALFORMED_MESSAGE, "expected a binary frame"))
    frame = decode_frame(data)
    if frame.is_err():
        return frame
    message = frame.unwrap().message
    if not isinstance(message, cls):
        detail = f"expected {cls.__name__}, got {type(message).__name__}"
        return Err(Failure(ErrorKind.MALFORMED_MESSAGE, detail))
    return Ok(message)
