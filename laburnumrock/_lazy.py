"""Public names of a package that are imported on first use."""

import importlib
from collections.abc import Callable


def make_lazy_getattr(package: str, modules: dict[str, str]) -> Callable[[str], object]:
    """Return a module-level ``__getattr__`` (PEP 562).

    Parameters
    ----------
    package : str
        Name of the package.
    modules : dict of str to str
        Private module that defines each public name.

    Notes
    -----
    A process imports only what its role needs: every import costs again at each restart, and the
    smallest machines have a third of a core.
    """

    def get(name: str) -> object:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    return get
