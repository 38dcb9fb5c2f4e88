"""Interpreter of the scenario language, which runs scenarios on real processes."""

import time
from dataclasses import dataclass, field
from pathlib import Path

from lark import Tree

from laburnumrock.scenarios._calls import run_sender
from laburnumrock.scenarios._processes import run_deployment
from laburnumrock.scenarios._script import Script
from laburnumrock.scenarios._steps import READY_TIMEOUT_S, STEPS
from laburnumrock.scenarios._test_context import ScenarioContext, StepError


@dataclass(slots=True)
class StepReport:
    """Result of one statement."""

    line: int
    text: str
    passed: bool
    detail: str
    elapsed_s: float


@dataclass(slots=True)
class ScenarioReport:
    """Result of a scenario."""

    script: Script
    steps: list[StepReport] = field(default_factory=list)
    elapsed_s: float = 0.0

    @property
    def passed(self) -> bool:
        """Whether every statement succeeded and every expectation was met."""
        return all(step.passed for step in self.steps)

    def format(self) -> str:
        """Return the report as text, with one statement per line."""
        verdict = "passed" if self.passed else "FAILED"
        lines = [f"{self.script.file.stem}: {self.script.guarantee}"]
        for step in self.steps:
            label = "ok  " if step.passed else "FAIL"
            lines.append(f"  {label} {step.line:>3} {step.elapsed_s:>6.2f} s  {step.text}")
            if step.detail:
                lines.append(f"                    {step.detail}")
        lines.append(f"  {verdict} in {self.elapsed_s:.1f} s")
        return "\n".join(lines)


def run_script(script: Script, log_folder: Path | None = None) -> ScenarioReport:
    """Run a scenario up to its end or the first statement that fails.

    Parameters
    ----------
    script : Script
        The scenario.
    log_folder : Path, optional
        Folder to which the log files of the processes are copied.

    Returns
    -------
    ScenarioReport
        Result of every statement that ran.
    """
    report = ScenarioReport(script)
    started_s = time.monotonic()
    with (
        run_deployment(script.plan, READY_TIMEOUT_S, log_folder=log_folder) as group,
        run_sender() as sender,
    ):
        context = ScenarioContext(script, group, sender)
        for statement in script.statements:
            report.steps.append(_run_step(context, statement))
            if not report.passed:
                break
    report.elapsed_s = time.monotonic() - started_s
    return report


def _run_step(context: ScenarioContext, statement: Tree) -> StepReport:
    line = statement.meta.line if not statement.meta.empty else 0
    text = context.script.lines[line - 1].strip() if line else str(statement.data)
    started_s = time.monotonic()
    try:
        detail, passed = STEPS[statement.data](context, statement) or "", True
    except (StepError, TimeoutError) as error:
        detail, passed = str(error), False
    return StepReport(line, text, passed, detail, time.monotonic() - started_s)
