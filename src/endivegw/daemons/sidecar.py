"""The daemon beside each target: the last gate before work runs."""

from __future__ import annotations

from contextlib import aclosing
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from endivegw.daemons.engine_starts import EngineStarts
from endivegw.daemons.headers import PROTOCOL_VERSION
from endivegw.daemons.peer_directory import TARGET_ROLE
from endivegw.daemons.sidecar_body import BodyChannel
from endivegw.daemons.sidecar_cancel import Cancels
from endivegw.daemons.sidecar_frames import (
    answer_gone_frame,
    offer_of,
    refusal,
    refusal_frame,
)
from endivegw.daemons.sidecar_gate import Gate
from endivegw.daemons.sidecar_jobs import Jobs, Target, engine_of
from endivegw.daemons.sidecar_load import LoadWatch
from endivegw.daemons.sidecar_ports import (
    ClaimDesk,
    Clock,
    GrantGate,
    HolderDirectory,
    KnownConfiguration,
    SidecarSettings,
)
from endivegw.daemons.sidecar_run import Run
from endivegw.daemons.sidecar_work import Work
from endivegw.peers import PeerSecurity, PlainPeers, serve_peers
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from endivegw.peers._generated.endivegw_peers_grpc import SidecarBase
from endivegw.requests.starts import (
    AnswerDiscarded,
    JoinAttempt,
    MayStart,
    StartRegistry,
)
from endivegw.results import Reason, Refused
from endivegw.telemetry import EventLog, Metrics
from endivegw.telemetry.catalogue.sidecar import (
    ATTEMPT_JOINED,
    ATTEMPT_REFUSED,
    DRAIN_ENDED,
    DRAIN_STARTED,
    GRANTS_SEALED,
)
from endivegw.types import (
    AttemptId,
    BudgetKey,
    ClientAccountName,
    ConfigRevision,
    GrantId,
)

__all__ = ["Sidecar"]


