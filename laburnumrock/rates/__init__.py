"""Limits on rates, without I/O."""

from laburnumrock.rates._request_limit import RequestLimit
from laburnumrock.rates._token_bucket import TokenBucket

__all__ = ["RequestLimit", "TokenBucket"]
