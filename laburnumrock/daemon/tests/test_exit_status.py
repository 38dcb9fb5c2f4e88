"""Tests of the exit status of the daemon."""

import asyncio
import errno
import json

import pytest
from click.testing import CliRunner

from laburnumrock.daemon.__main__ import EXIT_LOG_FAILED, main
from laburnumrock.daemon._instance import Instance
from laburnumrock.replication import FolderDisk
from laburnumrock.scenarios import make_loopback_settings

STOP_AFTER_S = 15.0
_REPLACE = FolderDisk.replace


def _fail(*arguments):
    raise RuntimeError("the entry cannot be encoded")


def _refuse(*arguments):
    raise OSError(errno.ENOSPC, "no space left on device")


async def _break_log(instance):
    """Replaces the wait for readiness: makes the log fail and then commits a command."""
    instance.lifecycle.fire("started")
    instance.log.runner.store.sync = _fail
    asyncio.get_running_loop().call_later(STOP_AFTER_S, instance.request_stop)
    await instance.orders.add_order("o1", "e", "change_role", {"role": "long"})


async def _fill_disk(instance):
    """Replaces the wait for readiness: fills the disk, and checks changes before and after."""
    instance.lifecycle.fire("started")
    disk = instance.log.runner.disk
    disk.append = disk.replace = _refuse
    refused = await instance.orders.add_order("o1", "e", "change_role", {"role": "long"})
    assert refused.is_err()
    assert not instance.log.is_leader
    assert instance.log.failure is None
    del disk.append, disk.replace
    accepted = await instance.orders.add_order("o2", "e", "change_role", {"role": "long"})
    assert accepted.is_ok()
    instance.request_stop()


async def _start_on_full_disk(instance):
    """Replaces the wait for readiness: checks changes before and after the disk has room."""
    instance.lifecycle.fire("started")
    assert instance.log.is_storage_unavailable
    refused = await instance.orders.add_order("o1", "e", "change_role", {"role": "long"})
    assert refused.is_err()
    FolderDisk.replace = _REPLACE
    accepted = await instance.orders.add_order("o2", "e", "change_role", {"role": "long"})
    assert accepted.is_ok()
    instance.request_stop()


async def _fill_disk_and_stop(instance):
    """Replaces the wait for readiness: fills the disk and stops."""
    instance.lifecycle.fire("started")
    disk = instance.log.runner.disk
    disk.append = disk.replace = _refuse
    await instance.orders.add_order("o1", "e", "change_role", {"role": "long"})
    assert instance.log.is_storage_unavailable
    instance.request_stop()


def _run_daemon(folder, monkeypatch, scenario):
    (folder / "key").write_text("k" * 32)
    timing = {"balancer_grace_s": 0.0}
    settings = make_loopback_settings(folder, ["a1"], timing=timing)["a1"]
    document = settings.model_dump(mode="json")
    document |= {name: str(folder / "key") for name in document if name.endswith("key_file")}
    file = folder / "a1.json"
    file.write_text(json.dumps(document))
    monkeypatch.setattr(Instance, "_wait_until_ready", scenario)
    return CliRunner().invoke(main, ["--settings", str(file)], catch_exceptions=False)


class TestExitStatus:
    def test_failed_log_ends_the_process(self, tmp_path, monkeypatch):
        """The daemon must exit after an error that no retry can mend, instead of running on."""
        result = _run_daemon(tmp_path, monkeypatch, _break_log)
        assert "the log of this instance failed: RuntimeError: the entry cannot be encoded" in (
            result.output
        )
        assert result.exit_code == EXIT_LOG_FAILED

    @pytest.mark.parametrize("scenario", [_fill_disk, _fill_disk_and_stop])
    def test_full_disk_does_not_end_the_process(self, scenario, tmp_path, monkeypatch):
        """The daemon must refuse changes while its disk is full, go on later, and stop with 0."""
        result = _run_daemon(tmp_path, monkeypatch, scenario)
        assert result.output.count("storage_unavailable") >= 1
        assert result.exit_code == 0

    def test_start_on_a_full_disk(self, tmp_path, monkeypatch):
        """The daemon must start without its log, refuse changes, and serve once there is room."""
        monkeypatch.setattr(FolderDisk, "replace", _refuse)
        result = _run_daemon(tmp_path, monkeypatch, _start_on_full_disk)
        assert "storage_available" in result.output
        assert result.exit_code == 0
