"""Nodes that forward requests on routes: entries, and cores with the replicated routes."""

from laburnumrock.nodes._core import CoreNode
from laburnumrock.nodes._entry import EntryNode
from laburnumrock.nodes._messages import EntryHello, EntryWelcome, UpstreamNews, View
from laburnumrock.nodes._settings import NodeSettings, make_peer

__all__ = [
    "CoreNode",
    "EntryHello",
    "EntryNode",
    "EntryWelcome",
    "NodeSettings",
    "UpstreamNews",
    "View",
    "make_peer",
]
