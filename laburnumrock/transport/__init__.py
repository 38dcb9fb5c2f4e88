"""Authenticated links between instances."""

from laburnumrock.transport._handshake import PeerHello, PeerProof
from laburnumrock.transport._network import PeerNetwork
from laburnumrock.transport._traffic import TrafficCounts, TypeCount

__all__ = ["PeerHello", "PeerNetwork", "PeerProof", "TrafficCounts", "TypeCount"]
