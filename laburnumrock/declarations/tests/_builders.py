"""Builders of declarations and settings for tests."""

from laburnumrock.settings import InstanceSettings


def plain_template(account="acme", **fields):
    template = {
        "type": "template",
        "client_account": account,
        "model": "m",
        "limits": {"requests_per_s": 5, "tokens_per_s": 1000, "concurrency": 4},
        "deadlines": {"short_s": 5, "medium_s": 30, "long_s": 300},
        "max_output_tokens": 100,
    }
    return template | fields


def put(plain):
    return {"action": "put", "declaration": plain}


def drain(name, kind="failure_domain", state="drained"):
    return put({"type": "service_state", "kind": kind, "name": name, "state": state})


def make_settings(instance_id, domains=3, per_domain=5, voters=("a1", "b1", "c1")):
    peers = []
    for domain in "abcdefghij"[:domains]:
        for number in range(1, per_domain + 1):
            name = f"{domain}{number}"
            port = 1_000 + 2 * len(peers)
            peer = {"instance_id": name, "failure_domain": domain, "host": "127.0.0.1"}
            ports = {"caller_port": port, "peer_port": port + 1}
            peers.append(peer | ports | {"voter": name in voters})
    own = next(peer for peer in peers if peer["instance_id"] == instance_id)
    document = {
        "instance_id": instance_id,
        "failure_domain": own["failure_domain"],
        "listen": {name: own[name] for name in ("host", "caller_port", "peer_port")},
        "shared_key_file": "x",
        "operator_key_file": "x",
        "data_folder": "x",
        "peers": peers,
    }
    return InstanceSettings.model_validate(document)
