"""Runs every scenario file over real processes."""

import pytest

from laburnumrock.scenarios import CASES, read_script, run_script

FILES = sorted(CASES.glob("*.scenario"))


@pytest.mark.processes
class TestCases:
    @pytest.mark.parametrize("file", FILES, ids=[file.stem for file in FILES])
    def test_case(self, file):
        """Guards against a broken promise; the first line of each file names it."""
        report = run_script(read_script(file))
        assert report.passed, report.format()
