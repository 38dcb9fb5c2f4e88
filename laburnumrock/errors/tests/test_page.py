"""Tests of the error table in the documentation for callers."""

import re
from pathlib import Path

from laburnumrock.errors import ANSWERS

PAGE = Path(__file__).parents[3] / "docs" / "callers.md"


class TestErrorTable:
    def test_documented_rows_match_the_answers(self):
        """Guards against documentation that differs from the answers of the daemon."""
        documented_rows = re.findall(
            r"^\| `\w+` \| \d{3} \|.*$", PAGE.read_text(encoding="utf-8"), re.M
        )
        assert documented_rows == [
            f"| `{kind}` | {answer.status} | {answer.phase} | {answer.outcome} | {answer.retry} "
            f"| {answer.title} |"
            for kind, answer in ANSWERS.items()
        ]
