"""Nodes that forward requests on routes: entries, and cores with the replicated routes."""

from laburnumrock._lazy import make_lazy_getattr

_MODULES = {
    "CoreNode": "_core",
    "EntryHello": "_messages",
    "EntryNode": "_entry",
    "EntryWelcome": "_messages",
    "NodeListen": "_settings",
    "NodePeer": "_settings",
    "NodeSettings": "_settings",
    "NodeTiming": "_settings",
    "RouteDecoder": "_settings",
    "UpstreamNews": "_messages",
    "View": "_messages",
}

__all__ = list(_MODULES)
__getattr__ = make_lazy_getattr(__name__, _MODULES)
