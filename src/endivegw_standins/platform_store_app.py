"""Small stand-in for the platform's store with conditional writes and a feed."""

from __future__ import annotations

import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs

import anyio
from attrs import define, field

__all__ = ["PlatformStoreApp"]

#: Maximum number of entries of one transaction.
_MAX_ENTRIES = 100


@define
class _Row:
    value: str
    revision: int
    deleted: bool = False
    part: str = ""


@define
class PlatformStoreApp:
    """Serve the store's calls as an ASGI application.

    :ivar down: whether every call is answered with 503.
    :ivar unreadable_tables: tables whose reads are answered with 503.
    :ivar lost_answers: number of next writes that take effect without an answer.
    """

    down: bool = False
    unreadable_tables: set[str] = field(factory=set)
    lost_answers: int = 0
    revision: int = 0
    _rows: dict[tuple[str, str], _Row] = field(factory=dict)
    _changed: anyio.Event | None = None

    def put(self, table: str, key: str, document: Any) -> None:
        """Write a row, like the operator or a target."""
        self._set(table, key, _encode_value(document))
        self._wake()

    def put_value(self, table: str, key: str, value: bytes, part: str = "") -> None:
        """Write a row with any value, like another writer."""
        self.revision += 1
        encoded = base64.b64encode(value).decode()
        self._rows[table, key] = _Row(encoded, self.revision, part=part)
        self._wake()

    def drop(self, table: str, key: str) -> None:
        """Delete a row, like the operator or a target."""
        self.revision += 1
        self._rows[table, key] = _Row("", self.revision, deleted=True)
        self._wake()

    def documents(self, table: str) -> dict[str, Any]:
        """Return a table's rows, decoded."""
        return {
            key: json.loads(_decode_value(row.value))
            for (row_table, key), row in self._rows.items()
            if row_table == table and not row.deleted
        }

    def partitions(self, table: str) -> dict[str, str]:
        """Return the partition of each row of a table."""
        return {
            key: row.part
            for (row_table, key), row in self._rows.items()
            if row_table == table and not row.deleted
        }

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one HTTP request."""
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        status = 503
        document: dict[str, Any] = {}
        lost = False
        query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
        if not self.down and query.get("Table") not in self.unreadable_tables:
            match scope["path"]:
                case "/rows-tx":
                    status, document = self._transact(json.loads(body))
                    lost = self.lost_answers > 0
                    self.lost_answers -= int(lost)
                case "/rows-get":
                    status, document = 200, self._listing(query)
                case "/rows-feed":
                    status, document = 200, await self._feed(query)
        if lost:
            await anyio.sleep_forever()
        headers = [(b"content-type", b"application/json")]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send(
            {"type": "http.response.body", "body": json.dumps(document).encode()}
        )

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = call["ExpectedRevision"]
        if len(expected) + len(call["SetKeys"]) + len(call["Remove"]) > _MAX_ENTRIES:
            return 400, {"Error": "too many entries"}
        for row in expected:
            current = self._rows.get((row["Table"], row["Key"]))
            revision = current.revision if current and not current.deleted else 0
            if revision != row["ResourceVersion"]:
                keys = [(row["Table"], row["Key"]) for row in expected]
                found = [self._row(key) for key in keys if key in self._rows]
                return 412, self._response(found)
        self.revision += 1
        for row in call["SetKeys"]:
            key = (row["Table"], row["Key"])
            self._rows[key] = _Row(row["Value"], self.revision, part=row["part"])
        for row in call["Remove"]:
            self._rows[row["Table"], row["Key"]] = _Row("", self.revision, True)
        self._wake()
        return 200, self._response(None)

    def _listing(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key
            for key, row in self._rows.items()
            if key[0] == query["Table"] and not row.deleted
            if row.part == query.get("part", "")
        )
        return {**self._response([self._row(key) for key in keys]), "MorePages": False}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["AfterRevision"])
        with anyio.move_on_after(int(query["WaitMs"]) / 1000.0):
            while True:
                rows = [
                    (row.revision, key)
                    for key, row in self._rows.items()
                    if key[0] == query["Table"] and row.revision > after
                ]
                if rows:
                    break
                if self._changed is None:
                    self._changed = anyio.Event()
                await self._changed.wait()
        return self._response([self._row(key) for _, key in sorted(rows)])

    def _set(self, table: str, key: str, value: str) -> None:
        self.revision += 1
        self._rows[table, key] = _Row(value, self.revision)

    def _row(self, key: tuple[str, str]) -> dict[str, Any]:
        row = self._rows[key]
        found = {"Table": key[0], "part": row.part, "Key": key[1]}
        if row.deleted:
            return {**found, "Tombstone": True, "ResourceVersion": row.revision}
        return {**found, "Value": row.value, "ResourceVersion": row.revision}

    def _response(self, rows: list[dict[str, Any]] | None) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        document: dict[str, Any] = {"ResourceVersion": self.revision, "NowMs": now_ms}
        if rows is not None:
            document["Rows"] = rows
        return document

    def _wake(self) -> None:
        if self._changed is not None:
            self._changed.set()
            self._changed = None


def _encode_value(document: Any) -> str:
    return base64.b64encode(json.dumps(document).encode()).decode()


def _decode_value(value: str) -> bytes:
    return base64.b64decode(value)
