"""Re-exports that import their modules when they are first used.

A process that needs one module of a package imports the package as well. Routers start
on small machines, where each import of a module that they never use delays their first
request.
"""

from __future__ import annotations

import importlib
from typing import Any, Callable, Mapping

__all__ = ["lazy_exports"]


def lazy_exports(modules: Mapping[str, tuple[str, ...]]) -> Callable[[str], Any]:
    """Return the ``__getattr__`` of a package (PEP 562).

    :param modules: the names that the package exports, by the modules that have them.
    """
    module_of = {name: module for module, names in modules.items() for name in names}

    def get(name: str) -> Any:
        if name not in module_of:
            raise AttributeError(f"no attribute {name!r}")
        return getattr(importlib.import_module(module_of[name]), name)

    return get
