"""Run the example deployment of one user on loopback until Ctrl-C.

Starts 15 entry instances in 3 failure domains, 20 model engines, 3 application engines and a load
balancer, and applies the declarations in FOLDER (examples/tianguang or examples/agencia) with the
command-line tool. Settings, keys, logs and data are written to the working folder and kept, so that
a second run continues from them.
"""

import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import click
from make_settings import FAILURE_DOMAINS, HOST, make_peers, write_settings

from laburnumrock.declarations import DeclarationSet, read_folder

SOURCE_FOLDER = Path(__file__).resolve().parents[1]
DAEMON = ("-m", "laburnumrock.daemon")
STANDINS = ("-m", "laburnumrock.standins")
CLI = ("-m", "laburnumrock.cli")
MODEL_ENGINES = 20
READY_TIMEOUT_S = 20.0
# A planned stop takes the balancer's grace period plus the time of the running requests.
STOP_TIMEOUT_S = 20.0
POLL_S = 0.1
# Order of ports from the first: two per instance, then the upstreams, then the balancer.
UPSTREAM_PORT_OFFSET = 30
APPLICATION_PORT_OFFSET = UPSTREAM_PORT_OFFSET + MODEL_ENGINES
BALANCER_PORT_OFFSET = APPLICATION_PORT_OFFSET + 2 * len(FAILURE_DOMAINS)
LAST_PORT_OFFSET = BALANCER_PORT_OFFSET


@dataclass(frozen=True, slots=True)
class Command:
    """One process of the deployment.

    Parameters
    ----------
    name : str
        Unique name; the output goes to ``NAME.out`` in the working folder.
    arguments : tuple of str
        Arguments of the Python interpreter.
    url : str
        URL that is printed for the user.
    """

    name: str
    arguments: tuple[str, ...]
    url: str


def make_commands(
    work_folder: Path, declared: DeclarationSet, base_port: int, time_factor: float
) -> list[Command]:
    """Return the commands of all processes, the instances first.

    Parameters
    ----------
    work_folder : Path
        Folder with the settings files.
    declared : DeclarationSet
        Declarations; the upstreams serve the models, adapters and services that they name.
    base_port : int
        First port.
    time_factor : float, > 0
        Speed of the emulated engines as a multiple of a real engine's.

    Returns
    -------
    list of Command
        Instances, model engines, application engines and the balancer.
    """
    peers = make_peers(base_port, 0)
    commands = []
    for peer in peers:
        settings_file = work_folder / f"{peer['instance_id']}.json"
        arguments = (*DAEMON, "--settings", str(settings_file))
        commands.append(Command(peer["instance_id"], arguments, _make_url(peer["caller_port"])))
    commands += _make_engines(peers, declared, base_port, time_factor)
    commands += _make_applications(peers, declared, base_port)
    port = base_port + BALANCER_PORT_OFFSET
    arguments = [*STANDINS, "balancer", "--port", str(port)]
    for peer in peers:
        arguments += ["--backend", f"{HOST}:{peer['caller_port']}"]
    commands.append(Command("balancer", tuple(arguments), _make_url(port)))
    return commands


def _make_engines(
    peers: list[dict], declared: DeclarationSet, base_port: int, time_factor: float
) -> list[Command]:
    templates = declared.templates.values()
    names_by_option = [("--model", {template.model for template in templates})]
    names_by_option.append(
        ("--adapter", {template.adapter for template in templates if template.adapter})
    )
    names_by_option.append(
        ("--version", {template.version for template in templates if template.version})
    )
    options = [
        text
        for option, names in names_by_option
        for name in sorted(names)
        for text in (option, name)
    ]
    commands = []
    for index in range(MODEL_ENGINES):
        domain = FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)]
        name = f"{domain}-engine-{index // len(FAILURE_DOMAINS) + 1}"
        port = base_port + UPSTREAM_PORT_OFFSET + index
        arguments = (*STANDINS, "engine", *_make_identity(name, domain, peers), *options)
        arguments += ("--base-port", str(port), "--time-factor", str(time_factor))
        commands.append(Command(name, (*arguments, "--seed", str(index)), _make_url(port)))
    return commands


def _make_applications(
    peers: list[dict], declared: DeclarationSet, base_port: int
) -> list[Command]:
    options = [text for name in declared.services for text in ("--service", name)]
    commands = []
    for index, domain in enumerate(FAILURE_DOMAINS):
        name = f"{domain}-application-1"
        port = base_port + APPLICATION_PORT_OFFSET + 2 * index
        arguments = (*STANDINS, "application", *_make_identity(name, domain, peers), *options)
        arguments += ("--port", str(port), "--control-port", str(port + 1))
        commands.append(Command(name, arguments, _make_url(port)))
    return commands


def _make_identity(name: str, domain: str, peers: list[dict]) -> list[str]:
    arguments = ["--id", name, "--failure-domain", domain]
    for peer in peers:
        if peer["failure_domain"] == domain:
            arguments += ["--announce-to", f"{HOST}:{peer['caller_port']}"]
    return arguments


