"""Composition and life cycle of the daemon."""
