"""Tests of the error table in the callers' page."""

import re
from pathlib import Path

from laburnumrock.errors import ANSWERS

PAGE = Path(__file__).parents[3] / "docs" / "callers.md"


class TestErrorTable:
    def test_rows_are_the_answers(self):
        """Guards against a page that promises another outcome than the daemon reports."""
        shown = re.findall(r"^\| `\w+` \| \d{3} \|.*$", PAGE.read_text(encoding="utf-8"), re.M)
        assert shown == [
            f"| `{kind}` | {answer.status} | {answer.phase} | {answer.outcome} | {answer.retry} "
            f"| {answer.title} |"
            for kind, answer in ANSWERS.items()
        ]
