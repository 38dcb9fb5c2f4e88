"""Process runner that starts a deployment on loopback and injects faults into processes."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import laburnumrock
from laburnumrock.scenarios._deployment import Deployment
from laburnumrock.scenarios._plan import DeploymentPlan

POLL_S = 0.02
STOP_TIMEOUT_S = 3.0
LOG_TAIL_BYTES = 4_000
SOURCE_FOLDER = Path(laburnumrock.__file__).parents[1]


@dataclass(slots=True)
class ManagedProcess:
    """One process of a deployment.

    Parameters
    ----------
    name : str
        Unique name.
    command : list of str
        Arguments of the Python interpreter.
    log_file : Path
        File to which standard output and standard error are appended.
    data_folder : Path, optional
        Folder of the durable state.
    process : subprocess.Popen, optional
        The process, once started.
    variables : dict of str to str
        Environment variables in addition to those of this process.
    """

    name: str
    command: list[str]
    log_file: Path
    data_folder: Path | None = None
    process: subprocess.Popen | None = None
    variables: dict[str, str] = field(default_factory=dict)

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        if self.is_running:
            raise ValueError(f"{self.name} is running")
        if self.data_folder is not None:
            self.data_folder.mkdir(parents=True, exist_ok=True)
        environment = {**os.environ, "PYTHONPATH": str(SOURCE_FOLDER), "PYTHONUNBUFFERED": "1"}
        environment.update(self.variables)
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.command],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has exited."""
        if self.is_running:
            self.process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has exited."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the process to exit; returns its exit status, or ``None`` on timeout."""
        if self.process is None:
            return None
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def read_log(self) -> str:
        """Return the output of the process so far."""
        if not self.log_file.exists():
            return ""
        return self.log_file.read_text(encoding="utf-8", errors="replace")


@dataclass(slots=True)
class ProcessGroup:
    """Processes of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Addresses and files of the deployment.
    processes : dict of str to ManagedProcess
        Instances, upstreams, balancer and relay, by name.
    """

    deployment: Deployment
    processes: dict[str, ManagedProcess] = field(default_factory=dict)

    def start(self, *names: str) -> None:
        """Start processes."""
        for name in names:
            self.processes[name].start()

    def kill(self, *names: str) -> None:
        """Kill processes with SIGKILL, as ``kill -9`` does."""
        for name in names:
            self.processes[name].kill()

    def pause(self, *names: str) -> None:
        """Freeze processes with SIGSTOP."""
        for name in names:
            self.processes[name].send(signal.SIGSTOP)

    def resume(self, *names: str) -> None:
        """Continue frozen processes with SIGCONT."""
        for name in names:
            self.processes[name].send(signal.SIGCONT)

    def stop(self, name: str, timeout_s: float) -> int | None:
        """Send SIGTERM and wait; returns the exit status, or ``None`` on timeout."""
        self.processes[name].send(signal.SIGTERM)
        return self.processes[name].wait(timeout_s)

    def remove_data(self, name: str) -> None:
        """Simulate the loss of a disk: remove the data folder of a process that is not running."""
        process = self.processes[name]
        if process.is_running:
            raise ValueError(f"{name} is running")
        if process.data_folder is not None:
            shutil.rmtree(process.data_folder, ignore_errors=True)

    def read_log(self, name: str) -> str:
        """Return the output of a process so far."""
        return self.processes[name].read_log()

    def wait_for(self, condition: Callable[[], bool], timeout_s: float, description: str) -> float:
        """Poll a condition until it holds.

        Parameters
        ----------
        condition : callable
            Returns whether the wait is over.
        timeout_s : float
            Timeout in seconds.
        description : str
            Name of the condition for the error message.

        Returns
        -------
        float
            Time waited in seconds.

        Raises
        ------
        TimeoutError
            If the condition does not hold in time; the message includes the end of the log of
            processes that have exited.
        """
        started_s = time.monotonic()
        while not condition():
            if time.monotonic() - started_s > timeout_s:
                raise TimeoutError(
                    f"{description} not reached in {timeout_s} s{self._describe_exited()}"
                )
            time.sleep(POLL_S)
        return time.monotonic() - started_s

    def wait_ready(self, timeout_s: float, names: list[str] | None = None) -> float:
        """Wait until processes respond and instances accept requests.

        Parameters
        ----------
        timeout_s : float
            Timeout in seconds.
        names : list of str, optional
            Names of the processes to wait for; all by default.

        Returns
        -------
        float
            Time waited in seconds.

        Raises
        ------
        TimeoutError
            If a process exits or is not ready in time.
        """
        waiting = set(self.processes if names is None else names)

        def is_ready() -> bool:
            for name in list(waiting):
                if not self.processes[name].is_running:
                    raise TimeoutError(
                        f"{name} exited before it was ready{self._describe_exited()}"
                    )
                if self.deployment.is_ready(name):
                    waiting.discard(name)
            return not waiting

        return self.wait_for(is_ready, timeout_s, "readiness of all processes")

    def stop_all(self, graceful: bool = False) -> None:
        """Kill every process; with `graceful`, send SIGTERM first and wait for a clean exit."""
        for process in self.processes.values():
            if graceful:
                process.send(signal.SIGCONT)
                process.send(signal.SIGTERM)
        deadline_s = time.monotonic() + (STOP_TIMEOUT_S if graceful else 0.0)
        for process in self.processes.values():
            process.wait(max(0.0, deadline_s - time.monotonic()))
        for process in self.processes.values():
            process.kill()

    def _describe_exited(self) -> str:
        exited = [
            process
            for process in self.processes.values()
            if process.process and not process.is_running
        ]
        text = ""
        for process in exited[:3]:
            tail = process.read_log()[-LOG_TAIL_BYTES:]
            text += f"\n--- {process.name} exited with status {process.process.returncode}\n{tail}"
        return text


@contextmanager
def run_deployment(
    plan: DeploymentPlan,
    ready_timeout_s: float = 20.0,
    graceful_stop: bool = False,
    log_folder: Path | None = None,
) -> Iterator[ProcessGroup]:
    """Run a deployment for the duration of a ``with`` block; stops it even after errors.

    Parameters
    ----------
    plan : DeploymentPlan
        Size and options of the deployment.
    ready_timeout_s : float
        Timeout in seconds for all processes to be ready.
    graceful_stop : bool
        Whether processes receive SIGTERM before SIGKILL at the end.
    log_folder : Path, optional
        Folder to which logs are copied at the end; without it, they are deleted with the other
        files.

    Yields
    ------
    ProcessGroup
        The running processes.

    Raises
    ------
    TimeoutError
        If the deployment is not ready in time.
    """
    folder = Path(tempfile.mkdtemp(prefix="laburnumrock-"))
    group = ProcessGroup(Deployment(plan, folder))
    try:
        for spec in group.deployment.write_files():
            log_file = folder / f"{spec.name}.log"
            group.processes[spec.name] = ManagedProcess(
                spec.name, spec.command, log_file, spec.data_folder
            )
        group.start(*group.processes)
        group.wait_ready(ready_timeout_s)
        yield group
    finally:
        group.stop_all(graceful_stop)
        group.deployment.port_reservation.release()
        if log_folder is not None:
            log_folder.mkdir(parents=True, exist_ok=True)
            for process in group.processes.values():
                if process.log_file.exists():
                    shutil.copy2(process.log_file, log_folder)
        shutil.rmtree(folder, ignore_errors=True)
