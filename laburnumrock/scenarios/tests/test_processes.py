"""Tests of the process runner, with emulators only."""

import dataclasses
import json
import os
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumrock.scenarios import DeploymentPlan, request_json, run_deployment
from laburnumrock.scenarios._deployment import Deployment
from laburnumrock.settings import load_settings

EMULATORS = DeploymentPlan(failure_domains=("a", "b"), instances=0, engines=1, voters=0)
COMPLETION = {"request_id": "r", "attempt": 1, "model": "quote", "prompt": "x", "max_tokens": 3}


def is_alive(process):
    try:
        os.kill(process.process.pid, 0)
    except ProcessLookupError:
        return False
    return True


class TestFiles:
    def test_settings_are_valid_and_links_are_used(self, tmp_path):
        """Guards against settings that the daemon rejects, and peer links that bypass the relay."""
        plan = DeploymentPlan(instances=2, has_links=True, timing={"permit_ttl_s": 1.5})
        plan = dataclasses.replace(plan, placement_policy="round_robin")
        deployment = Deployment(plan, tmp_path)
        specs = deployment.write_files()
        assert len(specs) == 1 + 6 + 9 + 1
        for name in deployment.instances:
            settings = load_settings(tmp_path / f"{name}.json").unwrap()
            assert settings.timing.permit_ttl_s == 1.5
            assert settings.placement_policy == "round_robin"
            assert len(settings.voters()) == 3
            assert len({peer.failure_domain for peer in settings.voters()}) == 3
            for peer in settings.peers:
                expected = deployment.link_ports.get(f"{name}>{peer.instance_id}")
                assert peer.peer_port in (expected, settings.listen.peer_port)
        assert (tmp_path / "operator.key").stat().st_mode & 0o077 == 0
        cut = deployment.links_between(deployment.instances_in("a"), deployment.instances_in("b"))
        assert len(cut) == 8


@pytest.mark.processes
class TestProcesses:
    def test_faults_and_clean_stop(self):
        """Guards against processes that outlive the runner, and injected faults without effect."""
        with run_deployment(EMULATORS) as group:
            folder = group.deployment.folder
            url = group.deployment.upstreams["a-engine-1"].url
            response = request_json(f"{url}/v1/completions", COMPLETION)
            assert b"[DONE]" in response.body
            group.pause("a-engine-1")
            assert request_json(f"{url}/v1/load", timeout_s=0.3).status == 0
            group.resume("a-engine-1")
            assert request_json(f"{url}/v1/load").status == 200
            group.kill("a-engine-1")
            assert request_json(f"{url}/v1/load").status == 0
            group.start("a-engine-1")
            group.wait_ready(10.0, ["a-engine-1"])
            assert group.stop("b-engine-1", 5.0) == 0
            assert "serving 1 upstreams" in group.read_log("b-engine-1")
            group.pause("a-application-1")
        assert not any(is_alive(process) for process in group.processes.values())
        assert not folder.exists()

    def test_stops_everything_after_an_error(self, tmp_path):
        """Guards against leaked processes when a test fails inside the block."""
        started = []
        with pytest.raises(RuntimeError), run_deployment(EMULATORS, log_folder=tmp_path) as group:
            started += group.processes.values()
            raise RuntimeError
        assert started
        assert "serving" in (tmp_path / "a-engine-1.log").read_text()
        assert not any(is_alive(process) for process in started)

    def test_failed_start_reports_the_log(self):
        """Guards against a failed start that reports no reason or leaves processes running."""
        plan = DeploymentPlan(("a",), instances=0, engines=1, engine_options=("--no-such-option",))
        with pytest.raises(TimeoutError, match="no-such-option"), run_deployment(plan, 30.0):
            pass

    def test_upstream_link_can_be_cut(self):
        """Guards against link cuts that the relay does not apply."""
        plan = DeploymentPlan(("a",), instances=0, engines=1, has_links=True)
        with run_deployment(plan) as group:
            port = group.deployment.upstreams["a-engine-1"].link_port
            url = f"http://127.0.0.1:{port}/v1/load"
            assert request_json(url).status == 200
            group.deployment.change_links(["a-engine-1"], open=False)
            assert request_json(url, timeout_s=0.3).status == 0
            group.deployment.heal()
            assert request_json(url).status == 200

    def test_leaving_engine_finishes_its_stream(self):
        """Guards against a SIGTERM that interrupts a running stream."""
        plan = DeploymentPlan(("a",), instances=0, engines=1, application_engines=0)
        with run_deployment(plan) as group:
            url = f"{group.deployment.engine_urls[0]}/v1/completions"
            with ThreadPoolExecutor(1) as pool:
                running = pool.submit(request_json, url, {**COMPLETION, "max_tokens": 60})
                time.sleep(0.2)
                assert group.stop("a-engine-1", 5.0) == 0
                body = running.result().body.decode()
        tokens = [line for line in body.splitlines() if line.startswith("data: {")]
        assert json.loads(tokens[-1][6:])["index"] == 59
        assert body.endswith("data: [DONE]\n\n")
