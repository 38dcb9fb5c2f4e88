"""Tests of the scenario language."""

from pathlib import Path

import pytest

from laburnumrock.scenarios import CASES, ScenarioError, parse_script, read_script

START = 'proves "x"\nstart instances=2 timing.lease_s=1.5 engine.time-factor=4 links=yes\n'


class TestScript:
    def test_start_options_make_the_plan(self):
        """Guards against options of the start statement that do not reach the deployment plan."""
        plan = parse_script(START, Path("x")).plan
        assert (plan.instances, plan.engines, plan.has_links) == (2, 1, True)
        assert plan.timing == {"lease_s": 1.5}
        assert plan.engine_options == ("--time-factor", "4")

    @pytest.mark.parametrize(
        ("line", "message"),
        [
            ("kill z-1", "f:3:6: z-1 is not defined"),
            ("expect answers load whole within 5 s", "f:3:16: load is not defined"),
            ("expect executions load-0 never", "f:3:26: unexpected 'never'"),
            ("submit 3 short", "f:3:15: unexpected end of line, expected one of AS"),
            ("submit 3 short as load speed=3", "f:3:24: unknown option speed"),
            ("kill !", "f:3:6: unexpected character '!'"),
        ],
    )
    def test_error_names_file_line_and_column(self, line, message):
        """Guards against syntax errors that do not locate the faulty statement."""
        with pytest.raises(ScenarioError, match="^" + message.replace("(", r"\(")):
            parse_script(START + line, Path("f"))

    def test_names_defined_by_earlier_statements_are_known(self):
        """Guards against a name check that rejects a valid scenario."""
        lines = [
            "let old = leader",
            "kill old",
            "submit 1 orders as o",
            "expect operation o-0 done",
        ]
        assert (
            len(parse_script(START + "\n".join(lines) + " within 1 s", Path("f")).statements) == 4
        )

    def test_every_case_is_valid(self):
        """Guards against invalid case files, without the several seconds that each run takes."""
        assert [read_script(file).guarantee for file in sorted(CASES.glob("*.scenario"))]
