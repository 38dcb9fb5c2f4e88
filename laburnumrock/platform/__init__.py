"""Adapter to the platform of the users: its settings, configs, registrations and headers.

Names of the platform appear in this package only. It translates them into the project's own types
and back, and decides nothing.
"""
