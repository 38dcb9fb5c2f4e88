"""Marginal costs of quotas at the coordinator and of the controller for engine orders."""

from slope_fit import Slope, fit_slope, measure_cpu_us

from laburnumrock.admission import (
    AccountLimits,
    QuotaManager,
    QuotaRelease,
    QuotaRequest,
    ShareAllocator,
)
from laburnumrock.messages import Frame, encode_frame
from laburnumrock.orders import EngineSighting, OrderController, OrderStore
from laburnumrock.settings import OrderSettings

REQUESTS = (1_000, 2_000, 4_000, 8_000)
ACCOUNTS = (50, 100, 200, 330)
ENGINES = (100, 300, 1_000, 2_900)
DOMAINS = [f"domain-{number}" for number in range(10)]
HIGH_LIMITS = AccountLimits(1e6, 1e12, 1_000_000)
# Low enough that a single request is reported as demand.
LOW_LIMITS = AccountLimits(30.0, 1e6, 30)


def make_manager(accounts: int, limits: AccountLimits) -> QuotaManager:
    """Return a quota manager for `accounts` accounts with equal limits."""
    manager = QuotaManager(ShareAllocator(DOMAINS[0], DOMAINS))
    manager.set_limits({f"account-{number}": limits for number in range(accounts)}, 0.0)
    manager.set_coordinators({domain: f"{domain}-1" for domain in DOMAINS})
    return manager


def make_request(number: int, accounts: int) -> QuotaRequest:
    """Return quota request `number`; consecutive requests use the accounts in turn."""
    return QuotaRequest(f"fd-1-1-{number:x}", f"account-{number % accounts}", "clerk-7", 4_500)


def admit_requests(count: int) -> None:
    """Admit and release `count` requests of 330 accounts."""
    manager = make_manager(ACCOUNTS[-1], HIGH_LIMITS)
    for number in range(count):
        request = make_request(number, ACCOUNTS[-1])
        manager.receive("fd-1-1", request, number / 1_000)
        manager.receive("fd-1-1", QuotaRelease(request.quota_id), number / 1_000)


def measure_report_bytes(accounts: int) -> int:
    """Return the encoded size in bytes of one share report for `accounts` active accounts."""
    manager = make_manager(accounts, LOW_LIMITS)
    for number in range(accounts):
        manager.receive("fd-1-1", make_request(number, accounts), 0.0)
    reports = manager.tick(1.5)
    return len(encode_frame(Frame(reports[0].message)))


def make_controller(engines: int) -> OrderController:
    """Return a controller that leads and has received sightings of engines without open orders."""
    controller = OrderController(OrderSettings(), OrderStore())
    controller.observe_leadership(3, 0.0)
    for number in range(engines):
        sighting = EngineSighting(f"engine-{number}", 1, "http://127.0.0.1:20000")
        controller.receive("fd-1-1", sighting, 0.0)
    return controller


def measure_admission() -> list[Slope]:
    """Return the CPU time and bytes of quota requests, share reports and order controller ticks."""
    requests = [measure_cpu_us(lambda n=n: admit_requests(n)) for n in REQUESTS]
    sizes = [measure_report_bytes(count) for count in ACCOUNTS]
    controllers = [make_controller(count) for count in ENGINES]
    for controller in controllers:
        controller.tick(10.0)
    ticks = [
        measure_cpu_us(lambda controller=controller: controller.tick(20.0))
        for controller in controllers
    ]
    sighting = EngineSighting("engine-1000", 1, "http://127.0.0.1:20000")
    sighting_bytes = len(encode_frame(Frame(sighting)))
    sightings = [count * sighting_bytes for count in ENGINES]
    return [
        fit_slope("quota request and its release", "us/request", REQUESTS, requests),
        fit_slope("share report by accounts", "B/account", ACCOUNTS, sizes),
        fit_slope("tick of the order controller", "us/engine", ENGINES, ticks),
        fit_slope("sightings by engines", "B/engine", ENGINES, sightings),
    ]
