"""Defer SIGHUP while a process starts.

Its default action ends the process, for most of a second until the event loop handles
signals. Launchers call :func:`defer_hangup` before they import any library.
"""

from __future__ import annotations

import signal

__all__ = ["defer_hangup", "take_hangup"]

_received = False


def defer_hangup() -> None:
    """Record SIGHUP from now on, until another handler is installed."""
    signal.signal(signal.SIGHUP, _record)


def take_hangup() -> bool:
    """Return whether SIGHUP was received, and forget it."""
    global _received
    was_received, _received = _received, False
    return was_received


def _record(number: int, frame: object) -> None:
    global _received
    _received = True
