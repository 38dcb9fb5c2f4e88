"""Tests of the JSON parser."""

import json

import pytest

from laburnumrock.documents import MAX_JSON_DEPTH, parse_json


class TestParseJson:
    @pytest.mark.parametrize("opening", [b"[", b'{"a":'])
    def test_deep_nesting_is_rejected_before_parsing(self, opening, monkeypatch):
        """Guards against a body that drives the parser to the recursion limit."""
        parsed = []
        monkeypatch.setattr(json, "loads", parsed.append)
        for depth in (MAX_JSON_DEPTH + 1, 100_000):
            with pytest.raises(ValueError, match="nested deeper"):
                parse_json(opening * depth)
        assert parsed == []

    def test_permitted_nesting_is_parsed(self):
        """Guards against rejecting documents within the limit."""
        text = b"[" * MAX_JSON_DEPTH + b"]" * MAX_JSON_DEPTH
        assert parse_json(text) == json.loads(text)

    @pytest.mark.parametrize("text", ["[" * 500, '\\"' + "{" * 500, "\\\\"])
    def test_brackets_in_text_do_not_count(self, text):
        """Guards against rejecting a prompt because of brackets in its text."""
        document = [{"prompt": text}, ["{" * 100]]
        assert parse_json(json.dumps(document).encode()) == document

    def test_many_flat_values_do_not_count(self):
        """Guards against limiting the size of a document instead of its depth."""
        document = [{"a": [1]} for _ in range(1_000)]
        assert parse_json(json.dumps(document).encode()) == document

    @pytest.mark.parametrize("data", [b"{", b"", b"\xff", b"[" * 10, b'"' + b"[" * 100])
    def test_malformed_text_raises_value_error(self, data):
        """Guards against exceptions other than ValueError, which callers do not handle."""
        with pytest.raises(ValueError):
            parse_json(data)
