"""HTTP API of the model engine emulator (section 5.2 of the design document)."""

import time

from tornado.web import Application

from laburnumrock.standins._engine import ModelEngine
from laburnumrock.standins._engine_base import EngineHandler
from laburnumrock.standins._engine_completions import CancelHandler, CompletionHandler
from laburnumrock.standins._engine_kv import (
    ExportHandler,
    ImportHandler,
    PrefillHandler,
    ReleaseHandler,
    ReserveHandler,
    SegmentHandleHandler,
)

# Leaves room for a prompt of 1,000,000 words, which takes several megabytes. Tornado refuses
# larger bodies.
MAX_BODY_BYTES = 32 * 1024 * 1024


class LoadHandler(EngineHandler):
    """``GET /v1/load``: current load, with all KV memory allocations."""

    def get(self) -> None:
        """Return the load."""
        engine = self.engine
        engine.model.memory.expire(engine.now_s())
        sample = engine.take_sample()
        allocations = [
            {
                "request_id": name,
                "tokens": held.tokens,
                "running": name in engine.model.running,
                "expires_in_s": _remaining_s(engine, held.expires_s),
            }
            for name, held in engine.model.memory.allocations.items()
        ]
        self.finish(
            {
                "upstream_id": engine.options.upstream_id,
                "incarnation": engine.incarnation,
                "state": engine.state(),
                "running": sample.running,
                "waiting": sample.waiting,
                "kv_capacity_tokens": engine.options.parameters.kv_capacity_tokens,
                "kv_used_tokens": sample.kv_used_tokens,
                "measured_age_s": 0.0,
                "holdings": allocations,
                "waiting_requests": [one.request.request_id for one in engine.model.waiting],
                "cold_overload_events": engine.model.cold_start.overload_events,
                "limit_excess_events": engine.meter.excesses,
                "generated_tokens": engine.model.generated_tokens,
            }
        )


def _remaining_s(engine: ModelEngine, expires_s: float) -> float | None:
    if expires_s == float("inf"):
        return None
    return round((expires_s - engine.now_s()) / engine.options.time_factor, 3)


class OrderHandler(EngineHandler):
    """``GET|POST /v1/orders``: orders from the controller."""

    def get(self) -> None:
        """Return the loaded items, the accepted orders and the highest fencing number seen."""
        self.finish(self.engine.orders.describe())

    def post(self) -> None:
        """Accept or refuse an order."""
        key = self.engine.options.order_key
        if key is not None and self.request.headers.get("Authorization") != f"Bearer {key}":
            self.refuse(401, "unauthenticated")
            return
        order = self.read_body()
        orders = self.engine.orders
        refusal = orders.find_refusal(order)
        if refusal is not None:
            status = 409 if refusal == "old_fencing_number" else 400
            self.refuse(status, refusal, highest_fencing_number=orders.highest_fencing_number)
            return
        if orders.accept(order):
            self.engine.apply_order(order)
        self.set_status(202)
        self.finish({"order_id": order["order_id"]})


class ControlHandler(EngineHandler):
    """``POST /control/{action}``: fault injection for tests."""

    def post(self, action: str) -> None:
        """Inject a fault."""
        body = self.read_body()
        if action == "turn-cold":
            self.engine.turn_cold(float(body.get("hide_s", 1.0)))
        elif action == "announcements":
            self.engine.announcer.is_enabled = bool(body.get("enabled", True))
        elif action == "break-streams":
            self.engine.streams_to_break = int(body.get("count", 1))
            self.engine.break_after_tokens = int(body.get("after_tokens", 1))
        elif action == "limit":
            limit = body.get("requests_per_s")
            limit = None if limit is None else float(limit)
            self.engine.meter.set_limit(limit, time.monotonic())
        else:
            self.refuse(404, "unknown_action")
            return
        self.finish({"action": action})


def make_engine_application(engine: ModelEngine) -> Application:
    """Build the tornado application of one emulated engine."""
    arguments = {"engine": engine}
    handlers = [
        (r"/v1/completions", CompletionHandler),
        (r"/v1/cancel", CancelHandler),
        (r"/v1/load", LoadHandler),
        (r"/v1/kv/reserve", ReserveHandler),
        (r"/v1/kv/release", ReleaseHandler),
        (r"/v1/kv/prefill", PrefillHandler),
        (r"/v1/kv/export", ExportHandler),
        (r"/v1/kv/handles/([^/]+)", SegmentHandleHandler),
        (r"/v1/kv/import", ImportHandler),
        (r"/v1/orders", OrderHandler),
        (r"/control/([a-z-]+)", ControlHandler),
    ]
    routes = [(pattern, handler, arguments) for pattern, handler in handlers]
    return Application(routes, log_function=lambda handler: None)
