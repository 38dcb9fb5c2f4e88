"""The state machine above the replicated log."""

import dataclasses

import cbor2

from laburnumrock.state._codec import encode_map_start
from laburnumrock.state._registry import PARTS

STAMP_FIELD = "stamped_at_s"


class ReplicatedState:
    """Joins all registered parts.

    Parameters
    ----------
    parts : dict of str to type, optional
        Classes of the parts; all registered ones by default.
    """

    def __init__(self, parts: dict[str, type] | None = None) -> None:
        classes = PARTS if parts is None else parts
        self.parts = {name: cls() for name, cls in sorted(classes.items())}
        self.applied_index = 0
        self.clock_s = 0.0
        self.owners: dict[type, str] = {}
        for name, part in self.parts.items():
            for command_type in part.command_types:
                if command_type in self.owners:
                    raise ValueError(f"{command_type.__name__} has two parts")
                self.owners[command_type] = name

    def handles(self, command: object) -> bool:
        """Whether a part handles commands of this class."""
        return type(command) in self.owners

    def apply(self, index: int, command: object) -> object:
        """Apply a committed command.

        Parameters
        ----------
        index : int
            Its position in the log.
        command : object
            Instance of a class that a part handles.

        Returns
        -------
        object
            Answer of the part.
        """
        self.applied_index = index
        if hasattr(command, STAMP_FIELD):
            # Clocks of successive leaders differ; the state's own time never goes back.
            self.clock_s = max(self.clock_s, command.stamped_at_s)
            command = dataclasses.replace(command, stamped_at_s=self.clock_s)
        return self.parts[self.owners[type(command)]].apply(command, index)

    def query(self, part: str, question: object) -> object:
        """Ask a part a question that changes nothing."""
        return self.parts[part].query(question)

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        return b"".join(self.encode())

    def encode(self) -> list[bytes]:
        """Return the pieces of a snapshot; what happens to the state later does not change them."""
        pieces = [encode_map_start(3)]
        for name, value in (("index", self.applied_index), ("clock_s", self.clock_s)):
            pieces += [cbor2.dumps(name), cbor2.dumps(value)]
        pieces += [cbor2.dumps("parts"), encode_map_start(len(self.parts))]
        for name, part in self.parts.items():
            pieces.append(cbor2.dumps(name))
            pieces += part.encode() if hasattr(part, "encode") else [cbor2.dumps(part.to_plain())]
        return pieces

    def restore(self, data: bytes) -> None:
        """Replace the whole state; empty data mean the empty state."""
        document = cbor2.loads(data) if data else {"index": 0, "clock_s": 0.0, "parts": {}}
        self.applied_index = document["index"]
        self.clock_s = document["clock_s"]
        for name, part in self.parts.items():
            part.restore(document["parts"].get(name))


def with_timestamp(command: object, now_s: float) -> object:
    """Set the stamp of a command that has one."""
    if hasattr(command, STAMP_FIELD):
        return dataclasses.replace(command, stamped_at_s=now_s)
    return command
