"""Streams of connections to upstreams and callers."""

from laburnumrock.streams._caller_server import CallerServer
from laburnumrock.streams._caller_stream import CallerStream, wrap_caller
from laburnumrock.streams._upstream_stream import (
    UpstreamStream,
    has_buffered_data,
    has_unread_data,
)

__all__ = [
    "CallerServer",
    "CallerStream",
    "UpstreamStream",
    "has_buffered_data",
    "has_unread_data",
    "wrap_caller",
]
