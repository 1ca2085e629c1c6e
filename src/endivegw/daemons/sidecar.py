"""The daemon beside each target, which admits, runs and cancels attempts."""

from __future__ import annotations

from contextlib import aclosing
from typing import Any

import anyio
from anyio.abc import TaskGroup, TaskStatus

from endivegw.daemons.engine_starts import EngineStarts
from endivegw.daemons.headers import PROTOCOL_VERSION
from endivegw.daemons.peer_directory import TARGET_ROLE
from endivegw.daemons.sidecar_body import BodyChannel
from endivegw.daemons.sidecar_cancel import AttemptCanceller
from endivegw.daemons.sidecar_frames import (
    answer_lost_frame,
    decode_start_order,
    refusal,
    refusal_frame,
)
from endivegw.daemons.sidecar_gate import AdmissionGate
from endivegw.daemons.sidecar_jobs import JobFactory, Target, get_engine
from endivegw.daemons.sidecar_load import LoadPoller
from endivegw.daemons.sidecar_ports import (
    ClaimService,
    Clock,
    GrantGate,
    HolderDirectory,
    KnownConfiguration,
    SidecarSettings,
)
from endivegw.daemons.sidecar_run import AttemptRun
from endivegw.daemons.sidecar_work import AttemptRunner
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

    :param target: the engine or plain service beside the sidecar.
    :param grants: the ledger of grants under which attempts are admitted.
    :param registry: records which attempts were started.
    :param configuration: the newest configuration of this process.
    :param claims: answers claims on the key slots that the sidecar owns; None if
        it owns none.
    :param holders: consulted before a grant is admitted; None if the ledger
        admits every holder.
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
        claims: ClaimService | None = None,
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
        engine = get_engine(target)
        self._job_factory = JobFactory(
            target, grants, settings, clock, EngineStarts(settings.instance_id)
        )
        self._runner = AttemptRunner(registry, grants, settings, clock, log, metrics)
        self._canceller = AttemptCanceller(
            registry, self._runner, engine, settings, clock, log
        )
        self._gate = AdmissionGate(registry, grants, configuration, clock)
        self._load = LoadPoller(engine, settings, clock)
        self._tasks: TaskGroup | None = None
        self._drain_reason = ""
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
        """Serve until cancelled; report the bound port once it listens."""
        async with anyio.create_task_group() as tasks:
            self.start(tasks)
            bound = await tasks.start(serve_peers, (self,), host, port, security)
            task_status.started(bound)

    def start(self, tasks: TaskGroup) -> None:
        """Run attempts and background tasks in a task group, without a listener."""
        self._tasks = tasks
        self._runner.attach(tasks)
        tasks.start_soon(self._load.poll)
        tasks.start_soon(self._expire)

    def set_drain_reason(self, reason: str) -> None:
        """Set why new work is refused from now on.

        :param reason: a sentence for routers and operators; "" to accept work
            again.
        """
        self._drain_reason = reason

    async def drain(self, bound_s: float | None = None) -> bool:
        """Refuse new work and wait until running work has ended.

        :param bound_s: maximum time in seconds; the bound from the settings if
            None.
        :returns: whether all of the work has ended.
        """
        bound_s = self._settings.drain_bound_s if bound_s is None else bound_s
        started_s = self._clock()
        self._stopping = True
        self.set_drain_reason("planned stop of the sidecar")
        self._log.emit(DRAIN_STARTED, running=self._runner.running, bound_s=bound_s)
        with anyio.move_on_after(bound_s):
            await self._runner.wait_idle()
        running = self._runner.running
        elapsed_s = round(self._clock() - started_s, 3)
        self._log.emit(DRAIN_ENDED, running=running, elapsed_s=elapsed_s)
        return running == 0

    async def Execute(self, stream: Any) -> None:
        """Start, join or replay an attempt and send the frames of its answer."""
        message = await stream.recv_message()
        if message is None or message.WhichOneof("kind") != "start":
            refused = Refused(
                Reason.BAD_REQUEST, "the first message of an Execute call must be start"
            )
            await stream.send_message(refusal_frame(self._header(), "", refused))
            return
        start = message.start
        self._refresh_drain_reason()
        match await self._decide(start):
            case Refused() as refused:
                self._log_refusal(start, refused)
                frame = refusal_frame(self._header(), start.attempt_id, refused)
                await stream.send_message(frame)
            case AnswerDiscarded():
                await stream.send_message(answer_lost_frame(start.attempt_id))
            case JoinAttempt(attempt_id=attempt_id):
                await self._join(stream, start, attempt_id)
            case MayStart():
                await self._start(stream, start)

    async def Cancel(self, stream: Any) -> None:
        """Bar an attempt that has not started, or stop one that runs."""
        request = await stream.recv_message()
        reply = await self._canceller.cancel(request)
        reply.header.CopyFrom(self._header())
        await stream.send_message(reply)

    async def Seal(self, stream: Any) -> None:
        """Refuse later work under grants; report what each has consumed."""
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
        """Answer each heartbeat with the load and whether new work is accepted."""
        async for request in stream:
            self._gate.check_sender(request.header)
            self._prefetch_holder(request.header.grant_holder)
            self._apply_leaving_vm(request.leaving_vm)
            await stream.send_message(self._heartbeat())

    def _apply_leaving_vm(self, leaving_vm: str) -> None:
        # A machine that is listed as leaving never returns. Its successor at the
        # same address has another vm id, so that the notice does not apply to it.
        if leaving_vm and leaving_vm == self._settings.vm:
            self._listed_leaving = True

    def _prefetch_holder(self, holder: str) -> None:
        """Read a router's grants while the table is available.

        Otherwise every sidecar would refuse a router that started shortly before
        an outage of the table until the table is back, although the router holds
        tokens.
        """
        if holder and self._holders is not None and self._tasks is not None:
            self._tasks.start_soon(self._holders.prefetch_holder, holder)

    def _heartbeat(self) -> pb.HeartbeatReply:
        self._refresh_drain_reason()
        draining = bool(self._gate.drain_reason)
        reply = pb.HeartbeatReply(
            header=self._header(),
            load=self._load.report(self._runner.running, draining),
            # For routers leaving is final; a state that may be revoked is
            # reported as draining only.
            leaving=self._stopping or self._listed_leaving,
            start_incarnation=self._registry.incarnation,
        )
        if self._claims is not None:
            reply.owned_slots.extend(self._claims.owned_slots())
        return reply

    async def Claim(self, stream: Any) -> None:
        """Answer a claim on the key slots that this process owns."""
        request = await stream.recv_message()
        refused = self._gate.check_sender(request.header)
        if refused is None and self._claims is None:
            refused = Refused(
                Reason.CLAIM_UNAVAILABLE, "this sidecar owns no key slots"
            )
        if refused is not None or self._claims is None:
            reply = pb.ClaimReply()
            if refused is not None:
                reply.refused.CopyFrom(refusal(refused))
        else:
            reply = await self._claims.claim(request)
        reply.header.CopyFrom(self._header())
        await stream.send_message(reply)

    async def Configuration(self, stream: Any) -> None:
        """Send the configuration to a process that has an older one."""
        request = await stream.recv_message()
        revision = ConfigRevision(request.header.config_revision)
        self._configuration.receive_header(request.header)
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
        self, start: pb.ExecuteStart, refused: Refused
    ) -> MayStart | JoinAttempt | AnswerDiscarded | Refused:
        # Joins need no grant, and are accepted while the table is unavailable.
        start.join_only = True
        match self._gate.check(start):
            case Refused(reason=Reason.NOT_FOUND):
                return refused
            case decision:
                return decision

    async def _start(self, stream: Any, start: pb.ExecuteStart) -> None:
        # There is no await between the gate's decision and the recorded start.
        run = self._runner.new_run(decode_start_order(start), start.remaining_s)
        run.reserved = bool(start.grant_id)
        body = BodyChannel() if start.service.more_body else None
        job = self._job_factory.create(run, start, body)
        if job is None:
            await self._refuse_work(stream, start, run)
            return
        self._runner.start(run, job)
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
        run = self._runner.find(attempt_id)
        if run is None:
            await stream.send_message(answer_lost_frame(start.attempt_id))
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

    async def _send(
        self, stream: Any, run: AttemptRun, offset: int, joined: bool
    ) -> None:
        # Closing the frames at once removes the reader from the run, which can be
        # cancelled only while it has no readers.
        async with aclosing(run.follow(self._header(), offset, joined)) as frames:
            async for frame in frames:
                await stream.send_message(frame)

    async def _refuse_work(
        self, stream: Any, start: pb.ExecuteStart, run: AttemptRun
    ) -> None:
        # The grant was admitted, but nothing runs under it.
        if run.reserved:
            self._grants.end(run.order.attempt_id, run.usage, self._clock())
        refused = Refused(
            Reason.NO_TARGET, "the target of this sidecar is of another kind"
        )
        self._log_refusal(start, refused)
        frame = refusal_frame(self._header(), start.attempt_id, refused)
        await stream.send_message(frame)

    def _refresh_drain_reason(self) -> None:
        reason = self._drain_reason
        if not reason and self._listed_leaving:
            reason = "the VM list shows this machine as leaving"
        if not reason and self._load.leaving:
            reason = "the target accepts no new work"
        if not reason and self._configuration.revision == 0:
            # Routers then place work at other targets, instead of being refused
            # here until the configuration has arrived.
            reason = "no configuration received yet"
        self._gate.drain_reason = reason

    async def _expire(self) -> None:
        while True:
            await anyio.sleep(self._settings.load_interval_s)
            self._runner.expire()

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
