"""Choice of owners so that every live instance has its part of the pools."""

import hashlib
import math
from collections import Counter
from collections.abc import Iterable

MOVE_DIFFERENCE = 2
"""An owner gives a pool to an instance that has at least this many fewer; one less is a draw."""


def choose_owner(pool_id: str, instances: list[str]) -> str | None:
    """Choose the owner of a pool by rendezvous hash.

    Parameters
    ----------
    pool_id : str
        The pool.
    instances : list of str
        Instances that can own it.

    Returns
    -------
    str or None
        The instance with the highest weight; None without instances.
    """
    return max(instances, key=lambda name: weigh(pool_id, name), default=None)


def choose_balanced_owner(
    pool_id: str, instances: list[str], owned: Counter, pools: int
) -> str | None:
    """Choose the owner of a pool among the instances below their part of all pools.

    Parameters
    ----------
    pool_id : str
        The pool.
    instances : list of str
        Instances that can own it.
    owned : Counter
        Number of pools by owner.
    pools : int
        Number of all pools.
    """
    part = math.ceil(pools / max(1, len(instances)))
    below = [name for name in instances if owned[name] < part]
    return choose_owner(pool_id, below or instances)


def choose_move(owner: str, pool_ids: Iterable[str], owned: Counter, receivers: list[str]):
    """Choose a pool that an owner gives to another instance.

    Returns
    -------
    tuple of str, optional
        Pool and receiver; None when the owner has no more than its part.
    """
    receiver = min(receivers, key=lambda name: (owned[name], name), default=None)
    if receiver is None or owned[owner] - owned[receiver] < MOVE_DIFFERENCE:
        return None
    return max(pool_ids, key=lambda pool_id: weigh(pool_id, receiver)), receiver


def weigh(pool_id: str, instance_id: str) -> bytes:
    """Return the rendezvous weight of a pool and an instance."""
    return hashlib.blake2b(f"{pool_id}\0{instance_id}".encode(), digest_size=8).digest()
