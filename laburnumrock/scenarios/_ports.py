"""Free TCP ports for the process runner and for tests."""

import itertools
import os
import random
import socket
from collections.abc import Iterator
from dataclasses import dataclass

# Below the kernel's ephemeral port range: a port in that range could be taken by an outgoing
# connection before its listener starts.
FIRST_PORT = 12_000
LAST_PORT = 32_000
# A deployment of 15 instances with links between all of them needs 330 ports.
PORT_BLOCK_SIZE = 500


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


def find_free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return free TCP ports from a block that this process reserves until it ends.

    A port is returned again only after all others of the block, so a test that opens its ports
    later finds them free.

    Parameters
    ----------
    count : int, > 0
        Number of ports, at most as many as a block has.
    host : str
        Address on which the ports are free; the empty string stands for all.
    """
    ports: list[int] = []
    for port in itertools.islice(_own_ports, PORT_BLOCK_SIZE):
        if _is_free(host, port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError(f"found no {count} free ports in the block of this process")


def _iterate_own_ports() -> Iterator[int]:
    """Yield the ports of the reserved block again and again."""
    # The reservation ends with the process, which closes its socket.
    reservation = reserve_ports(1)
    start = reservation.guard_socket.getsockname()[1]
    while True:
        yield from range(start + 1, start + PORT_BLOCK_SIZE)


_own_ports = _iterate_own_ports()
