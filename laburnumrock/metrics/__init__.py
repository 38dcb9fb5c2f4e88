"""Placeholder of the metrics package."""
