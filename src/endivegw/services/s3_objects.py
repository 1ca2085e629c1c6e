"""The object store over the S3 REST interface."""

from __future__ import annotations

from datetime import datetime, timezone
from urllib.parse import quote

from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services.http_calls import (
    Answer,
    CallFailure,
    HttpCaller,
    Lost,
    NotSent,
    failed_read,
    failed_write,
)
from endivegw.services.ports import StoredObject
from endivegw.services.signing import Credentials, signed_fields

__all__ = ["S3Objects"]

#: Conditional writes answer 412 when the condition fails and 409 when another
#: conditional write of the same object is under way; neither wrote anything.
_CONFLICT_STATUSES = (409, 412)


class S3Objects:
    """Implement the object store port over HTTP.

    :param url: endpoint with the bucket's name as its path.
    :param credentials: None where the service asks for no signature.
    """

    def __init__(
        self,
        url: str,
        *,
        credentials: Credentials | None = None,
        client_name: str = "endivegw",
    ) -> None:
        self._caller = HttpCaller(url, client_name=client_name)
        self._credentials = credentials

    async def get(self, name: str, *, timeout_s: float) -> Result[StoredObject]:
        """Return the object; refused with ``NOT_FOUND`` where there is none."""
        answer = await self._call("GET", name, {}, b"", timeout_s)
        match answer:
            case Answer(status=200, fields=fields, body=body):
                return Done(StoredObject(body, fields.get("etag", "")))
            case Answer():
                return _refused(answer)
            case NotSent() | Lost():
                return failed_read(answer)

    async def put(
        self, name: str, body: bytes, *, expected_tag: str | None, timeout_s: float
    ) -> Result[str]:
        """Write and return the new tag; refused with ``CONFLICT`` on another tag."""
        fields = {}
        if expected_tag == "":
            fields["if-none-match"] = "*"
        elif expected_tag is not None:
            fields["if-match"] = expected_tag
        answer = await self._call("PUT", name, fields, body, timeout_s)
        match answer:
            case Answer(status=200, fields=reply_fields):
                return Done(reply_fields.get("etag", ""))
            case Answer(status=status) if status >= 500 and status != 503:
                return Unknown(Reason.ANSWER_LOST, f"HTTP {status}")
            case Answer():
                return _refused(answer)
            case NotSent() | Lost():
                return failed_write(answer)

    async def close(self) -> None:
        """Close all kept connections."""
        await self._caller.close()

    async def _call(
        self,
        method: str,
        name: str,
        fields: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Answer | CallFailure:
        path = "/" + quote(name, safe="/-_.~")
        if self._credentials is not None:
            fields = signed_fields(
                self._credentials,
                "s3",
                method,
                self._caller.base_url + "/" + name,
                fields,
                body,
                datetime.now(timezone.utc),
            )
        return await self._caller.call(
            method, path, fields=fields, body=body, timeout_s=timeout_s
        )


def _refused(answer: Answer) -> Refused:
    detail = f"HTTP {answer.status}"
    if answer.status == 404:
        return Refused(Reason.NOT_FOUND, detail)
    if answer.status in _CONFLICT_STATUSES:
        return Refused(Reason.CONFLICT, detail)
    # 503 is the store's request to slow down; it is sent before any effect.
    if answer.status in (429, 503):
        return Refused(Reason.THROTTLED, detail, answer.retry_after_s())
    if answer.status >= 500:
        return Refused(Reason.UNREACHABLE, detail)
    return Refused(Reason.BAD_REQUEST, detail)
