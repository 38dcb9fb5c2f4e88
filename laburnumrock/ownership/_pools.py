"""Names of pools."""

from dataclasses import dataclass
from urllib.parse import quote, unquote

MODEL_POOL = "model"
SERVICE_POOL = "service"


@dataclass(frozen=True, slots=True)
class PoolName:
    """Parts of a pool id.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the pool's upstreams.
    kind : str
        ``model`` or ``service``.
    served : tuple of str
        Models or services that every upstream of the pool serves, sorted.

    Notes
    -----
    An upstream with several models belongs to one pool, named after all of them, since two owners
    must not grant the same memory.
    """

    failure_domain: str
    kind: str
    served: tuple[str, ...]

    @property
    def pool_id(self) -> str:
        """Text form, such as ``a/model/quote+survey``."""
        served = "+".join(quote(name, safe="") for name in sorted(self.served))
        return f"{quote(self.failure_domain, safe='')}/{self.kind}/{served}"


def parse_pool_id(pool_id: str) -> PoolName:
    """Split a pool id into its parts.

    Parameters
    ----------
    pool_id : str
        Text form of a pool name.

    Returns
    -------
    PoolName
        The parts.

    Raises
    ------
    ValueError
        If the text is not a pool id.
    """
    parts = pool_id.split("/")
    if len(parts) != 3 or parts[1] not in (MODEL_POOL, SERVICE_POOL):
        raise ValueError(f"not a pool id: {pool_id!r}")
    served = tuple(unquote(name) for name in parts[2].split("+"))
    return PoolName(unquote(parts[0]), parts[1], served)
