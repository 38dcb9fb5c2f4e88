"""Signals that are held while no handler for them is installed."""

from laburnumrock.signals._signals import deliver_signals, hold_signals

__all__ = ["deliver_signals", "hold_signals"]
