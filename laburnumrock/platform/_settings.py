"""Decoding of the settings file that the platform gives to each process."""

import tomllib
from pathlib import Path

from result import Err, Ok, Result

from laburnumrock.dispatch import DispatchSettings
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.nodes import NodeListen, NodeSettings

SETTINGS_VARIABLE = "LABURNUMROCK_CONFIG"
STALE_HEARTBEAT_INTERVALS = 1.6
"""Heartbeat intervals without a heartbeat after which an engine is used only as a last resort."""
EXPIRY_HEARTBEAT_INTERVALS = 3.0
"""Heartbeat intervals without a heartbeat after which an engine expires.

Heartbeats can arrive seconds late.
"""
RETENTION_S = 30.0
"""Time for which the entry of an engine is kept after its last heartbeat.

Heartbeats delayed by a network partition arrive within this time.
"""
RETRY_BUDGET_FRACTION = 0.6
"""Fraction of the retry budget that one leader uses, because its successor counts from zero."""


def load_settings(path: Path) -> Result[NodeSettings, Failure]:
    """Read the settings file of a process.

    Parameters
    ----------
    path : Path
        TOML file.

    Returns
    -------
    Result
        The settings, or a failure of kind ``invalid_settings`` that names the invalid field.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        return Ok(decode_settings(document))
    except KeyError as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, f"{path}: {error} is missing"))
    except (OSError, ValueError, TypeError, AttributeError, LookupError, OverflowError) as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, f"{path}: {error}"))


def decode_settings(document: dict) -> NodeSettings:
    """Translate a parsed settings file into the settings of a node."""
    listen = document["listen"]
    bounds = document["bounds"]
    host, port = split_address(listen.get("front") or listen["control"])
    readiness = listen.get("readiness_address")
    data_folder = document.get("data_dir")
    heartbeat_s = document["heartbeat_ms"] / 1000
    return NodeSettings(
        instance_id=document["ip"],
        failure_domain=document["zone"],
        listen=NodeListen(
            host=host,
            caller_port=port,
            # Not a platform setting; used when a proxy forwards connections to each node.
            peer_port=document.get("peer_bind_port", document["port_range"][0]),
            target_port=document["port_range"][0],
        ),
        cores=tuple(split_address(seed)[0] for seed in document["seeds"]),
        data_folder=Path(data_folder) if data_folder else None,
        may_bootstrap=document["bootstrap"],
        readiness=split_address(readiness) if readiness else None,
        tolerated_losses=max(1, document.get("fault_tolerance", {}).get("machines", 1)),
        shutdown_timeout_s=float(bounds["grace_s"]),
        dispatch=DispatchSettings(
            retry_ratio=bounds["retry_ratio"] * RETRY_BUDGET_FRACTION,
            retry_slack=bounds["retry_slack"] * RETRY_BUDGET_FRACTION,
            retry_window_s=float(bounds["retry_window_s"]),
            expiry_s=EXPIRY_HEARTBEAT_INTERVALS * heartbeat_s,
            stale_after_s=STALE_HEARTBEAT_INTERVALS * heartbeat_s,
            retention_s=RETENTION_S,
        ),
    )


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
