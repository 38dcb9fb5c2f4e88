"""State machine to which the committed commands of the replicated log are applied."""

import dataclasses

import cbor2

from laburnumrock.state._codec import encode_map_header
from laburnumrock.state._registry import PARTS

TIMESTAMP_FIELD = "stamped_at_s"


class ReplicatedState:
    """State machine that dispatches each command to the part that handles it.

    Parameters
    ----------
    parts : dict of str to type, optional
        Classes of the parts by name; all registered parts by default.
    """

    def __init__(self, parts: dict[str, type] | None = None) -> None:
        classes = PARTS if parts is None else parts
        self.parts = {name: cls() for name, cls in sorted(classes.items())}
        self.applied_index = 0
        self.clock_s = 0.0
        self.part_names: dict[type, str] = {}
        for name, part in self.parts.items():
            for command_type in part.command_types:
                if command_type in self.part_names:
                    raise ValueError(f"{command_type.__name__} is handled by two parts")
                self.part_names[command_type] = name

    def handles(self, command: object) -> bool:
        """Whether a part handles commands of this type."""
        return type(command) in self.part_names

    def apply(self, index: int, command: object) -> object:
        """Apply a committed command.

        Parameters
        ----------
        index : int
            Index of the command in the log.
        command : object
            Command of a type that a part handles.

        Returns
        -------
        object
            Answer of the part that handles the command.
        """
        self.applied_index = index
        if hasattr(command, TIMESTAMP_FIELD):
            # Clocks of successive leaders differ; the clock of the state must never go back.
            self.clock_s = max(self.clock_s, command.stamped_at_s)
            command = dataclasses.replace(command, stamped_at_s=self.clock_s)
        return self.parts[self.part_names[type(command)]].apply(command, index)

    def query(self, part: str, question: object) -> object:
        """Answer a read-only query from a part."""
        return self.parts[part].query(question)

    def snapshot(self) -> bytes:
        """Encode the whole state as one snapshot."""
        return b"".join(self.encode())

    def encode(self) -> list[bytes]:
        """Return a snapshot in chunks, which later changes of the state do not affect."""
        chunks = [encode_map_header(3)]
        for name, value in (("index", self.applied_index), ("clock_s", self.clock_s)):
            chunks += [cbor2.dumps(name), cbor2.dumps(value)]
        chunks += [cbor2.dumps("parts"), encode_map_header(len(self.parts))]
        for name, part in self.parts.items():
            chunks.append(cbor2.dumps(name))
            chunks += part.encode() if hasattr(part, "encode") else [cbor2.dumps(part.to_plain())]
        return chunks

    def restore(self, data: bytes) -> None:
        """Replace the whole state with a snapshot; empty data stands for the empty state."""
        document = cbor2.loads(data) if data else {"index": 0, "clock_s": 0.0, "parts": {}}
        self.applied_index = document["index"]
        self.clock_s = document["clock_s"]
        for name, part in self.parts.items():
            part.restore(document["parts"].get(name))


def with_timestamp(command: object, now_s: float) -> object:
    """Return the command with its timestamp set, or unchanged if it has no timestamp field."""
    if hasattr(command, TIMESTAMP_FIELD):
        return dataclasses.replace(command, stamped_at_s=now_s)
    return command
