"""Small blocking HTTP client and free ports for the process runner."""

import json
import os
import random
import socket
import urllib.error
import urllib.request
from dataclasses import dataclass

# Below the range from which the kernel takes ports of outgoing connections; a port from that
# range could be in use by a connection when its listener starts.
FIRST_PORT = 12_000
LAST_PORT = 32_000
DEFAULT_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Answer of an HTTP call.

    Parameters
    ----------
    status : int
        HTTP status, 0 without an answer.
    headers : dict of str to str
        Headers with lower-case names.
    body : bytes
        Body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> object:
        """Return the body as JSON."""
        return json.loads(self.body)


def request_json(
    url: str,
    body: object = None,
    method: str | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> HttpAnswer:
    """Call a URL with an optional JSON body; connection errors give status 0.

    Parameters
    ----------
    url : str
        Where to send the call.
    body : object, optional
        Sent as JSON.
    method : str, optional
        ``GET`` without and ``POST`` with a body by default.
    headers : dict of str to str, optional
        Further headers.
    timeout_s : float
        Longest wait in seconds.

    Returns
    -------
    HttpAnswer
        The answer, whatever its status.
    """
    data = None if body is None else json.dumps(body).encode()
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    method = method or ("GET" if data is None else "POST")
    request = urllib.request.Request(url, data, all_headers, method=method)
    # Proxies from the environment must not get between processes on loopback.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout_s) as answer:
            return HttpAnswer(answer.status, _lower(answer.headers), answer.read())
    except urllib.error.HTTPError as error:
        return HttpAnswer(error.code, _lower(error.headers), error.read())
    except (OSError, ValueError):
        return HttpAnswer(0, {}, b"")


def _lower(headers) -> dict[str, str]:
    return {name.lower(): value for name, value in headers.items()}


def find_free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return free TCP ports; runs at the same time start their search at different places."""
    span = LAST_PORT - FIRST_PORT
    start = random.Random(f"{os.getpid()}/{os.urandom(4).hex()}").randrange(span)
    ports: list[int] = []
    for offset in range(span):
        port = FIRST_PORT + (start + offset) % span
        if _is_free(host, port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError(f"fewer than {count} free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True