def _make_url(port: int) -> str:
    return f"http://{HOST}:{port}"


def check_ports(base_port: int) -> None:
    """Check that all ports are free, so that no other server answers for the deployment.

    Raises
    ------
    click.ClickException
        If a port of the range is in use.
    """
    for port in range(base_port, base_port + LAST_PORT_OFFSET + 1):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError as error:
                detail = f"port {port}: {error.strerror}; choose another --base-port"
                raise click.ClickException(detail) from error


@contextmanager
def run_processes(
    commands: list[Command], work_folder: Path
) -> Iterator[dict[str, subprocess.Popen]]:
    """Run the processes until the end of the ``with`` block, then stop them with SIGTERM."""
    running: dict[str, subprocess.Popen] = {}
    try:
        for command in commands:
            with (work_folder / f"{command.name}.out").open("ab") as output:
                running[command.name] = subprocess.Popen(
                    [sys.executable, *command.arguments],
                    stdin=subprocess.DEVNULL,
                    stdout=output,
                    stderr=subprocess.STDOUT,
                    env=_make_environment(),
                    # Ctrl-C must reach only this program, which stops the processes in order.
                    start_new_session=True,
                )
        yield running
    finally:
        _stop(running)


def _stop(running: dict[str, subprocess.Popen]) -> None:
    for process in running.values():
        process.send_signal(signal.SIGTERM)
    deadline_s = time.monotonic() + STOP_TIMEOUT_S
    for process in running.values():
        try:
            process.wait(max(0.0, deadline_s - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _make_environment() -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": str(SOURCE_FOLDER)}


def wait_until_ready(
    commands: list[Command], running: dict[str, subprocess.Popen], timeout_s: float
) -> None:
    """Wait until every instance accepts new requests.

    Raises
    ------
    click.ClickException
        If a process ends, for example because its port is in use, or an instance is not ready in
        time.
    """
    pending_commands = [command for command in commands if command.arguments[:2] == DAEMON]
    deadline_s = time.monotonic() + timeout_s
    while pending_commands:
        pending_commands = [
            command for command in pending_commands if not _responds_ok(f"{command.url}/ready")
        ]
        ended = sorted(name for name, process in running.items() if process.poll() is not None)
        if ended:
            raise click.ClickException(f"processes ended, see their .out files: {', '.join(ended)}")
        if pending_commands and time.monotonic() > deadline_s:
            names = ", ".join(command.name for command in pending_commands)
            raise click.ClickException(f"instances not ready within {timeout_s:g} s: {names}")
        time.sleep(POLL_S)


def _responds_ok(url: str) -> bool:
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(url, timeout=1.0) as response:
            return response.status == 200
    except (OSError, urllib.error.URLError):
        return False


def apply_declarations(folder: Path, work_folder: Path, server: str) -> None:
    """Apply a folder with the command-line tool, and wait until it is in force everywhere."""
    options = ("--server", server, "--operator-key-file", str(work_folder / "operator.key"))
    arguments = [sys.executable, *CLI, *options, "apply", str(folder), "--wait"]
    result = subprocess.run(arguments, env=_make_environment())
    if result.returncode:
        raise click.ClickException(f"laburnumrock apply failed with exit code {result.returncode}")


@click.command(help=__doc__)
@click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
@click.option(
    "--work-folder",
    type=click.Path(path_type=Path, file_okay=False),
    default="deployment",
    show_default=True,
    help="Folder for settings, keys, logs and data.",
)
@click.option(
    "--base-port",
    type=click.IntRange(1_024, 65_535 - LAST_PORT_OFFSET),
    default=20_000,
    show_default=True,
    help="First port of the range.",
)
@click.option("--voters", type=click.Choice(["3", "5"]), default="3", show_default=True)
@click.option(
    "--time-factor",
    type=click.FloatRange(min=0.1),
    default=4.0,
    show_default=True,
    help="Speed of the emulated engines, as a multiple of a real engine's.",
)
def main(folder: Path, work_folder: Path, base_port: int, voters: str, time_factor: float) -> None:
    """Start the processes, apply the declarations and wait for Ctrl-C."""
    declared = read_folder(folder)
    if declared.is_err():
        raise click.ClickException(str(declared.unwrap_err()))
    check_ports(base_port)
    write_settings(work_folder, base_port, int(voters))
    commands = make_commands(work_folder, declared.unwrap(), base_port, time_factor)
    # The default action of SIGTERM would leave the processes running, and a shell starts background
    # jobs with SIGINT ignored.
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, signal.default_int_handler)
    try:
        with run_processes(commands, work_folder) as running:
            wait_until_ready(commands, running, READY_TIMEOUT_S)
            apply_declarations(folder, work_folder, commands[0].url)
            for command in commands:
                click.echo(f"{command.name:<20} {command.url}")
            click.echo(f"operator key: {work_folder / 'operator.key'}")
            click.echo("running until Ctrl-C")
            signal.pause()
    except KeyboardInterrupt:
        click.echo("stopped")


if __name__ == "__main__":
    main()
