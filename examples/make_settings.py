"""Write the settings files of 15 instances on loopback, with their key files.

Voters are spread over the failure domains, starting with the first instance of each. Existing keys
are kept, so that operators are not locked out by a second run with another port range.
"""

import json
import secrets
from pathlib import Path

import click

FAILURE_DOMAINS = ("fd-1", "fd-2", "fd-3")
INSTANCES_PER_DOMAIN = 5
KEY_BYTES = 32
HOST = "127.0.0.1"
PORTS_PER_INSTANCE = 2


def make_peers(base_port: int, voters: int) -> list[dict]:
    """Return the addresses of all instances.

    Parameters
    ----------
    base_port : int
        First port; each instance takes two consecutive ports.
    voters : int
        Number of voters.

    Returns
    -------
    list of dict
        Entries for the ``peers`` setting, ordered by failure domain.
    """
    domains = len(FAILURE_DOMAINS)
    peers = []
    for domain_index, domain in enumerate(FAILURE_DOMAINS):
        for number in range(INSTANCES_PER_DOMAIN):
            caller_port = base_port + PORTS_PER_INSTANCE * len(peers)
            peers.append(
                {
                    "instance_id": f"{domain}-{number + 1}",
                    "failure_domain": domain,
                    "host": HOST,
                    "caller_port": caller_port,
                    "peer_port": caller_port + 1,
                    "voter": number * domains + domain_index < voters,
                }
            )
    return peers


def write_settings(folder: Path, base_port: int, voters: int = 3) -> list[Path]:
    """Write the settings of all instances.

    Parameters
    ----------
    folder : Path
        Folder to write to; it is created if missing.
    base_port : int
        First port.
    voters : int
        Number of voters; each gets a data folder.

    Returns
    -------
    list of Path
        Settings files in the order of `make_peers`.
    """
    folder = folder.resolve()
    folder.mkdir(parents=True, exist_ok=True)
    for name in ("shared.key", "operator.key"):
        _write_key(folder / name)
    peers = make_peers(base_port, voters)
    paths = []
    for seed, peer in enumerate(peers):
        path = folder / f"{peer['instance_id']}.json"
        settings = _make_settings(folder, peer, peers, seed)
        path.write_text(json.dumps(settings, indent=2) + "\n", encoding="utf-8")
        paths.append(path)
    return paths


def _make_settings(folder: Path, peer: dict, peers: list[dict], seed: int) -> dict:
    settings = {
        "instance_id": peer["instance_id"],
        "failure_domain": peer["failure_domain"],
        "listen": {name: peer[name] for name in ("host", "caller_port", "peer_port")},
        "shared_key_file": str(folder / "shared.key"),
        "operator_key_file": str(folder / "operator.key"),
        "log_file": str(folder / f"{peer['instance_id']}.log"),
        "peers": peers,
        "seed": seed,
    }
    if peer["voter"]:
        settings["data_folder"] = str(folder / f"{peer['instance_id']}.data")
    return settings


def _write_key(path: Path) -> None:
    if path.exists():
        return
    path.touch(mode=0o600)
    path.write_text(secrets.token_hex(KEY_BYTES) + "\n", encoding="utf-8")


@click.command(help=__doc__)
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
@click.argument("base_port", type=click.IntRange(1_024, 65_535 - 2 * 15))
@click.option("--voters", type=click.Choice(["3", "5"]), default="3", show_default=True)
def main(folder: Path, base_port: int, voters: str) -> None:
    """Write the files and print the path of each settings file."""
    for path in write_settings(folder, base_port, int(voters)):
        click.echo(path)


if __name__ == "__main__":
    main()
