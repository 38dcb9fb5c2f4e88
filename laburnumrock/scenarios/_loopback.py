"""Instance settings with free loopback ports, for tests and benchmarks in one process."""

from pathlib import Path

from laburnumrock.scenarios._ports import find_free_ports
from laburnumrock.settings import InstanceSettings


def make_loopback_settings(
    folder: Path, voters: list[str], others: list[str] = (), **extra: object
) -> dict[str, InstanceSettings]:
    """Make instance settings; the first letter of a name is its failure domain.

    Parameters
    ----------
    folder : Path
        Parent of the data folders of the voters.
    voters, others : list of str
        Names of the instances with and without a replica of the log.
    **extra
        Additional fields of the settings.
    """
    names = [*voters, *others]
    ports = find_free_ports(2 * len(names))
    peers = [
        {
            "instance_id": name,
            "failure_domain": name[0],
            "host": "127.0.0.1",
            "caller_port": ports[2 * index],
            "peer_port": ports[2 * index + 1],
            "voter": name in voters,
        }
        for index, name in enumerate(names)
    ]
    result = {}
    for index, peer in enumerate(peers):
        name = peer["instance_id"]
        document = {
            "instance_id": name,
            "failure_domain": peer["failure_domain"],
            "listen": {key: peer[key] for key in ("host", "caller_port", "peer_port")},
            "shared_key_file": "key",
            "operator_key_file": "key",
            "peers": peers,
            "seed": index,
            **extra,
        }
        if name in voters:
            document["data_folder"] = str(folder / name)
        result[name] = InstanceSettings.model_validate(document)
    return result
