"""Settings of the whole test run."""

from hypothesis import settings

# The examples depend on the test alone, so that every run gives the same verdict.
settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")
