"""Lazy import of the public names of a package."""

import importlib
from collections.abc import Callable


def make_lazy_getattr(package: str, modules: dict[str, str]) -> Callable[[str], object]:
    """Return a module-level ``__getattr__`` (PEP 562).

    Parameters
    ----------
    package : str
        Name of the package.
    modules : dict of str to str
        Name of the private module that defines each public name.

    Returns
    -------
    callable
        Function that imports the defining module when a public name is first used.

    Notes
    -----
    A process imports only what its role needs. Each import lengthens every restart, and the
    smallest machines have only a third of a CPU core.
    """

    def load_attribute(name: str) -> object:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    return load_attribute
