"""Exceptions of the package.

Operations that may fail during normal use return result values with a reason (see
:mod:`endivegw.results`). Exceptions report errors that end a command or a daemon:
invalid settings, a violated invariant, or a response that cannot be parsed.
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

#: Exit code of a command that had valid input and failed.
EXIT_FAILED = 1

#: Exit code of a command whose input or settings are invalid.
EXIT_USAGE = 2


class EndivegwError(Exception):
    """Base class of the package's exceptions.

    :param message: one line that is shown to the operator unchanged.
    :ivar exit_code: exit code of the process that the exception ends.
    """

    exit_code = EXIT_FAILED

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class SettingsError(EndivegwError):
    """Report which file, section and key of the settings is invalid, and why."""

    exit_code = EXIT_USAGE


class PlatformError(EndivegwError):
    """Report that a service of the platform returned no usable response."""


class PeerError(EndivegwError):
    """Report that another process of the fleet returned no usable response."""


class TargetError(EndivegwError):
    """Report that a target returned no usable response."""


class InvariantError(EndivegwError):
    """Report that an operation would have violated an invariant of the product.

    Raised by checks that also run in production. The operation is not carried out.
    """
