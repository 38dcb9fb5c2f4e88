"""Tests of the exit status of the daemon."""

import json

from click.testing import CliRunner

from laburnumrock.daemon.__main__ import EXIT_LOG_FAILED, main
from laburnumrock.replication import LogStore
from laburnumrock.scenarios import make_loopback_settings

# The first syncs store the identity, the first members and the first term.
SYNCS_BEFORE_FAILURE = 2


class TestExitStatus:
    def test_failed_log_ends_the_process(self, tmp_path, monkeypatch):
        """Guards against a daemon that goes on without its vote after a storage error."""
        (tmp_path / "key").write_text("k" * 32)
        timing = {"balancer_grace_s": 0.0}
        settings = make_loopback_settings(tmp_path, ["a1"], timing=timing)["a1"]
        document = settings.model_dump(mode="json")
        document |= {name: str(tmp_path / "key") for name in document if name.endswith("key_file")}
        file = tmp_path / "a1.json"
        file.write_text(json.dumps(document))
        syncs = []

        def sync(store):
            syncs.append(store)
            if len(syncs) > SYNCS_BEFORE_FAILURE:
                raise OSError("no space left on device")

        monkeypatch.setattr(LogStore, "sync", sync)
        result = CliRunner().invoke(main, ["--settings", str(file)])
        assert result.exit_code == EXIT_LOG_FAILED
        assert "the log of this instance failed: OSError: no space left on device" in result.output
