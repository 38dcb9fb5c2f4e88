"""Sample settings, route configuration and heartbeat as the platform sends them."""

import copy
import json

SETTINGS = """
node_name = "edge-a-1"
ip = "10.1.0.40"
zone = "zone-a"
port_range = [7340,7355]
seeds = ["10.1.0.43:8229","10.2.0.32:8229"]
bootstrap = true
heartbeat_ms = 1200
unknown_field = 7
[listen]
front = "10.1.0.40:8227"
readiness_address = "10.1.0.40:8220"
[fault_tolerance]
machines = 2
[bounds]
grace_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 219
"""

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "hostname": "A.example",
            "path_prefix": "/x/",
            "type": "streaming",
            "timeout_ms": 10000,
            "latency_goal_ms": 300,
            "priority": 1,
            "backends": [{"service": "llm", "weight": 90}, {"service": "app", "weight": 10}],
            "max_attempts": 2,
            "anonymous": False,
            "sticky": True,
            "resumable": True,
            "gap_target_ms": 200,
        },
        {
            "name": "r2",
            "hostname": "a.example",
            "path_prefix": "/y/",
            "type": "non_idempotent",
            "timeout_ms": 600,
            "latency_goal_ms": 100,
            "service": "app",
            "max_attempts": 1,
        },
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/healthz",
            "max_conns": 480,
            "cold_start_s": 3.0,
            "cold_per_s": 28.0,
            "engine": {
                "slots": 8,
                "kv_capacity": 450000,
                "stride": 46,
                "step_ms": 0.925,
                "per_seq_ms": 0.00966,
                "context_per_k": 0.00254,
                "read_per_s": 256000.0,
                "pairs_per_m": 0.0917,
                "chunk": 2048,
                "usual": {"prompt": 13229, "answer": 1541},
                "hop_ms": 0.1,
            },
        },
        {"name": "app", "health_path": "/healthz", "max_conns": 105},
    ],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "idle_timeout_ms": 15000},
    "tenants": [{"name": "one", "api_keys": ["k1", "k2"], "priority": 1}],
}

HEARTBEAT = {
    "service": "llm",
    "address": "10.128.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 1500,
    "sequence": 4,
    "born": 1700000000000,
}


def make_config(change=None) -> bytes:
    """Return `CONFIG` as JSON, after an optional function has modified a copy of it."""
    config = copy.deepcopy(CONFIG)
    if change is not None:
        change(config)
    return json.dumps(config).encode()
