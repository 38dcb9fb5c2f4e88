"""Placeholder of the gateway package."""
