"""Placeholder of the standins package."""
