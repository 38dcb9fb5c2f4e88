"""Authenticated links between the system's own processes."""

from laburnumrock.transport._handshake import PeerHello, PeerProof
from laburnumrock.transport._network import PeerNetwork

__all__ = ["PeerHello", "PeerNetwork", "PeerProof"]
