"""Tests of the example declarations and settings."""

import subprocess
import sys
from collections import Counter
from pathlib import Path

import pytest

from laburnumrock.declarations import read_folder
from laburnumrock.settings import load_settings, read_key

EXAMPLES = Path(__file__).parents[3] / "examples"


class TestExampleDeclarations:
    @pytest.mark.parametrize(
        ("user", "once"),
        [
            ("tianguang", {"orders/place", "orders/cancel"}),
            ("agencia", {"orders/place", "orders/cancel", "treasury/commitment-requests"}),
        ],
    )
    def test_examples_are_valid(self, user, once):
        """Guards against an example that declares an order or a commitment as repeatable."""
        found = read_folder(EXAMPLES / user).unwrap()
        assert len(found.templates) == 10
        paths = [
            (f"{service.name}/{entry.path}", entry.repeatable)
            for service in found.services.values()
            for entry in service.paths
        ]
        assert {name for name, repeatable in paths if not repeatable} == once


class TestMakeSettings:
    @pytest.mark.parametrize("voters", [3, 5])
    def test_settings_are_valid(self, tmp_path, voters):
        """Guards against settings that the daemon rejects, or ports that two instances share."""
        command = [sys.executable, EXAMPLES / "make_settings.py", tmp_path, "21000"]
        run = subprocess.run(
            [*map(str, command), "--voters", str(voters)],
            capture_output=True,
            check=True,
            text=True,
        )
        loaded = [load_settings(Path(line)).unwrap() for line in run.stdout.split()]
        assert len(loaded) == 15
        ports = [peer.caller_port for peer in loaded[0].peers]
        ports += [peer.peer_port for peer in loaded[0].peers]
        assert len(set(ports)) == 30
        voting = [item for item in loaded if item.own_peer.voter]
        assert len(voting) == voters
        assert max(Counter(item.failure_domain for item in voting).values()) <= 2
        assert read_key(loaded[0].operator_key_file).is_ok()
        assert loaded[0].operator_key_file.stat().st_mode & 0o077 == 0
