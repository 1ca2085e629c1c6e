"""Record SIGHUP, for a task that looks for it.

Its default action ends the process. Launchers therefore call :func:`record_hangups`
before they import any library, most of a second before the event loop runs.
"""

from __future__ import annotations

import signal

__all__ = ["ignore_hangups", "record_hangups", "take_hangup"]

_received = False


def record_hangups() -> None:
    """Record SIGHUP from now on."""
    signal.signal(signal.SIGHUP, _record)


def ignore_hangups() -> None:
    """Ignore SIGHUP until the process has ended.

    The interpreter restores the default action at its end, unless it is ignored.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def take_hangup() -> bool:
    """Return whether SIGHUP was received, and forget it."""
    global _received
    was_received, _received = _received, False
    return was_received


def _record(number: int, frame: object) -> None:
    global _received
    _received = True
