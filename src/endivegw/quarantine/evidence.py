"""Messages in which routers share evidence of requests and target terminations."""

from __future__ import annotations

from typing import Any

from attrs import frozen

from endivegw.documents import read_integer, read_name
from endivegw.quarantine.fingerprint import Fingerprint
from endivegw.quarantine.lost_sends import TargetStart
from endivegw.types import InstanceId

__all__ = [
    "Evidence",
    "RequestRecord",
    "TargetTerminated",
    "decode_starts",
    "encode_starts",
]


@frozen
class TargetTerminated:
    """The requests that were in progress at a target when it terminated."""

    start: TargetStart
    fingerprints: tuple[Fingerprint, ...]


@frozen
class RequestRecord:
    """All evidence about one request.

    Records of one request are merged by the union of both sets, which gives the same
    result in any order and with any repetition.

    :param terminations: starts of targets that terminated while running the request.
    :param invalidated: subset of these that no longer counts.
    :param was_answered: whether some target completed the request.
    """

    fingerprint: Fingerprint
    terminations: frozenset[TargetStart]
    invalidated: frozenset[TargetStart] = frozenset()
    was_answered: bool = False


Evidence = TargetTerminated | RequestRecord


def encode_starts(starts: frozenset[TargetStart]) -> list[list[Any]]:
    """Return starts as JSON values, in a canonical order."""
    pairs = ((start.instance_id, start.started_ms) for start in starts)
    return [list(pair) for pair in sorted(pairs, key=lambda pair: (pair[0], str(pair)))]


def decode_starts(values: Any) -> frozenset[TargetStart]:
    """Parse starts from JSON values.

    :raises ValueError: if they are malformed.
    :raises TypeError: if they are malformed.
    """
    return frozenset(
        TargetStart(
            InstanceId(read_name(instance_id)),
            None if started_ms is None else read_integer(started_ms),
        )
        for instance_id, started_ms in values
    )
