"""The exception base of the package.

Decisions return sentinel values with a reason (see :mod:`endivegw.results`).
Exceptions are for what ends a command or a daemon: bad settings, a broken
invariant, an answer that cannot be understood.
"""

from __future__ import annotations

__all__ = [
    "EXIT_FAILED",
    "EXIT_USAGE",
    "EndivegwError",
    "InvariantError",
    "PeerError",
    "PlatformError",
    "SettingsError",
    "TargetError",
]

#: Exit code of a command that understood its input and failed.
EXIT_FAILED = 1

#: Exit code of a command whose input or settings are wrong.
EXIT_USAGE = 2


class EndivegwError(Exception):
    """Carry a message for people and the exit code of the process.

    :param message: one line, shown to the operator as it stands.
    """

    exit_code = EXIT_FAILED

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class SettingsError(EndivegwError):
    """Say which file, section and key of the settings is wrong, and why."""

    exit_code = EXIT_USAGE


class PlatformError(EndivegwError):
    """Report that the platform's service gave no usable answer."""


class PeerError(EndivegwError):
    """Report that another process of the fleet gave no usable answer."""


class TargetError(EndivegwError):
    """Report that a target gave no usable answer."""


class InvariantError(EndivegwError):
    """Report that a promise of the product was about to be broken.

    Raised by the checks that stay alive in production. The operation that
    would have broken the promise does not take place.
    """
