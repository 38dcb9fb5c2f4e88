"""Tests of the decoding of the platform's settings file."""

from pathlib import Path

from laburnumrock.errors import ErrorKind
from laburnumrock.platform._settings import load_settings
from laburnumrock.platform.tests.samples import SETTINGS


class TestLoadSettings:
    def test_entry(self, tmp_path):
        """Guards against a field that is decoded into the wrong attribute."""
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS)
        settings = load_settings(path).unwrap()
        assert settings.instance_id == "10.1.0.40"
        assert settings.cores == ("10.1.0.43", "10.2.0.32")
        assert (settings.listen.caller_port, settings.listen.peer_port) == (8227, 7340)
        assert settings.readiness == ("10.1.0.40", 8220)
        assert settings.data_folder is None
        assert settings.may_bootstrap
        assert settings.dispatch.retry_slack < 219
        assert settings.tolerated_losses == 2

    def test_core(self, tmp_path):
        """Guards against a core that listens on the wrong port or ignores its data folder."""
        path = tmp_path / "settings.toml"
        text = SETTINGS.replace('front = "10.1.0.40:8227"', 'control = "10.1.0.40:8229"')
        text = text.replace('readiness_address = "10.1.0.40:8220"\n', "")
        path.write_text('data_dir = "/data/core"\n' + text)
        settings = load_settings(path).unwrap()
        assert settings.listen.caller_port == 8229
        assert settings.data_folder == Path("/data/core")
        assert settings.readiness is None

    def test_errors_name_the_field(self, tmp_path):
        """Guards against a start-up error that does not name the field to correct."""
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS.replace('zone = "zone-a"\n', ""))
        failure = load_settings(path).unwrap_err()
        assert failure.kind is ErrorKind.INVALID_SETTINGS
        assert "zone" in str(failure)
        assert load_settings(tmp_path / "none.toml").is_err()
