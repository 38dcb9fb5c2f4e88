"""Tests of the instance settings."""

import json

import pytest

from laburnumrock.errors import ErrorKind
from laburnumrock.settings import load_settings, read_key


def _document(**changes):
    document = {
        "instance_id": "a1",
        "failure_domain": "a",
        "listen": {"host": "127.0.0.1", "caller_port": 1, "peer_port": 2},
        "shared_key_file": "shared.key",
        "operator_key_file": "operator.key",
        "peers": [
            {
                "instance_id": "a1",
                "failure_domain": "a",
                "host": "127.0.0.1",
                "caller_port": 1,
                "peer_port": 2,
            }
        ],
    }
    document.update(changes)
    return document


def _load(tmp_path, document):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(document))
    return load_settings(path)


class TestLoadSettings:
    def test_valid(self, tmp_path):
        """Guards against complete settings that are rejected."""
        assert _load(tmp_path, _document()).unwrap().own_peer.instance_id == "a1"

    @pytest.mark.parametrize(
        ("changes", "path"),
        [
            ({"unknown": 1}, "unknown"),
            ({"placement_policy": "unregistered"}, "placement_policy"),
            ({"timing": {"lease_s": -1}}, "timing.lease_s"),
            ({"timing": {"lease_s": "2 minutes"}}, "timing.lease_s"),
            ({"peers": [{"instance_id": "a1"}]}, "peers[0].failure_domain"),
        ],
    )
    def test_error_names_the_field(self, tmp_path, changes, path):
        """Guards against an error that does not name the invalid field."""
        failure = _load(tmp_path, _document(**changes)).unwrap_err()
        assert failure.kind is ErrorKind.INVALID_SETTINGS
        assert failure.field_path == path

    def test_not_json(self, tmp_path):
        """Guards against a traceback when the file is not JSON."""
        path = tmp_path / "settings.json"
        path.write_text("{")
        assert "not JSON" in load_settings(path).unwrap_err().detail


class TestReadKey:
    def test_short_key_is_refused_without_showing_it(self, tmp_path):
        """Guards against short keys being accepted and keys appearing in error messages."""
        path = tmp_path / "key"
        path.write_text("hunter2")
        failure = read_key(path).unwrap_err()
        assert "hunter2" not in failure.detail
