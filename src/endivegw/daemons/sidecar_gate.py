"""The checks that an order passes before anything runs at the target."""

from __future__ import annotations

from attrs import define

from endivegw.daemons.headers import PROTOCOL_VERSION
from endivegw.daemons.sidecar_frames import offer_of
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

__all__ = ["Gate", "OLDEST_PROTOCOL_VERSION"]

#: The oldest version of the messages that this program still understands: in an
#: upgrade two versions run side by side.
OLDEST_PROTOCOL_VERSION = 1


@define
class Gate:
    """Refuse what must not run; every refusal says that nothing ran.

    The sidecar is the last place where a stale router can be stopped: one that
    was paused, cut off from the table, or restarted from an old state.

    :ivar leaving: why no new work is taken, "" where it is taken.
    """

    registry: StartRegistry
    grants: GrantGate
    configuration: KnownConfiguration
    clock: Clock
    leaving: str = ""
    _newest_revision: ConfigRevision = ConfigRevision(0)

    def check_sender(self, header: pb.Header) -> Refused | None:
        """Check the version of the messages and the configuration's revision.

        A router with an older revision may hold an account or a limit that is
        no longer in force. It learns the newer one from the answer's header.
        """
        version = header.protocol_version
        if not OLDEST_PROTOCOL_VERSION <= version <= PROTOCOL_VERSION:
            return Refused(Reason.BAD_REQUEST, f"messages of version {version}")
        self.configuration.heard_header(header)
        newest = max(self._newest_revision, self.configuration.revision)
        newest = max(newest, ConfigRevision(header.config_revision))
        self._newest_revision = newest
        if self.configuration.revision == 0:
            return Refused(Reason.NOT_READY, "no configuration was heard yet")
        if header.config_revision < newest:
            detail = f"revision {header.config_revision}, {newest} is known"
            return Refused(Reason.STALE_CONFIGURATION, detail)
        return None

    def check(
        self, start: pb.ExecuteStart
    ) -> MayStart | JoinAttempt | AnswerDiscarded | Refused:
        """Decide on an order; a start has its grant admitted.

        Joins and replays pass while draining and without a grant: they start
        nothing, and a planned stop must not cut off a caller that retries.
        """
        refused = self.check_sender(start.header)
        if refused is not None:
            return refused
        decision = self.registry.decide(offer_of(start), self.clock())
        if not isinstance(decision, MayStart):
            return decision
        if self.leaving:
            return Refused(Reason.DRAINING, self.leaving)
        refused = self._check_grant(start)
        return decision if refused is None else refused

    def _check_grant(self, start: pb.ExecuteStart) -> Refused | None:
        if start.WhichOneof("work") == "service" and not start.grant_id:
            return None
        if start.reservation_tokens <= start.engine.prompt_bound_tokens:
            return Refused(Reason.BUDGET_EXHAUSTED, "no tokens for an answer")
        return self.grants.admit(
            GrantId(start.grant_id),
            BudgetKey(ClientAccountName(start.client_account), start.budget),
            AttemptId(start.attempt_id),
            start.reservation_tokens,
            self.clock(),
        )
