"""Tests of the example that runs a whole deployment."""

import sys
from pathlib import Path

import pytest

from laburnumrock.declarations import read_folder

EXAMPLES = Path(__file__).parents[3] / "examples"


class TestRunDeployment:
    @pytest.mark.parametrize("user", ["tianguang", "agencia"])
    def test_commands(self, user, tmp_path, monkeypatch):
        """Guards against ports that two processes share, and a model that no engine serves."""
        monkeypatch.syspath_prepend(str(EXAMPLES))
        sys.modules.pop("run_deployment", None)
        import run_deployment

        declared = read_folder(EXAMPLES / user).unwrap()
        commands = run_deployment.make_commands(tmp_path, declared, 21_000, 1.0)
        kinds = ["daemon", "engine", "application", "balancer"]
        words = [" ".join(command.arguments) for command in commands]
        counts = [
            sum(kind in text.split()[1].split(".") + text.split()[2:3] for text in words)
            for kind in kinds
        ]
        assert counts == [15, 20, 3, 1]
        assert len({command.url for command in commands}) == len(commands)
        assert len({command.name for command in commands}) == len(commands)
        engine = next(text for text in words if " engine " in text)
        for template in declared.templates.values():
            assert f"--model {template.model}" in engine
