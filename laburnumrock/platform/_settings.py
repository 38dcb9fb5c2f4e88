"""Settings file of the platform."""

import tomllib
from pathlib import Path

from result import Err, Ok, Result

from laburnumrock.dispatch import DispatchSettings
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.nodes import NodeListen, NodeSettings

SETTINGS_VARIABLE = "LABURNUMROCK_CONFIG"
HEARTBEATS_UNTIL_DOUBT = 1.6
"""Intervals of silence after which an engine gets work only if there is no other."""
HEARTBEATS_UNTIL_EXPIRY = 3.0
"""Heartbeats that an engine may miss; they can arrive seconds late."""
FORGET_S = 30.0
"""Heartbeats delayed by a partition arrive within this time."""
BUDGET_SHARE = 0.6
"""Part of the retry slack that one leader uses; its successor starts to count anew."""


def load_settings(path: Path) -> Result[NodeSettings, Failure]:
    """Read the settings file of a process.

    Parameters
    ----------
    path : Path
        TOML file.

    Returns
    -------
    Result
        The settings, or a failure of kind ``invalid_settings`` that names the field.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        return Ok(decode_settings(document))
    except KeyError as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, f"{path}: {error} is missing"))
    except (OSError, ValueError, TypeError) as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, f"{path}: {error}"))


def decode_settings(document: dict) -> NodeSettings:
    """Translate the fields of a settings file."""
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
            # Not a field of the platform: set where a forwarder stands before each node.
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
            retry_ratio=bounds["retry_ratio"] * BUDGET_SHARE,
            retry_slack=bounds["retry_slack"] * BUDGET_SHARE,
            retry_window_s=float(bounds["retry_window_s"]),
            expiry_s=HEARTBEATS_UNTIL_EXPIRY * heartbeat_s,
            stale_after_s=HEARTBEATS_UNTIL_DOUBT * heartbeat_s,
            retention_s=FORGET_S,
        ),
    )


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
