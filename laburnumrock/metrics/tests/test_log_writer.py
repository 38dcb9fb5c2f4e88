"""Tests of the log writer."""

import errno
import json
import subprocess
import sys
import threading
import time
from types import SimpleNamespace

from eliot import log_message

from laburnumrock.metrics import LogLimits, LogWriter, open_log, open_log_writer


class Sink:
    """Records the written bytes."""

    def __init__(self) -> None:
        self.data = b""

    def __call__(self, data: bytes) -> None:
        self.data += data

    def lines(self) -> list[dict]:
        return [json.loads(line) for line in self.data.splitlines()]


def make_writer(sink, now=lambda: 0.0, **limits) -> LogWriter:
    return LogWriter({"instance": "n1"}, LogLimits(**limits), sink, now)


class TestLogWriter:
    def test_line_carries_event_place_and_fields(self):
        """Guards against lines without the fields needed to correlate them across instances."""
        # eliot passes earlier messages to the first destination that is added. Those of other tests
        # could use up the limit of lines per second.
        with open_log_writer({}, LogLimits(), Sink()):
            pass
        sink = Sink()
        with open_log_writer({"instance": "n1"}, LogLimits(), sink):
            log_message("request_placed", request_id="only-here", upstream="u1")
        [line] = [line for line in sink.lines() if line.get("request_id") == "only-here"]
        assert (line["event"], line["instance"], line["request_id"]) == (
            "request_placed",
            "n1",
            "only-here",
        )
        assert "task_uuid" not in line

    def test_volume_of_an_event_is_bounded(self):
        """Guards against a log volume that grows with the load."""
        sink = Sink()
        seconds = iter([0.0] * 10 + [1.0])
        writer = make_writer(sink, lambda: next(seconds), lines_per_s=3)
        for _ in range(11):
            writer({"message_type": "busy", "timestamp": 5.0})
        writer.flush()
        events = [line["event"] for line in sink.lines()]
        assert events == ["busy"] * 3 + ["lines_omitted", "busy"]
        assert sink.lines()[3]["count"] == 7

    def test_blocked_reader_does_not_block_the_writer(self):
        """Guards against requests that are blocked by a slow reader of the log."""
        released = threading.Event()
        with open_log_writer(
            {}, LogLimits(queued_lines=10), lambda data: released.wait(5)
        ) as writer:
            for number in range(1000):
                log_message(f"event_{number % 10}")
            assert len(writer.queue) <= 10
            assert writer.dropped > 0
            released.set()

    def test_dropped_lines_are_counted(self):
        """Guards against lines that are dropped without a trace in the log."""
        sink = Sink()
        writer = make_writer(sink, queued_lines=2)
        for _ in range(5):
            writer({"message_type": "busy"})
        writer.flush()
        assert sink.lines()[-1]["event"] == "lines_dropped"
        assert sink.lines()[-1]["count"] == 3


class FullDisk:
    """Sink that takes a number of bytes and refuses all others while it is full."""

    def __init__(self) -> None:
        self.data = b""
        self.room = 1_000_000

    def __call__(self, data: bytes) -> int:
        if not self.room:
            raise OSError(errno.ENOSPC, "no space left on device")
        taken = data[: self.room]
        self.room -= len(taken)
        self.data += taken
        return len(taken)


class TestFullDisk:
    def test_lines_are_written_once_there_is_room(self):
        """Guards against a writer that ends at a full disk, and against torn or repeated lines."""
        disk = FullDisk()
        disk.room = 70
        with open_log_writer({}, LogLimits(queued_lines=50), disk) as writer:
            time.sleep(0.5)
            for number in range(10):
                writer({"message_type": "counted", "number": number})
            time.sleep(0.5)
            assert len(disk.data) == 70
            disk.room = 1_000_000
            time.sleep(0.5)
            lines = [json.loads(line) for line in disk.data.splitlines()]
            numbers = [line["number"] for line in lines if line["event"] == "counted"]
            assert numbers == list(range(10))

    def test_memory_stays_bounded(self):
        """Guards against memory that grows while the disk is full."""
        disk = FullDisk()
        disk.room = 0
        writer = make_writer(disk, queued_lines=10, lines_per_s=1_000)
        for _ in range(20):
            for _ in range(20):
                writer({"message_type": "busy"})
            writer.flush()
        assert len(writer.queue) <= 10
        assert len(writer.unwritten) < 11 * 100
        disk.room = 1_000_000
        writer.flush()
        writer.flush()
        lines = [json.loads(line) for line in disk.data.splitlines()]
        dropped = sum(line["count"] for line in lines if line["event"] == "lines_dropped")
        assert dropped + sum(line["event"] == "busy" for line in lines) == 400

    def test_daemon_stops_cleanly(self, tmp_path):
        """Guards against log lines that raise, and an exit that fails, while the disk is full."""
        program = (
            "import resource, sys, pathlib\n"
            "from eliot import log_message\n"
            "from laburnumrock.metrics import open_log\n"
            "class Settings:\n"
            "    instance_id = 'a1'\n"
            "    failure_domain = 'a'\n"
            "    log_file = pathlib.Path(sys.argv[1])\n"
            "hard = resource.getrlimit(resource.RLIMIT_FSIZE)[1]\n"
            "with open_log(Settings):\n"
            "    log_message('first')\n"
            "    resource.setrlimit(resource.RLIMIT_FSIZE, (0, hard))\n"
            "    for number in range(1_000):\n"
            "        log_message('refused', number=number)\n"
            "    if sys.argv[2] == 'freed':\n"
            "        resource.setrlimit(resource.RLIMIT_FSIZE, (hard, hard))\n"
            "        log_message('last')\n"
        )
        for end in ("full", "freed"):
            file = tmp_path / f"{end}.log"
            arguments = [sys.executable, "-c", program, str(file), end]
            ended = subprocess.run(arguments, capture_output=True, text=True, timeout=30)
            assert (ended.returncode, ended.stderr) == (0, "")
            events = [json.loads(line) for line in file.read_text().splitlines()]
            assert events[0]["message_type"] == "first"
            if end == "freed":
                assert events[-1]["message_type"] == "last"

    def test_log_file_is_created_later(self, tmp_path, monkeypatch):
        """Guards against a daemon that cannot start, since its log file cannot be created."""
        path = tmp_path / "a1.log"
        settings = SimpleNamespace(instance_id="a1", failure_domain="a", log_file=path)

        def refuse(*arguments):
            raise OSError(errno.ENOSPC, "no space left on device")

        with monkeypatch.context() as patch:
            patch.setattr("os.open", refuse)
            log = open_log(settings)
            log.__enter__()
            log_message("first")
        log_message("second")
        log.__exit__(None, None, None)
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        assert [line["message_type"] for line in lines][-2:] == ["first", "second"]