class Sidecar(SidecarBase):  # type: ignore[misc]
    """Serve the calls of routers and operators beside one target.

    :param target: what it stands beside.
    :param holders: asked before a grant is admitted; None where the ledger
        admits every holder.
    :param claims: answers claims where the sidecar owns key slots; None where
        it owns none.
    """

    def __init__(
        self,
        target: Target,
        grants: GrantGate,
        registry: StartRegistry,
        configuration: KnownConfiguration,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        settings: SidecarSettings,
        claims: ClaimDesk | None = None,
        holders: HolderDirectory | None = None,
    ) -> None:
        self._grants = grants
        self._registry = registry
        self._configuration = configuration
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._settings = settings
        self._claims = claims
        self._holders = holders
        engine = engine_of(target)
        self._jobs = Jobs(
            target, grants, settings, clock, EngineStarts(settings.instance_id)
        )
        self._work = Work(registry, grants, settings, clock, log, metrics)
        self._cancels = Cancels(registry, self._work, engine, settings, clock, log)
        self._gate = Gate(registry, grants, configuration, clock)
        self._load = LoadWatch(engine, settings, clock)
        self._tasks: TaskGroup | None = None
        self._leaving = ""
        self._listed_leaving = False
        self._stopping = False

    async def serve(
        self,
        host: str,
        port: int,
        security: PeerSecurity = PlainPeers(),
        *,
        task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; report the bound port when it listens."""
        async with anyio.create_task_group() as tasks:
            self.start(tasks)
            bound = await tasks.start(serve_peers, (self,), host, port, security)
            task_status.started(bound)

    def start(self, tasks: TaskGroup) -> None:
        """Run attempts and look after them in a task group, without a listener."""
        self._tasks = tasks
        self._work.attach(tasks)
        tasks.start_soon(self._load.poll)
        tasks.start_soon(self._expire)

    def leave(self, why: str) -> None:
        """Take no new work from now on, such as when the VM list says so.

        :param why: a sentence for routers and operators; "" takes work again.
        """
        self._leaving = why

    async def drain(self, bound_s: float | None = None) -> bool:
        """Take no new work and wait until running work has ended.

        :param bound_s: how long at most; the settings' bound where None.
        :returns: whether all of it ended.
        """
        bound_s = self._settings.drain_bound_s if bound_s is None else bound_s
        started_s = self._clock()
        self._stopping = True
        self.leave("the sidecar stops as planned")
        self._log.emit(DRAIN_STARTED, running=self._work.running, bound_s=bound_s)
        with anyio.move_on_after(bound_s):
            await self._work.wait_idle()
        running = self._work.running
        elapsed_s = round(self._clock() - started_s, 3)
        self._log.emit(DRAIN_ENDED, running=running, elapsed_s=elapsed_s)
        return running == 0

    async def Execute(self, stream: Any) -> None:
        """Start, join or replay an attempt and send the frames of its answer."""
        message = await stream.recv_message()
        if message is None or message.WhichOneof("kind") != "start":
            refused = Refused(Reason.BAD_REQUEST, "the first message is no start")
            await stream.send_message(refusal_frame(self._header(), "", refused))
            return
        start = message.start
        self._refresh_leaving()
        match await self._decide(start):
            case Refused() as refused:
                self._log_refusal(start, refused)
                frame = refusal_frame(self._header(), start.attempt_id, refused)
                await stream.send_message(frame)
            case AnswerDiscarded():
                await stream.send_message(answer_gone_frame(start.attempt_id))
            case JoinAttempt(attempt_id=attempt_id):
                await self._join(stream, start, attempt_id)
            case MayStart():
                await self._start(stream, start)

    async def Cancel(self, stream: Any) -> None:
        """Bar an attempt that has not started, stop one that runs."""
        request = await stream.recv_message()
        reply = await self._cancels.cancel(request)
        reply.header.CopyFrom(self._header())
        await stream.send_message(reply)

    async def Seal(self, stream: Any) -> None:
        """Refuse later work under grants; tell what each consumed."""
        request = await stream.recv_message()
        ids = tuple(GrantId(grant_id) for grant_id in request.grant_ids)
        sealed = self._grants.seal(ids, self._clock())
        reply = pb.SealReply(header=self._header())
        for grant in sealed:
            reply.grants.add(
                grant_id=grant.grant_id,
                consumed_tokens=grant.consumed_tokens,
                running_tokens=grant.running_tokens,
                running=grant.running,
            )
        self._log.emit(
            GRANTS_SEALED,
            grants=len(ids),
            consumed_tokens=sum(grant.consumed_tokens for grant in sealed),
            running_tokens=sum(grant.running_tokens for grant in sealed),
        )
        await stream.send_message(reply)

    async def Heartbeat(self, stream: Any) -> None:
        """Tell the target's load and whether it takes new work, at each ask."""
        async for request in stream:
            self._gate.check_sender(request.header)
            self._meet_holder(request.header.grant_holder)
            self._hear_list(request.leaving_vm)
            await stream.send_message(self._heartbeat())

    def _hear_list(self, leaving_vm: str) -> None:
        # A machine that is listed as leaving does not come back; its successor
        # at the same address has another id, and is not meant.
        if leaving_vm and leaving_vm == self._settings.vm:
            self._listed_leaving = True

    def _meet_holder(self, holder: str) -> None:
        """Get to know a router's grants while the table can be asked.

        A router that was started shortly before the table went away would
        otherwise be refused by every sidecar until the table is back, although
        it has tokens in hand.
        """
        if holder and self._holders is not None and self._tasks is not None:
            self._tasks.start_soon(self._holders.prefetch_holder, holder)

    def _heartbeat(self) -> pb.HeartbeatReply:
        self._refresh_leaving()
        draining = bool(self._gate.leaving)
        reply = pb.HeartbeatReply(
            header=self._header(),
            load=self._load.report(self._work.running, draining),
            # Routers take this word for good; what may end is only draining.
            leaving=self._stopping or self._listed_leaving,
            start_incarnation=self._registry.incarnation,
        )
        if self._claims is not None:
            reply.owned_slots.extend(self._claims.owned_slots())
        return reply

    async def Claim(self, stream: Any) -> None:
        """Answer for the key slots that this process owns."""
        request = await stream.recv_message()
        refused = self._gate.check_sender(request.header)
        if refused is None and self._claims is None:
            refused = Refused(Reason.CLAIM_UNAVAILABLE, "owns no key slots")
        if refused is not None or self._claims is None:
            reply = pb.ClaimReply()
            if refused is not None:
                reply.refused.CopyFrom(refusal(refused))
        else:
            reply = await self._claims.claim(request)
        reply.header.CopyFrom(self._header())
        await stream.send_message(reply)

    async def Configuration(self, stream: Any) -> None:
        """Hand out the configuration to a process that has an older one."""
        request = await stream.recv_message()
        revision = ConfigRevision(request.header.config_revision)
        self._configuration.heard_header(request.header)
        snapshot = self._configuration.newer_than(revision)
        await stream.send_message(
            pb.ConfigReply(header=self._header(), snapshot=snapshot)
        )

    async def _decide(
        self, start: pb.ExecuteStart
    ) -> MayStart | JoinAttempt | AnswerDiscarded | Refused:
        if self._holders is not None and start.grant_id:
            refused = await self._holders.ready_for(
                GrantId(start.grant_id),
                BudgetKey(ClientAccountName(start.client_account), start.budget),
                start.reservation_tokens,
            )
            if refused is not None:
                return self._decide_without_start(start, refused)
        return self._gate.check(start)

    def _decide_without_start(
        self, start: pb.ExecuteStart, why: Refused
    ) -> MayStart | JoinAttempt | AnswerDiscarded | Refused:
        # Joins need no grant, and pass also where the table is away.
        start.join_only = True
        match self._gate.check(start):
            case Refused(reason=Reason.NOT_FOUND):
                return why
            case decision:
                return decision

    async def _start(self, stream: Any, start: pb.ExecuteStart) -> None:
        # No wait lies between the gate's word and the recorded start.
        run = self._work.new_run(offer_of(start), start.remaining_s)
        run.reserved = bool(start.grant_id)
        body = BodyChannel() if start.service.more_body else None
        job = self._jobs.job(run, start, body)
        if job is None:
            await self._refuse_work(stream, start, run)
            return
        self._work.start(run, job)
        if body is None:
            await self._send(stream, run, start.resume_offset, joined=False)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(body.pump, stream)
            await self._send(stream, run, start.resume_offset, joined=False)
            tasks.cancel_scope.cancel()

    async def _join(
        self, stream: Any, start: pb.ExecuteStart, attempt_id: AttemptId
    ) -> None:
        run = self._work.find(attempt_id)
        if run is None:
            await stream.send_message(answer_gone_frame(start.attempt_id))
            return
        self._log.emit(
            ATTEMPT_JOINED,
            attempt_id=start.attempt_id,
            joined_attempt_id=attempt_id,
            client_account=start.client_account,
            offset_bytes=start.resume_offset,
        )
        self._metrics.incr("attempts.joined")
        await self._send(stream, run, start.resume_offset, joined=True)

    async def _send(self, stream: Any, run: Run, offset: int, joined: bool) -> None:
        # Closing it at once takes the reader off the run; a run without readers
        # can be cancelled, and one that seems read could not.
        async with aclosing(run.follow(self._header(), offset, joined)) as frames:
            async for frame in frames:
                await stream.send_message(frame)

    async def _refuse_work(self, stream: Any, start: pb.ExecuteStart, run: Run) -> None:
        # The grant was admitted and nothing runs under it.
        if run.reserved:
            self._grants.end(run.order.attempt_id, run.usage, self._clock())
        refused = Refused(Reason.NO_TARGET, "another kind of target stands here")
        self._log_refusal(start, refused)
        frame = refusal_frame(self._header(), start.attempt_id, refused)
        await stream.send_message(frame)

    def _refresh_leaving(self) -> None:
        why = self._leaving
        if not why and self._listed_leaving:
            why = "the VM list says that the machine leaves"
        if not why and self._load.leaving:
            why = "the target takes no new work"
        if not why and self._configuration.revision == 0:
            # Routers then place work elsewhere at once, where they would be
            # refused here until the configuration has come.
            why = "no configuration was heard yet"
        self._gate.leaving = why

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(self._settings.load_interval_s)
            self._work.expire()

    def _header(self) -> pb.Header:
        return pb.Header(
            protocol_version=PROTOCOL_VERSION,
            instance_id=self._settings.instance_id,
            availability_zone=self._settings.availability_zone,
            config_revision=self._configuration.revision,
            vm=self._settings.vm,
            role=TARGET_ROLE,
            address=self._settings.address,
        )

    def _log_refusal(self, start: pb.ExecuteStart, refused: Refused) -> None:
        self._metrics.incr(f"attempts.refused.{refused.reason.value}")
        self._log.emit(
            ATTEMPT_REFUSED,
            attempt_id=start.attempt_id,
            client_account=start.client_account,
            reason=refused.reason.value,
            detail=refused.detail,
        )
