"""The checks that an order must pass before anything runs at the target."""

from __future__ import annotations

from attrs import define

from endivegw.daemons.headers import PROTOCOL_VERSION
from endivegw.daemons.sidecar_frames import decode_start_order
from endivegw.daemons.sidecar_ports import Clock, GrantGate, KnownConfiguration
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.requests.starts import (
    AnswerDiscarded,
    JoinAttempt,
    MayStart,
    StartRegistry,
)
from endivegw.results import Reason, Refused
from endivegw.types import (
    AttemptId,
    BudgetKey,
    ClientAccountName,
    ConfigRevision,
    GrantId,
)

__all__ = ["AdmissionGate", "OLDEST_PROTOCOL_VERSION"]

#: Oldest protocol version that is still accepted. During an upgrade two versions
#: run side by side.
OLDEST_PROTOCOL_VERSION = 1


@define
class AdmissionGate:
    """Refuse orders that must not run; a refusal means that nothing ran.

    The sidecar is the last place where a stale router can be stopped: one that
    was paused, partitioned from the table, or restarted from an old state.

    :ivar drain_reason: why no new work is accepted, "" if it is accepted.
    """

    registry: StartRegistry
    grants: GrantGate
    configuration: KnownConfiguration
    clock: Clock
    drain_reason: str = ""
    _newest_revision: ConfigRevision = ConfigRevision(0)

    def check_sender(self, header: pb.Header) -> Refused | None:
        """Check the protocol version and the configuration's revision.

        A router with an older revision may use an account or a limit that is no
        longer in force. It learns of the newer revision from the answer's header.
        """
        version = header.protocol_version
        if not OLDEST_PROTOCOL_VERSION <= version <= PROTOCOL_VERSION:
            return Refused(
                Reason.BAD_REQUEST,
                f"protocol version {version} is not within"
                f" {OLDEST_PROTOCOL_VERSION} to {PROTOCOL_VERSION}",
            )
        self.configuration.receive_header(header)
        newest = max(self._newest_revision, self.configuration.revision)
        newest = max(newest, ConfigRevision(header.config_revision))
        self._newest_revision = newest
        if self.configuration.revision == 0:
            return Refused(Reason.NOT_READY, "no configuration received yet")
        if header.config_revision < newest:
            detail = (
                f"configuration revision {header.config_revision} is older than"
                f" the latest known revision {newest}"
            )
            return Refused(Reason.STALE_CONFIGURATION, detail)
        return None

    def check(
        self, start: pb.ExecuteStart
    ) -> MayStart | JoinAttempt | AnswerDiscarded | Refused:
        """Decide on an order, and admit its grant if it may start.

        Joins and replays are accepted while draining and without a grant: they
        start nothing, and a planned stop must not deny a retrying caller its
        answer.
        """
        refused = self.check_sender(start.header)
        if refused is not None:
            return refused
        decision = self.registry.decide(decode_start_order(start), self.clock())
        if not isinstance(decision, MayStart):
            return decision
        if self.drain_reason:
            return Refused(Reason.DRAINING, self.drain_reason)
        refused = self._check_grant(start)
        return decision if refused is None else refused

    def _check_grant(self, start: pb.ExecuteStart) -> Refused | None:
        if start.WhichOneof("work") == "service" and not start.grant_id:
            return None
        if start.reservation_tokens <= start.engine.prompt_bound_tokens:
            return Refused(
                Reason.BUDGET_EXHAUSTED,
                f"reservation of {start.reservation_tokens} tokens leaves none for an"
                f" answer to at most {start.engine.prompt_bound_tokens} prompt tokens",
            )
        return self.grants.admit(
            GrantId(start.grant_id),
            BudgetKey(ClientAccountName(start.client_account), start.budget),
            AttemptId(start.attempt_id),
            start.reservation_tokens,
            self.clock(),
        )
