"""Authentication of the client account of a request."""

import hashlib
import hmac

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from laburnumrock.declarations import DeclarationView, Template
from laburnumrock.errors import ErrorKind, Failure

ACCOUNT_HEADER = "X-Client-Account"
BEARER_PREFIX = "Bearer "


def identify_account(headers: HTTPHeaders, view: DeclarationView) -> Result[Template, Failure]:
    """Return the template of the client account named by a request and verify its API key.

    Parameters
    ----------
    headers : HTTPHeaders
        Request headers.
    view : DeclarationView
        Declarations currently applied by this instance.

    Returns
    -------
    Result
        The template, or a failure of kind ``unknown_client_account`` or ``unauthenticated``.
    """
    name = headers.get(ACCOUNT_HEADER)
    if name is None:
        detail = f"header {ACCOUNT_HEADER} is missing"
        return Err(Failure(ErrorKind.UNAUTHENTICATED, detail, field_path=ACCOUNT_HEADER))
    template = view.find_template(name)
    if template is None:
        detail = f"no template for client account {name!r}"
        return Err(Failure(ErrorKind.UNKNOWN_CLIENT_ACCOUNT, detail, field_path=ACCOUNT_HEADER))
    if template.api_key_sha256 is not None and not _has_key(headers, template.api_key_sha256):
        detail = f"wrong or missing key for client account {name!r}"
        return Err(Failure(ErrorKind.UNAUTHENTICATED, detail, field_path="Authorization"))
    return Ok(template)


def _has_key(headers: HTTPHeaders, expected_sha256: str) -> bool:
    authorization = headers.get("Authorization", "")
    if not authorization.startswith(BEARER_PREFIX):
        return False
    key = authorization.removeprefix(BEARER_PREFIX).encode()
    return hmac.compare_digest(hashlib.sha256(key).hexdigest(), expected_sha256)
