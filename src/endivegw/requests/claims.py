"""Claims of one key slot, as stored by the owner of the slot.

The module does no I/O. The owner's daemon carries out the writes requested here
and reports their results.
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
    "ClaimLimits",
    "ClaimProposal",
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
    """A binding of a request to the one attempt that may run it.

    :param incarnation: incarnation of the target's sidecar; any other incarnation
        refuses the order.
    """

    key: bytes
    attempt_id: AttemptId
    target: TargetName
    incarnation: str
    body_digest: bytes


@frozen
class ClaimProposal:
    """A router's proposal of an attempt for a key.

    :param replaces: the claimed attempt that provably never started, "" if none.
    :param repeatable: whether the claim serves only to let another router find the
        attempt, so that losing it does no harm.
    :param lookup_only: whether to report the current claim without creating one.
    """

    claim: Claim
    replaces: AttemptId = AttemptId("")
    repeatable: bool = False
    lookup_only: bool = False


@frozen
class Granted:
    """The attempt may be handed over to its target.

    :param durable: False if the claim is only in the owner's memory.
    """

    durable: bool


@frozen
class Existing:
    """Another attempt holds the claim."""

    claim: Claim


@frozen
class CannotTell:
    """The key may have been claimed from an earlier owner that has terminated."""


@frozen
class Waiting:
    """The claim is being written; ask again after the next state change."""


ClaimAnswer = Granted | Existing | CannotTell | Waiting | Refused


@frozen
class Commit:
    """Claims to write in one row; the write is repeated until it succeeds."""

    sequence: int
    claims: tuple[Claim, ...]


@frozen
class ClaimLimits:
    """Limits on the state and the writes of a slot owner.

    :param commit_interval_s: seconds between two commits of one slot. With 0.25 s,
        32 slots write at most 128 rows/s at any load, well below the several
        hundred rows/s that the table accepts from the whole fleet.
    :param max_claims_per_row: claims in one row; 200 take about 30 KB.
    :param retention_s: seconds for which a claim is retained.
    :param max_claims: claims held at once; 50,000 take about 20 MB. Further claims
        are refused, because evicting one early could run a request twice.
    :param max_hints: claims of repeatable requests held in addition; the oldest are
        evicted first.
    :param heartbeat_interval_s: seconds between two heartbeats in the table.
    :param grace_s: seconds without a successful heartbeat before claims are granted
        from memory. If the owner's termination is detected within this time, the
        slot's claims are known to be complete. The VM list lags by 10 to 30 s.
    """

    commit_interval_s: float = 0.25
    max_claims_per_row: int = 200
    retention_s: float = 3600.0
    max_claims: int = 50_000
    max_hints: int = 10_000
    heartbeat_interval_s: float = 3.0
    grace_s: float = 45.0

    @property
    def ring_rows(self) -> int:
        """Return the number of rows after which the first one is overwritten.

        By then every claim in it is older than the retention time.
        """
        return int(self.retention_s / self.commit_interval_s) + 1


@define
class _Entry:
    claim: Claim
    granted_s: float
    durable: bool


@define
class SlotOwner:
    """Grant each key of one slot to one attempt.

    :param last_heartbeat_s: time of the last successful heartbeat.
    :param incomplete_until_s: time until which the claims are possibly incomplete: a
        key that is not found may have been claimed from an earlier owner. 0 if the
        claims are complete.
    :param next_sequence: sequence number of the first row that this owner writes.
    :ivar lost: whether another owner has acquired the slot.
    :ivar releasing: whether the slot is being handed over, so that no new claims are
        granted.
    """

    slot: int
    limits: ClaimLimits
    last_heartbeat_s: float
    incomplete_until_s: float = 0.0
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
        """Return whether every claim has been written to the table."""
        return not self._pending and self._in_flight is None

    @property
    def claims(self) -> int:
        """Return the number of stored claims."""
        return len(self._entries)

    def load(self, claims: Iterable[Claim], now_s: float) -> None:
        """Load the claims that earlier owners wrote, in the order of their rows."""
        for claim in claims:
            self._entries[claim.key] = _Entry(claim, now_s, True)
            self._entries.move_to_end(claim.key)

    def grants_from_memory(self, now_s: float) -> bool:
        """Return whether claims are granted before they are written to the table.

        This is so only after the grace time without a heartbeat. The next owner
        infers from the heartbeats whether it can have happened.
        """
        return self._failing and now_s - self.last_heartbeat_s >= self.limits.grace_s

    def ask(self, proposal: ClaimProposal, now_s: float) -> ClaimAnswer:
        """Answer a proposal, with :class:`Waiting` until the claim is written."""
        if self.lost:
            return Refused(
                Reason.CLAIM_UNAVAILABLE, f"slot {self.slot} has another owner"
            )
        entry = self._entries.get(proposal.claim.key)
        if entry is not None:
            return self._answer_known(entry, proposal, now_s)
        if proposal.repeatable:
            return self._answer_hint(proposal)
        if now_s < self.incomplete_until_s:
            return CannotTell()
        if proposal.lookup_only:
            return Refused(Reason.NOT_FOUND, "no claim exists for the key")
        if self.releasing:
            return Refused(
                Reason.CLAIM_UNAVAILABLE, f"slot {self.slot} is being handed over"
            )
        self._expire(now_s)
        if len(self._entries) >= self.limits.max_claims:
            return Refused(
                Reason.CLAIM_UNAVAILABLE,
                f"slot {self.slot} holds its limit of {self.limits.max_claims} claims",
            )
        return self._grant(proposal, now_s)

    def next_commit(self, now_s: float) -> Commit | None:
        """Return the commit to write now, or None."""
        if self.lost or now_s < self._last_commit_s + self.limits.commit_interval_s:
            return None
        if self._in_flight is None:
            self._in_flight = self._batch()
        if self._in_flight is not None:
            self._last_commit_s = now_s
        return self._in_flight

    def committed(self, commit: Commit) -> None:
        """Record that the row was written."""
        if commit is not self._in_flight:
            raise InvariantError(
                f"commit {commit.sequence} ended but was not in flight"
            )
        self._in_flight = None
        self._failing = False
        for claim in commit.claims:
            entry = self._entries.get(claim.key)
            if entry is not None and entry.claim is claim:
                entry.durable = True

    def failed(self) -> None:
        """Record that the table did not answer; the row may or may not be written."""
        self._failing = True

    def heartbeat(self, now_s: float) -> None:
        """Record that the table accepted a heartbeat from this owner."""
        self.last_heartbeat_s = now_s
        self._failing = False

    def ownership_lost(self) -> None:
        """Record that the table has another owner for the slot."""
        self.lost = True

    def commit_due_s(self, now_s: float) -> float | None:
        """Return when the next commit may be sent, or None if nothing is pending."""
        if self.lost or self.flushed:
            return None
        return max(now_s, self._last_commit_s + self.limits.commit_interval_s)

    def _answer_known(
        self, entry: _Entry, proposal: ClaimProposal, now_s: float
    ) -> ClaimAnswer:
        held = entry.claim
        if held.body_digest != proposal.claim.body_digest:
            return Refused(
                Reason.KEY_CONFLICT, "the key was used with a different body"
            )
        if held.attempt_id == proposal.claim.attempt_id:
            return self._grant_state(entry, now_s)
        replaces_held = proposal.replaces and held.attempt_id == proposal.replaces
        if not replaces_held or proposal.lookup_only or self.releasing:
            return Existing(held)
        return self._grant(proposal, now_s)

    def _answer_hint(self, proposal: ClaimProposal) -> ClaimAnswer:
        """Answer a proposal for a repeatable request from memory only."""
        held = self._hints.get(proposal.claim.key)
        if held is not None and held.body_digest != proposal.claim.body_digest:
            return Refused(
                Reason.KEY_CONFLICT, "the key was used with a different body"
            )
        if held is not None and held.attempt_id not in (
            proposal.claim.attempt_id,
            proposal.replaces,
        ):
            return Existing(held)
        if proposal.lookup_only and held is None:
            return Refused(Reason.NOT_FOUND, "no claim exists for the key")
        self._hints[proposal.claim.key] = proposal.claim
        self._hints.move_to_end(proposal.claim.key)
        if len(self._hints) > self.limits.max_hints:
            self._hints.popitem(last=False)
        return Granted(durable=False)

    def _grant(self, proposal: ClaimProposal, now_s: float) -> ClaimAnswer:
        claim = proposal.claim
        held = self._entries.get(claim.key)
        if held is not None and held.claim.attempt_id != proposal.replaces:
            raise InvariantError(
                f"key is held by attempt {held.claim.attempt_id}, cannot grant it to "
                f"{claim.attempt_id}"
            )
        entry = _Entry(claim, now_s, False)
        self._entries[claim.key] = entry
        self._entries.move_to_end(claim.key)
        self._pending[claim.key] = None
        return self._grant_state(entry, now_s)

    def _grant_state(self, entry: _Entry, now_s: float) -> ClaimAnswer:
        if entry.durable:
            return Granted(durable=True)
        if self.grants_from_memory(now_s):
            return Granted(durable=False)
        return Waiting()

    def _batch(self) -> Commit | None:
        keys = list(self._pending)[: self.limits.max_claims_per_row]
        if not keys:
            return None
        for key in keys:
            del self._pending[key]
        claims = tuple(self._entries[key].claim for key in keys)
        sequence = self.next_sequence
        self.next_sequence += 1
        return Commit(sequence, claims)

    def _expire(self, now_s: float) -> None:
        cutoff_s = now_s - self.limits.retention_s
        while self._entries:
            entry = next(iter(self._entries.values()))
            if entry.granted_s > cutoff_s or not entry.durable:
                return
            del self._entries[entry.claim.key]
