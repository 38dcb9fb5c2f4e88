"""Fakes for tests of the daemon's tasks."""

import asyncio

from result import Err, Ok

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages import Frame, Send, decode_frame, encode_frame
from laburnumrock.placement import (
    PermitCancel,
    PermitGrant,
    PermitRelease,
    PermitRenewal,
    PermitRenewalAnswer,
    PermitRequest,
    Placement,
    PoolSummary,
)
from laburnumrock.settings import InstanceSettings
from laburnumrock.upstreams import UpstreamAnnouncement, UpstreamKind


class FakeHub:
    """Connects `FakeNetwork` objects; instances in `cut` neither send nor receive."""

    def __init__(self):
        self.networks = {}
        self.cut = set()


class FakeNetwork:
    """Stand-in of `PeerNetwork` inside one event loop, with the real codec."""

    def __init__(self, hub, settings):
        self.hub = hub
        self.instance_id = instance_id = settings.instance_id
        self.peers = {peer.instance_id: peer for peer in settings.peers}
        self.handlers = {}
        self.bytes_sent = 0
        hub.networks[instance_id] = self

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, peer, message):
        data = encode_frame(Frame(message))
        self.bytes_sent += len(data)
        asyncio.get_running_loop().call_soon(self._deliver, peer, data)

    async def call(self, peer, message, timeout_s):
        await asyncio.sleep(0)
        if peer not in self.hub.networks or self._is_cut(peer):
            await asyncio.sleep(timeout_s)
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, peer))
        answer = self.hub.networks[peer].handlers[type(message)](self.instance_id, message)
        if asyncio.iscoroutine(answer):
            answer = await answer
        return Ok(answer)

    def _is_cut(self, peer):
        return peer != self.instance_id and bool({peer, self.instance_id} & self.hub.cut)

    def _deliver(self, peer, data):
        network = self.hub.networks.get(peer)
        if network is None or self._is_cut(peer):
            return
        message = decode_frame(data).unwrap().message
        handler = network.handlers.get(type(message))
        if handler is not None:
            handler(self.instance_id, message)


class FakeView:
    """Stand-in of `DeclarationView`."""

    def __init__(self):
        self.drained = set()
        self.stale = False
        self.revision = 1

    def is_in_service(self, kind, name):
        return (kind, name) not in self.drained

    def is_stale(self, now_s):
        return self.stale


class FakeScheduler:
    """Grants one permit per upstream in service and queues the other requests."""

    def __init__(self, pool_id, epoch, now_s):
        self.pool_id = pool_id
        self.epoch = epoch
        self.upstreams = {}
        self.out_of_service = set()
        self.queue = {}
        self.permits = {}
        self.revoke = set()
        self.renewed = []
        self.confirmed = []
        self.effects = []

    def receive(self, sender, message, now_s):
        if isinstance(message, PermitRequest):
            self.queue[(message.request_id, message.attempt)] = sender
        elif isinstance(message, PermitCancel):
            self.queue.pop((message.request_id, message.attempt), None)
        elif isinstance(message, PermitRelease):
            self.permits.pop(message.permit_id, None)
        elif isinstance(message, PermitRenewal):
            self.renewed += [grant.permit_id for grant in message.grants]
            self.renewed += [f"{self.pool_id}/{self.epoch}/{one}" for one in message.numbers]
            revoked = [name for name in self.renewed if name in self.revoke]
            return [Send(sender, PermitRenewalAnswer(revoked))]
        return self.tick(now_s)

    def tick(self, now_s):
        effects, self.effects = self.effects, []
        used = set(self.permits.values())
        for upstream_id in sorted(set(self.upstreams) - used - self.out_of_service):
            if not self.queue:
                break
            (request_id, attempt), sender = next(iter(self.queue.items()))
            del self.queue[(request_id, attempt)]
            permit_id = f"{self.epoch}-{request_id}-{attempt}"
            self.permits[permit_id] = upstream_id
            place = Placement(upstream_id, self.upstreams[upstream_id].base_url)
            grant = PermitGrant(permit_id, request_id, attempt, self.epoch, [place], 0.5)
            effects.append(Send(sender, grant))
        return effects

    def next_tick_s(self, now_s):
        return now_s + 0.05

    def has_spanning_permit(self):
        return False

    def observe_upstream(self, announcement, now_s):
        self.upstreams[announcement.upstream_id] = announcement
        return self.tick(now_s)

    def remove_upstream(self, upstream_id, now_s):
        self.upstreams.pop(upstream_id, None)
        return []

    def set_in_service(self, upstream_id, in_service, now_s):
        (self.out_of_service.discard if in_service else self.out_of_service.add)(upstream_id)
        return []

    def confirm_cancel(self, upstream_id, request_id, now_s):
        self.confirmed.append(request_id)
        return []

    def set_pool_in_service(self, in_service, now_s):
        return []

    def observe_held_requests(self, upstream_id, held_tokens, read_at_s, now_s):
        return []

    def summarize(self, now_s):
        count = len(self.upstreams)
        waits = {"short": 1.0 * len(self.queue)}
        return PoolSummary(self.pool_id, self.epoch, True, count, 0, len(self.queue), waits)


def make_settings(names, timing=None):
    """Return the settings of instances such as ``a1`` whose first letter is their domain."""
    common = {"host": "127.0.0.1", "caller_port": 1, "peer_port": 2}
    peers = [{"instance_id": name, "failure_domain": name[0], **common} for name in names]
    quick = {
        "lease_s": 0.5,
        "permit_ttl_s": 0.5,
        "announcement_expiry_s": 0.4,
        "probe_period_s": 0.1,
        "probe_timeout_s": 0.04,
        "suspicion_s": 0.3,
    }
    return {
        name: InstanceSettings.model_validate(
            {
                "instance_id": name,
                "failure_domain": name[0],
                "listen": common,
                "shared_key_file": "x",
                "operator_key_file": "x",
                "peers": peers,
                "timing": {**quick, **(timing or {})},
            }
        )
        for name in names
    }


def make_announcement(upstream_id="e1", domain="a", models=("quote",), incarnation=1):
    """Return the announcement of a model engine."""
    return UpstreamAnnouncement(
        upstream_id,
        UpstreamKind.MODEL_ENGINE,
        domain,
        incarnation,
        f"http://127.0.0.1:9/{upstream_id}",
        models=list(models),
        kv_capacity_tokens=100_000,
        prefill_tokens_per_s=10_000.0,
        decode_step_s=0.01,
    )


def make_request(request_id="r1", model="quote", remaining_s=5.0, attempt=1):
    """Return a permit request."""
    return PermitRequest(request_id, attempt, "acct", "caller", model, 10, 10, remaining_s)
