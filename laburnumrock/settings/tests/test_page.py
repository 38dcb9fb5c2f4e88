"""Tests of the settings reference in the operator documentation."""

import re
from pathlib import Path

from laburnumrock.settings import InstanceSettings, TimingSettings

PAGE = Path(__file__).parents[3] / "docs" / "operators.md"


class TestSettingsReference:
    def test_fields_and_defaults(self):
        """Guards against a setting that is missing from the page or has another default there."""
        rows = dict(re.findall(r"^\| `([\w.]+)` \|[^|]*\| ([^|]*) \|", PAGE.read_text(), re.M))
        shown = {name for name in rows if not name.startswith(("timing.", "listen."))}
        assert set(InstanceSettings.model_fields) - {"timing", "listen"} <= shown
        for name, field in TimingSettings.model_fields.items():
            assert rows[f"timing.{name}"] == str(field.default)
        assert rows["max_body_bytes"] == str(
            InstanceSettings.model_fields["max_body_bytes"].default
        )
