"""Tests of the choice of free ports."""

import subprocess
import sys

from laburnumrock.scenarios import find_free_ports

# Default of Linux.
FIRST_EPHEMERAL_PORT = 32_768
PRINT_PORTS = (
    "import time; from laburnumrock.scenarios import find_free_ports;"
    "print(*find_free_ports(50), flush=True); time.sleep(60)"
)


class TestFindFreePorts:
    def test_processes_get_different_ports(self):
        """Guards against a port that another process opens before its listener starts here."""
        processes = [
            subprocess.Popen([sys.executable, "-c", PRINT_PORTS], stdout=subprocess.PIPE, text=True)
            for _ in range(3)
        ]
        try:
            ports = [process.stdout.readline().split() for process in processes]
        finally:
            for process in processes:
                process.kill()
                process.communicate()
        ports.append([str(port) for port in find_free_ports(50)])
        assert len({port for group in ports for port in group}) == 200

    def test_outgoing_connections_take_none_of_the_ports(self):
        """Guards against "address already in use", as an outgoing connection got the port."""
        assert max(find_free_ports(100)) < FIRST_EPHEMERAL_PORT

    def test_a_port_is_not_returned_twice_in_a_row(self):
        """Guards against two listeners of a test on one port."""
        assert not set(find_free_ports(100)) & set(find_free_ports(100))
