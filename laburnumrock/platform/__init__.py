"""Adapter to the platform on which the system runs.

It reads and writes the platform's settings files, route configurations, heartbeats and HTTP
headers. The platform's own terms appear only in this package, which translates them into the
project's types and back and makes no decisions of its own.
"""
