"""Executor for disk access that never delays the exit of the process."""

import queue
import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future


class DiskExecutor(Executor):
    """Runs calls in order on one daemon thread.

    Parameters
    ----------
    name : str
        Name of the thread.

    Notes
    -----
    The interpreter waits at its exit for the threads of a `ThreadPoolExecutor`. A disk can hang for
    longer than a planned stop may take, and nothing that is not durable yet was promised to anyone.
    """

    def __init__(self, name: str) -> None:
        self.calls: queue.SimpleQueue[tuple[Future, Callable, tuple] | None] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.thread.start()

    def submit(self, fn: Callable, /, *args: object) -> Future:
        """Queue a call, and return the future of its result."""
        future: Future = Future()
        self.calls.put((future, fn, args))
        return future

    def shutdown(self, wait: bool = False, *, cancel_futures: bool = False) -> None:
        """End the thread after the queued calls; waits for them only if `wait` is set."""
        self.calls.put(None)
        if wait:
            self.thread.join()

    def _run(self) -> None:
        while (call := self.calls.get()) is not None:
            future, fn, args = call
            if not future.set_running_or_notify_cancel():
                continue
            try:
                result = fn(*args)
            except BaseException as error:
                future.set_exception(error)
            else:
                future.set_result(result)
