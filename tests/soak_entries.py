"""Rows that do not describe what is there, for the soak test."""

from __future__ import annotations

import base64
import itertools
import json
import random
from typing import Any

import anyio

from endivegw_standins.platform_store_app import PlatformStoreApp
from endivegw_standins.platform_target import TARGET_ENTRY, PlatformTarget
from endivegw_standins.platform_worker import ExtraAnswer
from tests.odd_values import ROW_DOCUMENTS, odd_rows

__all__ = ["SoakEntries"]

#: Answers that are sent again, and the maximum number of them for each fault.
_REPEATED_ANSWERS = (
    ExtraAnswer(421, has_id=True),
    ExtraAnswer(503, has_id=True, fields="endivegw-not-executed: 1\r\n"),
)
_MAX_REPEATED = 100

#: Maximum number of entries of former instances that are listed at once, and for how
#: long they are listed at most, in seconds.
_MAX_FORMER = 4
_MAX_LISTED_S = 1.5

#: Tables with odd rows of one fault, rows in each, and keys of all such rows.
_ODD_TABLES = 3
_ODD_ROWS = 4
_ODD_KEYS = 50


class SoakEntries:
    """Write rows like a process that has ended, or like one that is not of the fleet.

    :ivar addresses: the targets, each with the address that it registers.
    """

    def __init__(self, store: PlatformStoreApp, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._numbers = itertools.count()
        self.addresses: list[tuple[PlatformTarget, str]] = []

    def read(self, name: str) -> dict[str, Any] | None:
        """Return a target's entry, or None if there is none."""
        row = self._store._rows.get(("servers", name))
        if row is None or row.deleted:
            return None
        entry: dict[str, Any] = json.loads(base64.b64decode(row.value))
        return entry

    async def list_former(self) -> None:
        """List instances that have ended, at the address of one that serves.

        That one repeats its answers, so that a request which it rejects for another
        instance, and which is sent to itself next, gets two answers with its id.
        """
        target, address = self._rng.choice(self.addresses)
        target.worker.extra_answer = self._rng.choice(_REPEATED_ANSWERS)
        target.worker.remaining_extras = _MAX_REPEATED
        entry = {
            **TARGET_ENTRY,
            "Service": target.service,
            "Address": address,
            "Zone": target.zone,
        }
        names = [
            f"former-{next(self._numbers)}"
            for _ in range(self._rng.randrange(1, _MAX_FORMER + 1))
        ]
        for name in names:
            self._store.put("servers", name, entry)
        await anyio.sleep(self._rng.random() * _MAX_LISTED_S)
        for name in names:
            self._store.drop("servers", name)

    async def write_odd(self) -> None:
        """Leave odd rows in some tables, under keys that no process uses."""
        for table in self._rng.sample(sorted(ROW_DOCUMENTS), _ODD_TABLES):
            for value in self._rng.sample(odd_rows(table), _ODD_ROWS):
                key = f"odd-{self._rng.randrange(_ODD_KEYS)}"
                self._store.put_value(table, key, value)
