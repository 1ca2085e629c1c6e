"""The store of model weights, asked over HTTP how large they are."""

from __future__ import annotations

from urllib.parse import quote

from endivegw.results import Done, Reason, Refused, Result
from endivegw.services.http_calls import Answer, HttpCaller, failed_read

__all__ = ["HttpWeightStore"]


class HttpWeightStore:
    """Implement the weight store port.

    :param url: the address below which the weights lie by name.
    """

    def __init__(self, url: str, *, client_name: str = "endivegw") -> None:
        self._caller = HttpCaller(url, client_name=client_name)

    async def size_bytes(self, name: str, *, timeout_s: float) -> Result[int]:
        """Return how large the weights of a model or adapter are."""
        path = "/" + quote(name, safe="/-_.~+@")
        answer = await self._caller.call("HEAD", path, timeout_s=timeout_s)
        if not isinstance(answer, Answer):
            return failed_read(answer)
        if answer.status == 404:
            return Refused(Reason.NOT_FOUND, f"no weights named {name}")
        if answer.status in (429, 503):
            detail = "the weight store limits the rate"
            return Refused(Reason.THROTTLED, detail, answer.retry_after_s())
        if answer.status != 200:
            return Refused(Reason.UNREACHABLE, f"HTTP {answer.status}")
        try:
            return Done(int(answer.fields["content-length"]))
        except (KeyError, ValueError):
            return Refused(Reason.BAD_REQUEST, "the answer has no length")

    async def close(self) -> None:
        """Close all kept connections."""
        await self._caller.close()
