"""Templates and parameters of client accounts under one growing revision."""

from endivegw.configuration.model import (
    EMPTY_SNAPSHOT,
    AccountParameters,
    Snapshot,
    TargetKind,
    TargetParameters,
)

__all__ = [
    "AccountParameters",
    "EMPTY_SNAPSHOT",
    "Snapshot",
    "TargetKind",
    "TargetParameters",
]
