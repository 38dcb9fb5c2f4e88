"""Signals of the platform, which are held while no handler is installed."""

import signal

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that the event loop handles; without its handlers each of them ends the process."""


def hold_signals() -> None:
    """Let signals wait, while the process starts or after its event loop has closed."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def deliver_signals() -> None:
    """Deliver signals to their handlers, those first that came meanwhile."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
