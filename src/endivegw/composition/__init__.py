"""The composition root: the one place where the parts are wired together."""

from endivegw.composition.platform import Platform, open_platform
from endivegw.composition.process import peer_security
from endivegw.composition.router import build_router
from endivegw.composition.sidecar import build_sidecar

__all__ = [
    "Platform",
    "build_router",
    "build_sidecar",
    "open_platform",
    "peer_security",
]
