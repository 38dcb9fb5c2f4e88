"""Signals that are held while no handler for them is installed."""

import signal
from collections.abc import Iterable


def hold_signals(numbers: Iterable[signal.Signals]) -> None:
    """Let signals wait, while the process starts or after its event loop has closed.

    Notes
    -----
    The mask holds for the calling thread and for those that it starts later. A thread that was
    started while the signals were not held still gets them.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)


def deliver_signals(numbers: Iterable[signal.Signals]) -> None:
    """Deliver signals to their handlers, those first that came meanwhile."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
