"""Run every scenario file on real processes."""

import pytest

from laburnumrock.scenarios import CASES, read_script, run_script

FILES = sorted(CASES.glob("*.scenario"))


@pytest.mark.processes
class TestCases:
    @pytest.mark.parametrize("file", FILES, ids=[file.stem for file in FILES])
    def test_case(self, file):
        """Guards against a violation of the guarantee named in the first line of each file."""
        report = run_script(read_script(file))
        assert report.passed, report.format()
