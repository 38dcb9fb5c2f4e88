"""Parsing of untrusted JSON documents."""

from laburnumrock.documents._json import MAX_JSON_DEPTH, parse_json

__all__ = ["MAX_JSON_DEPTH", "parse_json"]
