"""Rendezvous hashing of keys to machines."""

from __future__ import annotations

import hashlib
from typing import Iterable

__all__ = ["rendezvous_order"]


def rendezvous_order(key: str, vms: Iterable[str]) -> tuple[str, ...]:
    """Return the machines in the order in which they serve a key.

    Every process that knows the same machines computes the same order. Each key has its
    own order, so adding or removing a machine moves no key between two others. See
    Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
    """

    def weight(vm: str) -> bytes:
        return hashlib.blake2b(f"{key}\0{vm}".encode(), digest_size=8).digest()

    return tuple(sorted(vms, key=weight))
