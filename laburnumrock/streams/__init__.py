"""Streams of connections to upstreams."""

from laburnumrock.streams._upstream_stream import (
    UpstreamStream,
    has_buffered_data,
    has_unread_data,
)

__all__ = ["UpstreamStream", "has_buffered_data", "has_unread_data"]
