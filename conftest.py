"""Hypothesis settings and handling of known test failures for the whole test suite."""

from pathlib import Path

from hypothesis import settings

KNOWN_FAILURES_FILE = Path(__file__).with_name("KNOWN-RED.txt")
KNOWN_FAILURE_PREFIX = "test: "

# Derives the generated examples from the test alone, so that every run gives the same result.
settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")


def read_known_failures() -> list[str]:
    """Return the test ids listed in `KNOWN-RED.txt`, or an empty list if there is no such file."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    return [
        line.removeprefix(KNOWN_FAILURE_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_FAILURE_PREFIX)
    ]


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the known failures that were deselected from the run."""
    for test_id in read_known_failures():
        terminalreporter.write_line(f"known red, not run: {test_id}")


def pytest_collection_modifyitems(config, items) -> None:
    """Deselect exactly the tests that are listed as known failures."""
    known_failures = set(read_known_failures())
    deselected = [item for item in items if item.nodeid in known_failures]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in known_failures]
        config.hook.pytest_deselected(items=deselected)
