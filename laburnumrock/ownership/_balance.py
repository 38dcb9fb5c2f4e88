"""Choice of pool owners so that every live instance has its fair share of the pools."""

import hashlib
import math
from collections import Counter
from collections.abc import Iterable

MIN_MOVE_DIFFERENCE = 2
"""Minimum difference in pool counts for a move; with a difference of one, a move gains nothing."""


def choose_owner(pool_id: str, instances: list[str]) -> str | None:
    """Choose the owner of a pool by rendezvous hashing.

    Parameters
    ----------
    pool_id : str
        The pool.
    instances : list of str
        Instances that can own it.

    Returns
    -------
    str or None
        The instance with the highest weight; None if `instances` is empty.
    """
    return max(instances, key=lambda name: rendezvous_weight(pool_id, name), default=None)


def choose_balanced_owner(
    pool_id: str, instances: list[str], owned: Counter, pools: int
) -> str | None:
    """Choose the owner of a pool among the instances that own less than their fair share.

    Parameters
    ----------
    pool_id : str
        The pool.
    instances : list of str
        Instances that can own it.
    owned : Counter
        Number of pools by owner.
    pools : int
        Total number of pools.
    """
    fair_share = math.ceil(pools / max(1, len(instances)))
    below = [name for name in instances if owned[name] < fair_share]
    return choose_owner(pool_id, below or instances)


def choose_move(owner: str, pool_ids: Iterable[str], owned: Counter, receivers: list[str]):
    """Choose a pool to move from an owner to the instance with the fewest pools.

    Returns
    -------
    tuple of str, optional
        Pool and receiver; None if a move would not improve the balance.
    """
    receiver = min(receivers, key=lambda name: (owned[name], name), default=None)
    if receiver is None or owned[owner] - owned[receiver] < MIN_MOVE_DIFFERENCE:
        return None
    return max(pool_ids, key=lambda pool_id: rendezvous_weight(pool_id, receiver)), receiver


def rendezvous_weight(pool_id: str, instance_id: str) -> bytes:
    """Return the rendezvous weight of a pool and an instance."""
    return hashlib.blake2b(f"{pool_id}\0{instance_id}".encode(), digest_size=8).digest()
