"""Versioned configuration: client accounts, templates and targets."""

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
