"""Limits on rates, without I/O."""

from laburnumrock.rates._token_bucket import TokenBucket

__all__ = ["TokenBucket"]
