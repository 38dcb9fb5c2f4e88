"""Tests of the exit status of the daemon."""

import asyncio
import json

from click.testing import CliRunner

from laburnumrock.daemon.__main__ import EXIT_LOG_FAILED, main
from laburnumrock.daemon._instance import Instance
from laburnumrock.scenarios import make_loopback_settings

STOP_AFTER_S = 15.0


def _fail():
    raise OSError("no space left on device")


async def _break_disk(instance):
    """Replaces the wait for readiness: makes the disk fail and then commits a command."""
    instance.lifecycle.fire("started")
    instance.log.runner.store.sync = _fail
    asyncio.get_running_loop().call_later(STOP_AFTER_S, instance.request_stop)
    await instance.orders.add_order("o1", "e", "change_role", {"role": "long"})


class TestExitStatus:
    def test_failed_log_ends_the_process(self, tmp_path, monkeypatch):
        """The daemon must exit after a storage error instead of running on without a vote."""
        (tmp_path / "key").write_text("k" * 32)
        timing = {"balancer_grace_s": 0.0}
        settings = make_loopback_settings(tmp_path, ["a1"], timing=timing)["a1"]
        document = settings.model_dump(mode="json")
        document |= {name: str(tmp_path / "key") for name in document if name.endswith("key_file")}
        file = tmp_path / "a1.json"
        file.write_text(json.dumps(document))
        monkeypatch.setattr(Instance, "_wait_until_ready", _break_disk)
        result = CliRunner().invoke(main, ["--settings", str(file)])
        assert "the log of this instance failed: OSError: no space left on device" in result.output
        assert result.exit_code == EXIT_LOG_FAILED
