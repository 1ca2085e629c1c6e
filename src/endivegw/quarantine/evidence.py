"""What routers tell each other of requests and the ends of targets. Pure messages."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from endivegw.quarantine.fingerprint import Fingerprint
from endivegw.quarantine.lost_sends import TargetStart
from endivegw.types import InstanceId

__all__ = ["Evidence", "RequestRecord", "TargetEnded", "read_starts", "write_starts"]


@frozen
class TargetEnded:
    """Say which requests were in progress at a target as it ended."""

    start: TargetStart
    fingerprints: tuple[Fingerprint, ...]


@frozen
class RequestRecord:
    """Hold all that is known of one request.

    Records of one request are joined by the unions of both sets, in any order and any
    number of times.

    :param ends: ends of targets at which it was in progress.
    :param void: those of them that do not count any more.
    :param was_answered: whether some target ran it to its end.
    """

    fingerprint: Fingerprint
    ends: frozenset[TargetStart]
    void: frozenset[TargetStart] = frozenset()
    was_answered: bool = False


Evidence = TargetEnded | RequestRecord


def write_starts(starts: frozenset[TargetStart]) -> list[list[Any]]:
    """Return starts in JSON's terms, in an order of their own."""
    pairs = ((start.instance_id, start.started_ms) for start in starts)
    return [list(pair) for pair in sorted(pairs, key=lambda pair: (pair[0], str(pair)))]


def read_starts(found: Any) -> frozenset[TargetStart]:
    """Read starts; :exc:`ValueError` or :exc:`TypeError` where they are malformed."""
    return frozenset(
        TargetStart(
            InstanceId(str(instance_id)),
            None if started_ms is None else int(started_ms),
        )
        for instance_id, started_ms in found
    )
