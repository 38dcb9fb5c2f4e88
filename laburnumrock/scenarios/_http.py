"""Blocking HTTP client and port reservation for the process runner."""

import json
import os
import random
import socket
import urllib.error
import urllib.request
from dataclasses import dataclass

# Below the kernel's ephemeral port range: a port in that range could be taken by an outgoing
# connection before its listener starts.
FIRST_PORT = 12_000
LAST_PORT = 32_000
# A deployment of 15 instances with links between all of them needs 330 ports.
PORT_BLOCK_SIZE = 500
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


@dataclass(slots=True)
class PortReservation:
    """Free TCP ports reserved against other process runners until released.

    Parameters
    ----------
    ports : list of int
        Reserved ports.
    guard_socket : socket.socket
        Bound to the first port of the block, so that other runners skip the block.
    """

    ports: list[int]
    guard_socket: socket.socket

    def release(self) -> None:
        """Release the block of ports."""
        self.guard_socket.close()


def reserve_ports(count: int, host: str = "127.0.0.1") -> PortReservation:
    """Reserve free TCP ports; concurrent runners get different blocks.

    Without a reservation, another runner could take a port between this check and the start of
    the listener.
    """
    starts = list(range(FIRST_PORT, LAST_PORT - PORT_BLOCK_SIZE, PORT_BLOCK_SIZE))
    random.Random(os.urandom(8)).shuffle(starts)
    for start in starts:
        guard_socket = socket.socket()
        try:
            guard_socket.bind((host, start))
        except OSError:
            guard_socket.close()
            continue
        ports = [port for port in range(start + 1, start + PORT_BLOCK_SIZE) if _is_free(host, port)]
        if len(ports) >= count:
            return PortReservation(ports[:count], guard_socket)
        guard_socket.close()
    raise OSError(f"found no port block with {count} free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True
