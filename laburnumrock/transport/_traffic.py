"""Counters of messages and bytes on the links, by message type."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class TypeCount:
    """Number of messages of one type and their encoded size, without the WebSocket framing."""

    messages: int = 0
    frame_bytes: int = 0

    def add(self, frame_bytes: int) -> None:
        """Count one message."""
        self.messages += 1
        self.frame_bytes += frame_bytes


@dataclass(slots=True)
class TrafficCounts:
    """Messages that this instance has sent and received since its start.

    Parameters
    ----------
    sent, received : dict from type name to TypeCount
        Messages to and from other instances; messages to itself are not counted.
    """

    sent: dict[str, TypeCount] = field(default_factory=dict)
    received: dict[str, TypeCount] = field(default_factory=dict)

    def count_sent(self, message: object, frame_bytes: int) -> None:
        """Count a message that was queued for a link."""
        self.sent.setdefault(type(message).__name__, TypeCount()).add(frame_bytes)

    def count_received(self, message: object, frame_bytes: int) -> None:
        """Count a message that arrived."""
        self.received.setdefault(type(message).__name__, TypeCount()).add(frame_bytes)

    def describe(self) -> dict[str, dict[str, list[int]]]:
        """Return ``[messages, bytes]`` by direction and type, for operators."""
        directions = {"sent": self.sent, "received": self.received}
        return {
            direction: {
                name: [count.messages, count.frame_bytes] for name, count in sorted(counts.items())
            }
            for direction, counts in directions.items()
        }
