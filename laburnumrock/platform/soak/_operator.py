"""Simulated operator, and the control calls to cores."""

import asyncio
import json
import random
import time
from dataclasses import dataclass

from laburnumrock.platform.soak._callers import API_KEY, HOSTNAME, IDLE_TIMEOUT_S
from laburnumrock.platform.soak._findings import Findings
from laburnumrock.platform.soak._upstreams import ACCOUNT, SLOTS

STREAM_ATTEMPTS = 3
"""Upstreams on which a stream may run."""
CALL_TIMEOUT_S = 1.0
CHANGE_TIMEOUT_S = 12.0
"""Time after which a change without a definite response is abandoned.

Faults of cores are shorter.
"""
PROPAGATION_S = 2.0
"""Time within which an acknowledged change must be in force on every entry."""


async def call_core(
    host: str, port: int, method: str, path: str, body: bytes, timeout_s: float = CALL_TIMEOUT_S
) -> tuple[int, bytes]:
    """Send one request to a core; raises OSError or TimeoutError if there is no response."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: core\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            response_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower()
            length = int(response_head.partition("content-length: ")[2].split("\r\n")[0])
            return int(response_head.split()[1]), await reader.readexactly(length)
        finally:
            writer.transport.abort()


def make_routes(version: int) -> bytes:
    """Return a route configuration whose last route has the version in its path."""
    common = {"hostname": HOSTNAME, "latency_goal_ms": 500, "timeout_ms": 5000, "priority": 1}
    stream = {"type": "streaming", "resumable": True, "gap_target_ms": 200}
    stream["max_attempts"] = STREAM_ATTEMPTS
    once = {"type": "non_idempotent", "max_attempts": 1}
    again = {"type": "idempotent", "max_attempts": 3}
    probe = {"type": "idempotent", "max_attempts": 1}
    routes = [
        {"name": "stream", "path_prefix": "/stream/", "service": "llm", **stream, **common},
        {"name": "once", "path_prefix": "/once/", "service": "app", **once, **common},
        {"name": "again", "path_prefix": "/again/", "service": "app", **again, **common},
        {"name": "probe", "path_prefix": f"/v{version}/", "service": "app", **probe, **common},
    ]
    engine = {
        "slots": SLOTS,
        "kv_capacity": 450_000,
        "stride": 46,
        "step_ms": 0.5,
        "per_seq_ms": 0.01,
        "context_per_k": 0.002,
        "read_per_s": 2_000_000.0,
        "pairs_per_m": 0.001,
        "chunk": 2048,
    }
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": "llm", "engine": engine}, {"name": "app"}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": int(IDLE_TIMEOUT_S * 1000),
        },
        "tenants": [{"name": ACCOUNT, "api_keys": [API_KEY]}],
    }
    return json.dumps(document).encode()


@dataclass(slots=True)
class Operator:
    """Operator that submits route configurations and checks what cores and entries serve.

    Parameters
    ----------
    cores : list of (str, int)
        Control addresses of the cores.
    findings : Findings
        Records violated guarantees.
    source : random.Random
        Random source for the choice of cores.
    version : int
        Last version that was submitted.
    acknowledged_version : int
        Highest version that was acknowledged.
    """

    cores: list[tuple[str, int]]
    findings: Findings
    source: random.Random
    version: int = 0
    acknowledged_version: int = 0

    async def send(self, method: str, path: str, body: bytes = b"") -> int | None:
        """Retry a change until a status below 500 arrives, and return it; None on timeout."""
        deadline_s = time.monotonic() + CHANGE_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                status, _ = await call_core(*self.source.choice(self.cores), method, path, body)
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                status = 0
            if status and status < 500:
                return status
            await asyncio.sleep(0.1)
        return None

    async def change_routes(self) -> None:
        """Submit the next version and expect an acknowledgement."""
        self.version += self.source.randint(1, 3)
        version = self.version
        status = await self.send("PUT", "/laburnumrock/config", make_routes(version))
        if status == 200:
            self.acknowledged_version = max(self.acknowledged_version, version)
        elif status is not None:
            self.findings.report(
                "valid configurations are accepted", f"version {version}: {status}"
            )
        self.findings.counts["change acknowledged" if status == 200 else "change unclear"] += 1

    async def send_invalid_routes(self) -> None:
        """Submit a configuration with a route to an undefined service."""
        document = json.loads(make_routes(self.version + 1))
        document["routes"][0]["service"] = "none"
        status = await self.send("PUT", "/laburnumrock/config", json.dumps(document).encode())
        if status is not None and status < 400:
            self.findings.report("invalid configurations are rejected", f"{status}")

    async def evacuate(self, zone: str, duration_s: float) -> None:
        """Drain a zone, and return it to service after a while."""
        await self.send("POST", f"/laburnumrock/evacuations/{zone}")
        await asyncio.sleep(duration_s)
        await self.send("DELETE", f"/laburnumrock/evacuations/{zone}")

    async def check_routes(self) -> int | None:
        """Read the configuration from a core, and check that it is not older than acknowledged."""
        expected = self.acknowledged_version
        try:
            response = await call_core(
                *self.source.choice(self.cores), "GET", "/laburnumrock/config", b""
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return None
        status, body = response
        self.findings.counts[f"read {status}"] += 1
        if status != 200:
            return None
        version = json.loads(body)["version"]
        if version < expected:
            self.findings.report("reads never return older versions", f"{version} after {expected}")
        return version

    async def check_propagation(self, entries: list[tuple[str, int]]) -> None:
        """Check that every entry applies the newest version if no fault or change intervenes."""
        version = self.acknowledged_version
        since_s = time.monotonic()
        await asyncio.sleep(PROPAGATION_S)
        if version != self.version or not self.findings.is_fault_free_since(since_s):
            return
        for host, port in entries:
            try:
                status, _ = await call_entry(host, port, f"/v{version}/x")
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                status = 0
            unchanged = version == self.version and self.findings.is_fault_free_since(since_s)
            if status == 404 and unchanged:
                self.findings.report(
                    "changes take effect on entries", f"{host} lacks version {version}"
                )


async def call_entry(host: str, port: int, path: str) -> tuple[int, bytes]:
    """Send a probe request to an entry, and return the status with an empty body."""
    async with asyncio.timeout(CALL_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"GET {path} HTTP/1.1", f"Host: {HOSTNAME}", "Request-Id: probe"]
            lines += [f"Authorization: Token {API_KEY}", "Deadline-Ms: 900"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            return int(head.split()[1]), b""
        finally:
            writer.transport.abort()
