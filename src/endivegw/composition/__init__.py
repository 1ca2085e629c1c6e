"""The composition root, which wires the parts of each daemon together.

Submodules are imported lazily, on first access of a name. Each program needs only
one of them, and a restarted router serves callers sooner if it does not import the
libraries of the others.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from endivegw.composition.direct_router import build_direct_router
    from endivegw.composition.platform import Platform, open_platform
    from endivegw.composition.process import peer_security
    from endivegw.composition.router import build_router
    from endivegw.composition.sidecar import build_sidecar

__all__ = [
    "Platform",
    "build_direct_router",
    "build_router",
    "build_sidecar",
    "open_platform",
    "peer_security",
]

_MODULES = {
    "Platform": "platform",
    "build_direct_router": "direct_router",
    "build_router": "router",
    "build_sidecar": "sidecar",
    "open_platform": "platform",
    "peer_security": "process",
}


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_MODULES[name]}")
    return getattr(module, name)
