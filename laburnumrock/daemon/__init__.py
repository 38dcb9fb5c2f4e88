"""Placeholder of the daemon package."""
