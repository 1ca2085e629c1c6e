"""Weight store client that reads the sizes of model weights over HTTP."""

from __future__ import annotations

from urllib.parse import quote

from endivegw.results import Done, Reason, Refused, Result
from endivegw.services.http_calls import HttpCaller, HttpResponse, read_failure

__all__ = ["HttpWeightStore"]


class HttpWeightStore:
    """Implement the weight store port.

    :param url: URL prefix to which the name of the weights is appended.
    """

    def __init__(self, url: str, *, client_name: str = "endivegw") -> None:
        self._caller = HttpCaller(url, client_name=client_name)

    async def size_bytes(self, name: str, *, timeout_s: float) -> Result[int]:
        """Return the size of the weights of a model or adapter."""
        path = "/" + quote(name, safe="/-_.~+@")
        response = await self._caller.call("HEAD", path, timeout_s=timeout_s)
        if not isinstance(response, HttpResponse):
            return read_failure(response)
        if response.status == 404:
            return Refused(Reason.NOT_FOUND, f"no weights named {name}")
        if response.status in (429, 503):
            detail = f"weight store throttled the call with HTTP {response.status}"
            return Refused(Reason.THROTTLED, detail, response.retry_after_s())
        if response.status != 200:
            return Refused(Reason.UNREACHABLE, f"HTTP {response.status}")
        try:
            return Done(int(response.fields["content-length"]))
        except (KeyError, ValueError):
            return Refused(
                Reason.BAD_REQUEST, "response has no valid content-length field"
            )

    async def close(self) -> None:
        """Close all pooled connections."""
        await self._caller.close()
