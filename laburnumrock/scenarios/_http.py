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
# A deployment of 15 instances with links between all of them needs 330 ports.
BLOCK_PORTS = 500
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


@dataclass(slots=True)
class PortClaim:
    """Free TCP ports that no other runner uses until the claim is released.

    Parameters
    ----------
    ports : list of int
        The ports.
    guard : socket.socket
        Bound to the first port of the block, which excludes other runners from the block.
    """

    ports: list[int]
    guard: socket.socket

    def release(self) -> None:
        """Give the block back."""
        self.guard.close()


def claim_ports(count: int, host: str = "127.0.0.1") -> PortClaim:
    """Claim free TCP ports; two runners at the same time get different blocks.

    Without a claim, another runner could take a port between the search and the start of its
    listener.
    """
    starts = list(range(FIRST_PORT, LAST_PORT - BLOCK_PORTS, BLOCK_PORTS))
    random.Random(os.urandom(8)).shuffle(starts)
    for start in starts:
        guard = socket.socket()
        try:
            guard.bind((host, start))
        except OSError:
            guard.close()
            continue
        ports = [port for port in range(start + 1, start + BLOCK_PORTS) if _is_free(host, port)]
        if len(ports) >= count:
            return PortClaim(ports[:count], guard)
        guard.close()
    raise OSError(f"no block with {count} free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True
