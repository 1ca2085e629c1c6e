"""Requests refused for lack of a limit and expected to be retried."""

from __future__ import annotations

from attrs import define, field

from endivegw.types import ClientAccountName

__all__ = ["ExpectedRequests"]


@define
class ExpectedRequests:
    """Track the tokens that limits should cover when refused callers retry.

    A slow store records a limit later than a request can wait. Without these entries
    the limits would shrink again before the retry, which would be refused each time.
    """

    _entries: dict[ClientAccountName, list[tuple[int, float]]] = field(factory=dict)

    def add(self, account: ClientAccountName, tokens: int, until_s: float) -> None:
        """Expect a retry of a request until a given time."""
        self._entries.setdefault(account, []).append((tokens, until_s))

    def tokens(self, account: ClientAccountName, now_s: float) -> int:
        """Return the tokens that the expected requests of an account need in total."""
        entries = self._entries.get(account, [])
        entries[:] = [entry for entry in entries if entry[1] > now_s]
        return sum(tokens for tokens, _ in entries)
