"""Load profiles, and the seeded call plan of an open-loop load test."""

import json
import math
import random
from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field

# Delay between the first call of an operation and its resend.
RESEND_DELAY_S = 0.2


class ProfileModel(BaseModel):
    """Base class of the profile models; rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class AccountProfile(ProfileModel):
    """One client account.

    Parameters
    ----------
    name : str
        Value of ``X-Client-Account``.
    key : str, optional
        API key, sent as a bearer token.
    callers : int
        Number of distinct callers of the account.
    weight : float
        Relative share of the calls among the accounts.
    """

    name: str
    key: str | None = None
    callers: int = Field(default=100, gt=0)
    weight: float = Field(default=1.0, gt=0)


class ClassProfile(ProfileModel):
    """Length class of completions; prompt lengths are log-uniform between the bounds.

    Parameters
    ----------
    name : str
        Name of the class in the report.
    min_tokens, max_tokens : int
        Bounds of the prompt length in tokens.
    min_output, max_output : int
        Bounds of the output length in tokens.
    timeout_s : float
        Deadline, sent as ``X-Timeout-S``, in seconds.
    weight : float
        Relative share of the completions among the classes.
    """

    name: str
    min_tokens: int = Field(gt=0)
    max_tokens: int = Field(gt=0)
    min_output: int = Field(default=16, gt=0)
    max_output: int = Field(default=64, gt=0)
    timeout_s: float = Field(default=30.0, gt=0)
    weight: float = Field(gt=0)


class ServiceProfile(ProfileModel):
    """Kind of service call.

    Parameters
    ----------
    service, path, method : str
        Target of the call.
    repeatable : bool
        Whether the call is idempotent, so that it may be executed more than once.
    timeout_s : float
        Deadline in seconds.
    weight : float
        Relative share of the service calls.
    """

    service: str
    path: str
    method: str = "POST"
    repeatable: bool = False
    timeout_s: float = Field(default=10.0, gt=0)
    weight: float = Field(default=1.0, gt=0)


DEFAULT_CLASSES = [
    ClassProfile(name="short", min_tokens=1_000, max_tokens=8_000, timeout_s=10.0, weight=78.0),
    ClassProfile(name="medium", min_tokens=8_001, max_tokens=100_000, weight=20.0),
    ClassProfile(name="long", min_tokens=100_001, max_tokens=400_000, timeout_s=120.0, weight=1.5),
    ClassProfile(
        name="spanning", min_tokens=450_001, max_tokens=1_000_000, timeout_s=180.0, weight=0.5
    ),
]


class LoadProfile(ProfileModel):
    """Mix of calls; by default one completion in fifty has over 100,000 prompt tokens.

    Parameters
    ----------
    accounts : list of AccountProfile
        Client accounts.
    classes : list of ClassProfile
        Length classes of completions.
    services : list of ServiceProfile
        Kinds of service calls.
    service_share : float
        Fraction of the calls that are service calls, from 0 to 1.
    shared_prefix_tokens : int
        Length of the prompt prefix that is common to an account, in tokens; 0 for none.
    shared_prefix_share : float
        Fraction of the completions that use this prefix, from 0 to 1.
    resend_share : float
        Fraction of the non-idempotent calls that are sent a second time with the same key, from 0
        to 1.
    """

    accounts: list[AccountProfile] = [AccountProfile(name="skylight")]
    classes: list[ClassProfile] = DEFAULT_CLASSES
    services: list[ServiceProfile] = []
    service_share: float = Field(default=0.0, ge=0, le=1)
    shared_prefix_tokens: int = Field(default=512, ge=0)
    shared_prefix_share: float = Field(default=0.5, ge=0, le=1)
    resend_share: float = Field(default=0.0, ge=0, le=1)


def load_profile(path: Path | None) -> LoadProfile:
    """Load a profile from a JSON file, or return the default profile for ``None``.

    Raises
    ------
    ValueError
        If the file is not a valid profile.
    """
    if path is None:
        return LoadProfile()
    return LoadProfile.model_validate(json.loads(path.read_text(encoding="utf-8")))


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call of the plan.

    Parameters
    ----------
    number : int
        Position in the plan.
    start_s : float
        Send time in seconds from the start of the load test, independent of earlier calls.
    account : AccountProfile
        Client account.
    caller : str
        Caller within the account.
    length_class : ClassProfile, optional
        Length class of a completion.
    prompt_tokens, max_tokens : int
        Prompt length and number of output tokens of a completion.
    has_shared_prefix : bool
        Whether the prompt starts with the common prefix of its account.
    service : ServiceProfile, optional
        Kind of a service call.
    operation_id : str, optional
        ``Idempotency-Key`` of a service call.
    """

    number: int
    start_s: float
    account: AccountProfile
    caller: str
    length_class: ClassProfile | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    has_shared_prefix: bool = False
    service: ServiceProfile | None = None
    operation_id: str | None = None

    @property
    def timeout_s(self) -> float:
        """Deadline of the call in seconds."""
        return (self.length_class or self.service).timeout_s


def plan_calls(
    profile: LoadProfile, rate_per_s: float, duration_s: float, seed: int
) -> list[PlannedCall]:
    """Plan the calls of a load test, with exponentially distributed intervals.

    Parameters
    ----------
    profile : LoadProfile
        Mix of calls.
    rate_per_s : float, > 0
        Mean number of calls per second.
    duration_s : float, > 0
        Time during which calls start, in seconds.
    seed : int
        Random seed; the same seed gives the same plan.

    Returns
    -------
    list of PlannedCall
        Calls in the order of their send time.
    """
    rng = random.Random(seed)
    calls: list[PlannedCall] = []
    start_s = rng.expovariate(rate_per_s)
    while start_s < duration_s:
        if profile.services and rng.random() < profile.service_share:
            calls += _plan_service_call(profile, len(calls), start_s, rng)
        else:
            calls.append(_plan_completion(profile, len(calls), start_s, rng))
        start_s += rng.expovariate(rate_per_s)
    return sorted(calls, key=lambda call: call.start_s)


def _choose(weighted: list, rng: random.Random):
    return rng.choices(weighted, [one.weight for one in weighted])[0]


def _choose_caller(profile: LoadProfile, rng: random.Random) -> tuple[AccountProfile, str]:
    account = _choose(profile.accounts, rng)
    return account, f"caller-{rng.randrange(account.callers)}"


def _plan_completion(
    profile: LoadProfile, number: int, start_s: float, rng: random.Random
) -> PlannedCall:
    account, caller = _choose_caller(profile, rng)
    length_class = _choose(profile.classes, rng)
    low, high = math.log(length_class.min_tokens), math.log(length_class.max_tokens)
    length = int(math.exp(rng.uniform(low, high)))
    return PlannedCall(
        number,
        start_s,
        account,
        caller,
        length_class,
        min(max(length, length_class.min_tokens), length_class.max_tokens),
        rng.randint(length_class.min_output, length_class.max_output),
        rng.random() < profile.shared_prefix_share,
    )


def _plan_service_call(
    profile: LoadProfile, number: int, start_s: float, rng: random.Random
) -> list[PlannedCall]:
    account, caller = _choose_caller(profile, rng)
    service = _choose(profile.services, rng)
    operation_id = f"op-{rng.getrandbits(64):016x}"
    call = PlannedCall(number, start_s, account, caller, service=service, operation_id=operation_id)
    if service.repeatable or rng.random() >= profile.resend_share:
        return [call]
    resent = PlannedCall(
        number + 1,
        start_s + RESEND_DELAY_S,
        account,
        caller,
        service=service,
        operation_id=operation_id,
    )
    return [call, resent]
