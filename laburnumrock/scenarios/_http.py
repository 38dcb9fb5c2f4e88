"""Blocking HTTP client for the process runner."""

import json
import urllib.error
import urllib.request
from dataclasses import dataclass

DEFAULT_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Response to an HTTP request.

    Parameters
    ----------
    status : int
        HTTP status, or 0 if there was no response.
    headers : dict of str to str
        Headers, with names in lower case.
    body : bytes
        Response body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> object:
        """Return the body parsed as JSON."""
        return json.loads(self.body)


def request_json(
    url: str,
    body: object = None,
    method: str | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> HttpResponse:
    """Send an HTTP request with an optional JSON body; connection errors give status 0.

    Parameters
    ----------
    url : str
        Target of the request.
    body : object, optional
        Request body, encoded as JSON.
    method : str, optional
        Default is ``POST`` if there is a body and ``GET`` otherwise.
    headers : dict of str to str, optional
        Additional headers.
    timeout_s : float
        Timeout in seconds.

    Returns
    -------
    HttpResponse
        The response, whatever its status.
    """
    data = None if body is None else json.dumps(body).encode()
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    method = method or ("GET" if data is None else "POST")
    request = urllib.request.Request(url, data, all_headers, method=method)
    # Ignores proxy settings of the environment, as all targets are on loopback.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout_s) as response:
            return HttpResponse(
                response.status, _lower_case_names(response.headers), response.read()
            )
    except urllib.error.HTTPError as error:
        return HttpResponse(error.code, _lower_case_names(error.headers), error.read())
    except (OSError, ValueError):
        return HttpResponse(0, {}, b"")


def _lower_case_names(headers) -> dict[str, str]:
    return {name.lower(): value for name, value in headers.items()}
