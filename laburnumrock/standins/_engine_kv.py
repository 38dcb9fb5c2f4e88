"""KV memory handlers of the model engine emulator.

They manage reservations, and the segments of prompts that span several engines.
"""

from laburnumrock.standins._engine_base import EngineHandler, fetch_segment
from laburnumrock.standins._parameters import EngineRequest, PrefillFinished, RefusalReason
from laburnumrock.standins._segments import Segment


class ReserveHandler(EngineHandler):
    """``POST /v1/kv/reserve``: reserves memory for a limited time, or renews a reservation."""

    def post(self) -> None:
        """Reserve memory."""
        body = self.read_body(request_id=str, tokens=int, ttl_s=(int | float))
        engine = self.engine
        is_renewal = body["request_id"] in engine.model.memory.allocations
        if engine.model.is_leaving and not is_renewal:
            self.refuse(503, RefusalReason.LEAVING)
            return
        ttl_s = body["ttl_s"] * engine.options.time_factor
        if not engine.model.reserve(body["request_id"], body["tokens"], ttl_s, engine.now_s()):
            self.refuse(503, RefusalReason.NO_MEMORY)
            return
        self.finish({"request_id": body["request_id"], "tokens": body["tokens"]})


class ReleaseHandler(EngineHandler):
    """``POST /v1/kv/release``: frees a reservation and cancels the request that uses it."""

    def post(self) -> None:
        """Release memory."""
        body = self.read_body(request_id=str)
        self.finish({"released": self.engine.cancel(body["request_id"])})


class PrefillHandler(EngineHandler):
    """``POST /v1/kv/prefill``: computes one segment of a prompt in reserved memory.

    The body contains either the whole prompt or only the words of the segment.
    """

    async def post(self) -> None:
        """Compute a segment and respond when it is complete."""
        body = self.read_body(request_id=str, prompt=str, start=int, end=int)
        request_id, start, end = body["request_id"], body["start"], body["end"]
        allocation = self.engine.model.memory.allocations.get(request_id)
        needed = end - start + self.engine.segments.local_tokens(request_id)
        words = len(body["prompt"].split())
        if start < 0 or end <= start or not (words == end - start or words >= end):
            self.refuse(400, "invalid_range")
            return
        if allocation is None or allocation.tokens < needed:
            self.refuse(409, "not_reserved")
            return
        attempt = -(end + 1)
        request = EngineRequest(request_id, attempt, end - start, 0, body.get("priority") or 0)
        events = self.engine.submit(request)
        if isinstance(events, RefusalReason):
            self.refuse(503, events)
            return
        event = await events.get()
        self.engine.streams.pop((request_id, attempt), None)
        if not isinstance(event, PrefillFinished):
            self.refuse(409, event.reason)
            return
        self.engine.segments.add_local(request_id, Segment(start, end))
        self.finish({"request_id": request_id, "start": start, "end": end})


class ExportHandler(EngineHandler):
    """``POST /v1/kv/export``: returns a handle by which other engines import the segments."""

    def post(self) -> None:
        """Export segments."""
        handle = self.engine.segments.export(self.read_body(request_id=str)["request_id"])
        if handle is None:
            self.refuse(404, "unknown_request")
            return
        segment = self.engine.segments.describe(handle)
        self.finish({"handle": handle, "start": segment.start, "end": segment.end})


class SegmentHandleHandler(EngineHandler):
    """``GET /v1/kv/handles/{handle}``: returns the token range of a handle to other engines."""

    def get(self, handle: str) -> None:
        """Return the token range of an exported handle."""
        segment = self.engine.segments.describe(handle)
        if segment is None:
            self.refuse(404, "unknown_handle")
            return
        self.finish({"handle": handle, "start": segment.start, "end": segment.end})


class ImportHandler(EngineHandler):
    """``POST /v1/kv/import``: imports segments that another engine exported."""

    async def post(self) -> None:
        """Import segments."""
        body = self.read_body(request_id=str, source=str, handle=str)
        segment = await fetch_segment(body["source"], body["handle"])
        if segment is None:
            self.refuse(409, "segment_lost")
            return
        self.engine.segments.add_imported(body["request_id"], segment)
        self.finish({"request_id": body["request_id"], "start": segment.start, "end": segment.end})
