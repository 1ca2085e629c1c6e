"""Object store client for the S3 REST API."""

from __future__ import annotations

from datetime import datetime, timezone
from urllib.parse import quote

from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.services.http_calls import (
    CallError,
    HttpCaller,
    HttpResponse,
    NotSent,
    ResponseLost,
    read_failure,
    write_failure,
)
from endivegw.services.ports import StoredObject
from endivegw.services.signing import Credentials, signed_fields

__all__ = ["S3Objects"]

#: A conditional write fails with 412 if its condition does not hold, and with 409
#: while another conditional write of the object is in progress. Neither has an effect.
_CONFLICT_STATUSES = (409, 412)


class S3Objects:
    """Implement the object store port over HTTP.

    :param url: endpoint with the bucket's name as its path.
    :param credentials: None if the service requires no signature.
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
        """Return the object; refused with ``NOT_FOUND`` if it does not exist."""
        response = await self._call("GET", name, {}, b"", timeout_s)
        match response:
            case HttpResponse(status=200, fields=fields, body=body):
                return Done(StoredObject(body, fields.get("etag", "")))
            case HttpResponse():
                return _refused(response)
            case NotSent() | ResponseLost():
                return read_failure(response)

    async def put(
        self, name: str, body: bytes, *, expected_tag: str | None, timeout_s: float
    ) -> Result[str]:
        """Write and return the new tag; refused with ``CONFLICT`` on a wrong tag."""
        fields = {}
        if expected_tag == "":
            fields["if-none-match"] = "*"
        elif expected_tag is not None:
            fields["if-match"] = expected_tag
        response = await self._call("PUT", name, fields, body, timeout_s)
        match response:
            case HttpResponse(status=200, fields=reply_fields):
                return Done(reply_fields.get("etag", ""))
            case HttpResponse(status=status) if status >= 500 and status != 503:
                return Unknown(Reason.ANSWER_LOST, f"HTTP {status}")
            case HttpResponse():
                return _refused(response)
            case NotSent() | ResponseLost():
                return write_failure(response)

    async def close(self) -> None:
        """Close all pooled connections."""
        await self._caller.close()

    async def _call(
        self,
        method: str,
        name: str,
        fields: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> HttpResponse | CallError:
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


def _refused(response: HttpResponse) -> Refused:
    detail = f"HTTP {response.status}"
    if response.status == 404:
        return Refused(Reason.NOT_FOUND, detail)
    if response.status in _CONFLICT_STATUSES:
        return Refused(Reason.CONFLICT, detail)
    # S3 uses 503 for "slow down", which is sent before the call has any effect.
    if response.status in (429, 503):
        return Refused(Reason.THROTTLED, detail, response.retry_after_s())
    if response.status >= 500:
        return Refused(Reason.UNREACHABLE, detail)
    return Refused(Reason.BAD_REQUEST, detail)
