"""Tests of the example that runs a whole deployment."""

import importlib
import socket
from pathlib import Path

import click
import pytest

from laburnumrock.declarations import read_folder

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.fixture
def run_deployment(monkeypatch):
    monkeypatch.syspath_prepend(str(EXAMPLES))
    return importlib.import_module("run_deployment")


class TestRunDeployment:
    def test_port_in_use(self, run_deployment):
        """Guards against a start on ports of another deployment, which would respond instead."""
        with socket.create_server(("127.0.0.1", 0)) as other:
            port = other.getsockname()[1]
            with pytest.raises(click.ClickException, match=f"port {port}: "):
                run_deployment.check_ports(port)

    @pytest.mark.parametrize("user", ["tianguang", "agencia"])
    def test_commands(self, user, tmp_path, run_deployment):
        """Guards against ports that two processes share, and models that no engine serves."""
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
