"""Reading of JSON documents from outside."""

from laburnumrock.documents._json import MAX_JSON_DEPTH, parse_json

__all__ = ["MAX_JSON_DEPTH", "parse_json"]
