"""KV memory segments of prompts that are distributed over several engines."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Segment:
    """Range of prompt tokens whose KV memory is computed.

    Parameters
    ----------
    start, end : int
        Index of the first token, and of the token after the last.
    source : str
        Base URL of the engine that has the memory; empty for this engine.
    handle : str
        Handle of the exported segment at its source.
    """

    start: int
    end: int
    source: str = ""
    handle: str = ""


@dataclass(slots=True)
class SegmentTable:
    """Segments that an engine computed or imported, by request.

    An imported segment takes no memory here: it refers to the memory of its source, which must keep
    its reservation. So a prompt can span several engines that are each too small for it.
    """

    local: dict[str, list[Segment]] = field(default_factory=dict)
    imported: dict[str, list[Segment]] = field(default_factory=dict)
    exports: dict[str, str] = field(default_factory=dict)

    def add_local(self, request_id: str, segment: Segment) -> None:
        """Record a computed segment."""
        self.local.setdefault(request_id, []).append(segment)

    def add_imported(self, request_id: str, segment: Segment) -> None:
        """Record an imported segment."""
        held = self.imported.setdefault(request_id, [])
        if segment not in held:
            held.append(segment)

    def local_tokens(self, request_id: str) -> int:
        """Return the number of tokens computed here for a request."""
        return sum(segment.end - segment.start for segment in self.local.get(request_id, []))

    def export(self, request_id: str) -> str | None:
        """Return the handle of the segments computed here, or ``None`` if there are none."""
        if request_id not in self.local:
            return None
        handle = f"kv-{request_id}"
        self.exports[handle] = request_id
        return handle

    def describe(self, handle: str) -> Segment | None:
        """Return the range of an exported handle, or ``None`` if its memory was freed."""
        segments = self.local.get(self.exports.get(handle, ""))
        if not segments:
            return None
        start = min(segment.start for segment in segments)
        return Segment(start, max(segment.end for segment in segments), handle=handle)

    def covered_tokens(self, request_id: str) -> tuple[int, int]:
        """Return how many leading prompt tokens are computed on other engines and on this one.

        Returns
        -------
        tuple of (int, int)
            Remote and local tokens of the contiguous range that starts at token 0.
        """
        held = [*self.imported.get(request_id, []), *self.local.get(request_id, [])]
        position = remote = local = 0
        for segment in sorted(held, key=lambda held_segment: held_segment.start):
            if segment.start > position or segment.end <= position:
                continue
            added = segment.end - position
            position = segment.end
            if segment.source:
                remote += added
            else:
                local += added
        return remote, local

    def discard_request(self, request_id: str) -> None:
        """Remove all segments and exports of a request."""
        self.local.pop(request_id, None)
        self.imported.pop(request_id, None)
        self.exports.pop(f"kv-{request_id}", None)
