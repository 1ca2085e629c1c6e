"""Claims of one key slot, as its owner keeps them.

Pure: the owner's daemon carries out the writes that are asked for here and
says how they ended.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from typing import Iterable

from attrs import define, field, frozen

from endivegw.exceptions import InvariantError
from endivegw.results import Reason, Refused
from endivegw.types import AttemptId, RequestIdentity, TargetName

__all__ = [
    "CannotTell",
    "Claim",
    "ClaimAnswer",
    "ClaimAsk",
    "ClaimLimits",
    "Commit",
    "Existing",
    "Granted",
    "SlotOwner",
    "Waiting",
    "claim_key",
]

_KEY_BYTES = 16


def claim_key(identity: RequestIdentity) -> bytes:
    """Return the digest under which a request is claimed."""
    text = f"{identity.client_account}\0{identity.idempotency_key}"
    return hashlib.blake2b(text.encode(), digest_size=_KEY_BYTES).digest()


@frozen
class Claim:
    """Bind a request to the one attempt that may run it.

    :param incarnation: of the target's sidecar; another one refuses the order.
    """

    key: bytes
    attempt_id: AttemptId
    target: TargetName
    incarnation: str
    body_digest: bytes


@frozen
class ClaimAsk:
    """Hold what a router wants to claim.

    :param replaces: the claimed attempt that provably never started, "" for none.
    :param repeatable: the claim is only to let another router find the attempt;
        losing it does no harm.
    :param lookup_only: never claim, only tell.
    """

    claim: Claim
    replaces: AttemptId = AttemptId("")
    repeatable: bool = False
    lookup_only: bool = False


@frozen
class Granted:
    """Say that the attempt may be handed over.

    :param durable: False where the claim is in the owner's memory only.
    """

    durable: bool


@frozen
class Existing:
    """Say which attempt holds the claim."""

    claim: Claim


@frozen
class CannotTell:
    """Say that the key may have been claimed by an owner that is gone."""


@frozen
class Waiting:
    """Say that the claim is being written; ask again after the next change."""


ClaimAnswer = Granted | Existing | CannotTell | Waiting | Refused


@frozen
class Commit:
    """Hold claims to write in one row; the same row is written until it ends."""

    sequence: int
    claims: tuple[Claim, ...]


@frozen
class ClaimLimits:
    """Bound an owner's state and its writes.

    :param spacing_s: between two commits of one slot. 32 slots then write at
        most 128 rows a second whatever the load is, well within the several
        hundred that the table takes from the whole fleet.
    :param row_claims: in one row, some 30 KB.
    :param retention_s: how long a claim is kept.
    :param most_claims: kept at once, some 20 MB. Beyond it new claims are
        refused: forgetting one early could run a request twice.
    :param most_hints: claims of repeatable requests, kept beside these; the
        oldest go first.
    :param beat_s: between two signs of life in the table.
    :param grace_s: without a beat before claims are granted from memory. An
        owner's end that is learned within it leaves the slot clean; the VM list
        lags some 10 to 30 seconds.
    """

    spacing_s: float = 0.25
    row_claims: int = 200
    retention_s: float = 3600.0
    most_claims: int = 50_000
    most_hints: int = 10_000
    beat_s: float = 3.0
    grace_s: float = 45.0

    @property
    def ring_rows(self) -> int:
        """Return after how many rows the first one is overwritten.

        By then every claim in it is older than the retention time.
        """
        return int(self.retention_s / self.spacing_s) + 1


@define
class _Entry:
    claim: Claim
    granted_s: float
    durable: bool


@define
class SlotOwner:
    """Grant each key of one slot to one attempt.

    :param tainted_until_s: until when keys that are not found may have been
        claimed by an earlier owner; 0 where none can have been.
    :param next_sequence: of the first row that this owner writes.
    """

    slot: int
    limits: ClaimLimits
    beat_at_s: float
    tainted_until_s: float = 0.0
    next_sequence: int = 0
    lost: bool = False
    releasing: bool = False
    _entries: OrderedDict[bytes, _Entry] = field(factory=OrderedDict)
    _hints: OrderedDict[bytes, Claim] = field(factory=OrderedDict)
    _pending: OrderedDict[bytes, None] = field(factory=OrderedDict)
    _in_flight: Commit | None = None
    _last_commit_s: float = float("-inf")
    _failing: bool = False

    @property
    def flushed(self) -> bool:
        """Return whether every claim is in the table."""
        return not self._pending and self._in_flight is None

    @property
    def claims(self) -> int:
        """Return how many claims are kept."""
        return len(self._entries)

    def load(self, claims: Iterable[Claim], now_s: float) -> None:
        """Take in what earlier owners wrote, in the order of their rows."""
        for claim in claims:
            self._entries[claim.key] = _Entry(claim, now_s, True)
            self._entries.move_to_end(claim.key)

    def from_memory(self, now_s: float) -> bool:
        """Return whether claims are granted without the table's word.

        Only after the grace time without a beat: whoever takes the slot over
        reasons from the beats whether this can have happened.
        """
        return self._failing and now_s - self.beat_at_s >= self.limits.grace_s

    def ask(self, ask: ClaimAsk, now_s: float) -> ClaimAnswer:
        """Answer a claim, or keep it waiting until it is written."""
        if self.lost:
            return Refused(Reason.CLAIM_UNAVAILABLE, "the slot has another owner")
        entry = self._entries.get(ask.claim.key)
        if entry is not None:
            return self._ask_again(entry, ask, now_s)
        if ask.repeatable:
            return self._hint(ask)
        if now_s < self.tainted_until_s:
            return CannotTell()
        if ask.lookup_only:
            return Refused(Reason.NOT_FOUND, "no such claim")
        if self.releasing:
            return Refused(Reason.CLAIM_UNAVAILABLE, "the slot is handed over")
        self._expire(now_s)
        if len(self._entries) >= self.limits.most_claims:
            return Refused(Reason.CLAIM_UNAVAILABLE, "too many claims are kept")
        return self._grant(ask, now_s)

    def next_commit(self, now_s: float) -> Commit | None:
        """Return what is to be written now, None where nothing is."""
        if self.lost or now_s < self._last_commit_s + self.limits.spacing_s:
            return None
        if self._in_flight is None:
            self._in_flight = self._batch()
        if self._in_flight is not None:
            self._last_commit_s = now_s
        return self._in_flight

    def committed(self, commit: Commit) -> None:
        """Take it that the row is written."""
        if commit is not self._in_flight:
            raise InvariantError("a commit ended that was not under way")
        self._in_flight = None
        self._failing = False
        for claim in commit.claims:
            entry = self._entries.get(claim.key)
            if entry is not None and entry.claim is claim:
                entry.durable = True

    def failed(self) -> None:
        """Take it that the table gave no answer; the row may be written or not."""
        self._failing = True

    def beat(self, now_s: float) -> None:
        """Take it that the table took a sign of life from this owner."""
        self.beat_at_s = now_s
        self._failing = False

    def deposed(self) -> None:
        """Take it that the table has another owner for the slot."""
        self.lost = True

    def commit_due_s(self, now_s: float) -> float | None:
        """Return when the next commit may go out, None where nothing waits."""
        if self.lost or self.flushed:
            return None
        return max(now_s, self._last_commit_s + self.limits.spacing_s)

    def _ask_again(self, entry: _Entry, ask: ClaimAsk, now_s: float) -> ClaimAnswer:
        held = entry.claim
        if held.body_digest != ask.claim.body_digest:
            return Refused(Reason.KEY_CONFLICT, "the key was used with another body")
        if held.attempt_id == ask.claim.attempt_id:
            return self._word_on(entry, now_s)
        moves = ask.replaces and held.attempt_id == ask.replaces
        if not moves or ask.lookup_only or self.releasing:
            return Existing(held)
        return self._grant(ask, now_s)

    def _hint(self, ask: ClaimAsk) -> ClaimAnswer:
        """Answer for a repeatable request, from memory alone."""
        held = self._hints.get(ask.claim.key)
        if held is not None and held.body_digest != ask.claim.body_digest:
            return Refused(Reason.KEY_CONFLICT, "the key was used with another body")
        if held is not None and held.attempt_id not in (
            ask.claim.attempt_id,
            ask.replaces,
        ):
            return Existing(held)
        if ask.lookup_only and held is None:
            return Refused(Reason.NOT_FOUND, "no such claim")
        self._hints[ask.claim.key] = ask.claim
        self._hints.move_to_end(ask.claim.key)
        if len(self._hints) > self.limits.most_hints:
            self._hints.popitem(last=False)
        return Granted(durable=False)

    def _grant(self, ask: ClaimAsk, now_s: float) -> ClaimAnswer:
        claim = ask.claim
        held = self._entries.get(claim.key)
        if held is not None and held.claim.attempt_id != ask.replaces:
            raise InvariantError("a key would be granted to a second attempt")
        entry = _Entry(claim, now_s, False)
        self._entries[claim.key] = entry
        self._entries.move_to_end(claim.key)
        self._pending[claim.key] = None
        return self._word_on(entry, now_s)

    def _word_on(self, entry: _Entry, now_s: float) -> ClaimAnswer:
        if entry.durable:
            return Granted(durable=True)
        if self.from_memory(now_s):
            return Granted(durable=False)
        return Waiting()

    def _batch(self) -> Commit | None:
        keys = list(self._pending)[: self.limits.row_claims]
        if not keys:
            return None
        for key in keys:
            del self._pending[key]
        claims = tuple(self._entries[key].claim for key in keys)
        sequence = self.next_sequence
        self.next_sequence += 1
        return Commit(sequence, claims)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self.limits.retention_s
        while self._entries:
            entry = next(iter(self._entries.values()))
            if entry.granted_s > oldest_s or not entry.durable:
                return
            del self._entries[entry.claim.key]
