"""Placeholder of the charts package."""
