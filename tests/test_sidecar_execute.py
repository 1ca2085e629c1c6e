"""A sidecar over sockets: starts, joins, replays, cancels and drains."""

import unittest

import anyio

from endivegw.peers import NotDelivered, OutcomeUnknown, SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as pb
from tests.sidecar_fakes import FakeEngine, FakeService, kind_of, served, text_of

COMPLETE = b'{"n":0}\n{"n":1}\n{"n":2}\n{"n":3}\n{"n":4}\n'


class ExecuteTests(unittest.IsolatedAsyncioTestCase):
    async def test_answer_is_complete(self):
        """An answer consists of a head, its bytes, and an end with its length."""
        async with served(FakeEngine()) as rig:
            frames = await rig.frames(rig.start_message())
        self.assertEqual(kind_of(frames[0]), "head")
        self.assertEqual(text_of(frames), COMPLETE)
        self.assertEqual(frames[-1].end.length, len(COMPLETE))
        self.assertEqual(rig.grants.charged, {"a1": 8})

    async def test_retry_after_router_death_gets_the_answer(self):
        """
        A router dies while it streams, and its caller retries through another
        one with the same key. The caller must get the complete answer, which is
        generated once.
        """
        engine = FakeEngine(pause_s=0.05)
        async with served(engine) as rig:
            dying = SidecarClient("127.0.0.1", rig.port)
            async for frame in dying.execute(rig.start_message()):
                if frame.data:
                    break
            dying.close()
            frames = await rig.frames(rig.start_message(attempt="a2"))
        self.assertEqual(text_of(frames), COMPLETE)
        self.assertIs(frames[0].head.joined, True)
        self.assertEqual(engine.starts, ["a1"])

    async def test_replay_from_an_offset(self):
        """A completed answer can be read again from any offset."""
        async with served(FakeEngine()) as rig:
            await rig.frames(rig.start_message())
            replay = rig.start_message(attempt="a2", resume_offset=8)
            frames = await rig.frames(replay)
        self.assertEqual(text_of(frames), COMPLETE[8:])

    async def test_call_to_a_stopped_sidecar_is_not_delivered(self):
        """
        A router calls a sidecar that has terminated. The error must show that
        nothing can have started, so that the request is placed elsewhere.
        """
        async with served(FakeEngine()) as rig:
            start = rig.start_message()
        client = SidecarClient("127.0.0.1", rig.port)
        with self.assertRaises(NotDelivered):
            async for _ in client.execute(start):
                pass
        client.close()

    async def test_call_to_a_dying_sidecar_is_broken(self):
        """
        A sidecar dies after it accepted an order. The router must not conclude
        that the request did not run.
        """
        async with served(FakeEngine(pause_s=0.1)) as rig:
            client = SidecarClient("127.0.0.1", rig.port)
            with self.assertRaises(OutcomeUnknown):
                async for frame in client.execute(rig.start_message()):
                    if frame.data:
                        rig.stop()
        client.close()

    async def test_two_accounts_with_one_key(self):
        """
        Two client accounts choose the same key. Each must get the answer to its
        own request.
        """
        engine = FakeEngine()
        async with served(engine) as rig:
            first = await rig.frames(rig.start_message())
            other = rig.start_message(attempt="a2", client_account="gates")
            second = await rig.frames(other)
        self.assertEqual(engine.starts, ["a1", "a2"])
        self.assertEqual(first[0].attempt_id, "a1")
        self.assertEqual(second[0].attempt_id, "a2")


class RefusalTests(unittest.IsolatedAsyncioTestCase):
    async def refused(self, rig, start):
        frames = await rig.frames(start)
        self.assertEqual([kind_of(frame) for frame in frames], ["refused"])
        return frames[0].refused.reason

    async def test_each_check_refuses_before_the_engine_is_called(self):
        """Every refusal states its reason, and the engine is not called."""
        engine = FakeEngine()
        async with served(engine) as rig:
            rig.grants.sealed.add("sealed")
            cases = {
                "grant_sealed": rig.start_message(grant_id="sealed"),
                "wrong_instance": rig.start_message(target_instance_id="s0.0"),
                "insufficient_quota": rig.start_message(reservation_tokens=3),
                "not_found": rig.start_message(join_only=True),
            }
            for reason, start in cases.items():
                self.assertEqual(await self.refused(rig, start), reason)
            version = rig.start_message()
            version.header.protocol_version = 99
            self.assertEqual(await self.refused(rig, version), "bad_request")
        self.assertEqual(engine.starts, [])

    async def test_refusal_of_a_stale_revision_names_the_newer_one(self):
        """
        A router returns with an old configuration after a network partition. Its
        work is refused, and the refusal names the revision in force.
        """
        engine = FakeEngine()
        async with served(engine) as rig:
            rig.configuration.revision = 7
            frames = await rig.frames(rig.start_message())
            self.assertEqual(frames[0].refused.reason, "stale_configuration")
            self.assertEqual(frames[0].header.config_revision, 7)
        self.assertEqual(engine.starts, [])

    async def test_same_key_with_another_body(self):
        """A key that was already used with another body is a conflict."""
        async with served(FakeEngine()) as rig:
            await rig.frames(rig.start_message())
            other = rig.start_message(attempt="a2", body_digest=b"other")
            reason = await self.refused(rig, other)
        self.assertEqual(reason, "idempotency_key_conflict")

    async def test_engine_that_does_not_start(self):
        """
        The engine refuses an order. The refusal shows that nothing ran, the
        tokens are released, and a duplicate of the order does not start either.
        """
        engine = FakeEngine()
        engine.refuse = True
        async with served(engine) as rig:
            self.assertEqual(await self.refused(rig, rig.start_message()), "overloaded")
            self.assertEqual(rig.grants.charged, {"a1": 0})
            engine.refuse = False
            self.assertEqual(await self.refused(rig, rig.start_message()), "cancelled")
        self.assertEqual(engine.starts, ["a1"])


class NotRepeatableTests(unittest.IsolatedAsyncioTestCase):
    async def test_duplicate_order_runs_once(self):
        """
        An order that must not be repeated is delivered more than once, by the
        network or by two routers. It runs once, and all callers get its answer.
        """
        service = FakeService(pause_s=0.05)
        async with served(service) as rig:
            answers = []

            async def call(attempt):
                answers.append(await rig.frames(rig.service_start(attempt)))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, "a1")
                tasks.start_soon(call, "a1")
                tasks.start_soon(call, "a2")
        self.assertEqual(service.bodies, [b"order"])
        self.assertEqual([text_of(frames) for frames in answers], [b"order"] * 3)

    async def test_restarted_sidecar_refuses_orders_for_its_predecessor(self):
        """
        A sidecar restarts without a record of earlier starts, and a late order
        for its predecessor arrives. It may have run there and must not run again.
        """
        service = FakeService()
        async with served(service, instance="s1") as rig:
            start = rig.service_start()
            await rig.frames(start)
        async with served(service, instance="s2") as rig:
            frames = await rig.frames(start)
        self.assertEqual(frames[0].refused.reason, "wrong_instance")
        self.assertEqual(len(service.bodies), 1)

    async def test_broken_upload_does_not_look_complete(self):
        """
        A router dies while it sends a request's body. The service must not
        receive the truncated body as a complete one.
        """

        async def truncated_body():
            yield b"half"
            raise ConnectionResetError

        service = FakeService()
        async with served(service) as rig:
            start = rig.service_start(body=b"")
            start.service.more_body = True
            client = SidecarClient("127.0.0.1", rig.port)
            with anyio.move_on_after(0.2):
                async for _ in client.execute(start, truncated_body()):
                    pass
            client.close()
            retry = await rig.frames(rig.service_start("a2", body=b""))
        self.assertEqual(service.bodies, [])
        self.assertEqual(kind_of(retry[-1]), "failed")


class CancelTests(unittest.IsolatedAsyncioTestCase):
    async def test_cancel_before_start_bars_the_attempt(self):
        """
        A router cancels an attempt, and the cancel overtakes the order. The
        order that arrives late must not start anything.
        """
        engine = FakeEngine()
        async with served(engine) as rig:
            request = pb.CancelRequest(
                header=rig.header(),
                attempt_id="a1",
                target_instance_id=rig.registry.incarnation,
            )
            reply = await rig.client.cancel(request, 1.0)
            frames = await rig.frames(rig.start_message())
        self.assertIs(reply.never_started, True)
        self.assertEqual(frames[0].refused.reason, "cancelled")
        self.assertEqual(engine.starts, [])

    async def test_cancel_of_an_older_incarnation_reports_nothing(self):
        """
        A sidecar restarts between an order and its cancel. It cannot know
        whether the order ran, and must not report that it did not.
        """
        async with served(FakeEngine()) as rig:
            request = pb.CancelRequest(
                header=rig.header(), attempt_id="a1", target_instance_id="s0.0"
            )
            reply = await rig.client.cancel(request, 1.0)
        self.assertIs(reply.never_started, False)
        self.assertIs(reply.ended, False)

    async def test_usage_comes_from_the_engine_after_a_sidecar_restart(self):
        """
        A sidecar is replaced while its engine generates, and the router cancels
        at the new one. The usage must come from the engine, so that the account
        is not charged the whole reservation.
        """
        engine = FakeEngine(pieces=500, pause_s=0.02)
        async with served(engine) as rig:
            async for frame in rig.client.execute(
                rig.start_message(reservation_tokens=900)
            ):
                if frame.data:
                    break
        async with served(engine, instance="s2") as rig:
            request = pb.CancelRequest(
                header=rig.header(), attempt_id="a1", target_instance_id="s1.0"
            )
            reply = await rig.client.cancel(request, 2.0)
        self.assertIs(reply.never_started, False)
        self.assertIs(reply.ended, True)
        self.assertEqual((reply.prompt_tokens, reply.completion_tokens), (3, 1))

    async def test_cancel_frees_engine_and_reservation(self):
        """
        A caller disconnects during its answer. The engine is stopped, and only
        the tokens that it generated are charged.
        """
        engine = FakeEngine(pieces=500, pause_s=0.02)
        async with served(engine) as rig:
            async for frame in rig.client.execute(
                rig.start_message(reservation_tokens=900)
            ):
                if frame.data:
                    break
            request = pb.CancelRequest(header=rig.header(), attempt_id="a1")
            reply = await rig.client.cancel(request, 2.0)
        self.assertIs(reply.ended, True)
        self.assertEqual(engine.cancelled, ["a1"])
        self.assertEqual(rig.grants.charged, {"a1": 4})

    async def test_cancel_of_one_caller_does_not_stop_the_other(self):
        """
        Two callers read the same answer, and one of them disconnects. The other
        one must still get the complete answer.
        """
        engine = FakeEngine(pause_s=0.1)
        async with served(engine) as rig:
            answers = []

            async def read():
                answers.append(await rig.frames(rig.start_message("a2")))

            async with anyio.create_task_group() as tasks:
                async for frame in rig.client.execute(rig.start_message()):
                    if frame.data:
                        tasks.start_soon(read)
                        await anyio.sleep(0.05)
                        break
                request = pb.CancelRequest(header=rig.header(), attempt_id="a1")
                reply = await rig.client.cancel(request, 2.0)
        self.assertIs(reply.running, True)
        self.assertEqual(text_of(answers[0]), COMPLETE)
        self.assertEqual(engine.cancelled, [])

    async def test_deadline_frees_the_engine(self):
        """
        An engine does not complete an answer before the deadline. The answer
        ends in an explicit error, and the engine is freed.
        """
        engine = FakeEngine(pieces=500, pause_s=0.02)
        async with served(engine) as rig:
            start = rig.start_message()
            start.remaining_s = 0.2
            frames = await rig.frames(start)
        self.assertEqual(frames[-1].failed.reason, "deadline_exceeded")
        self.assertEqual(engine.cancelled, ["a1"])


class EngineStreamTests(unittest.IsolatedAsyncioTestCase):
    async def test_broken_engine_stream_is_resumed(self):
        """
        The connection to the engine breaks while it generates. The answer
        continues where it stopped, with at most a short pause for the caller.
        """
        engine = FakeEngine(break_after=2)
        async with served(engine, resume_pause_s=0.01) as rig:
            frames = await rig.frames(rig.start_message())
        self.assertEqual(text_of(frames), COMPLETE)
        self.assertEqual(engine.resumes, [2])
        self.assertEqual(engine.starts, ["a1"])

    async def test_stream_that_cannot_be_resumed_ends_in_an_error(self):
        """
        The stream from the engine breaks during an answer and cannot be resumed.
        The answer must end in an explicit error and not look complete.
        """
        engine = FakeEngine(break_after=2)
        async with served(engine, max_resumes=0) as rig:
            frames = await rig.frames(rig.start_message())
        self.assertEqual(kind_of(frames[-1]), "failed")
        self.assertIs(frames[-1].failed.usage_final, True)

    async def test_engine_beyond_its_limit_is_stopped(self):
        """
        An engine ignores its token limit. It must be stopped before the client
        account is charged for more than was reserved.
        """
        engine = FakeEngine(pieces=10)
        async with served(engine) as rig:
            frames = await rig.frames(rig.start_message(reservation_tokens=7))
        self.assertEqual(kind_of(frames[-1]), "failed")
        self.assertEqual(engine.cancelled, ["a1"])


class DrainTests(unittest.IsolatedAsyncioTestCase):
    async def test_drain_refuses_new_work_and_lets_running_work_end(self):
        """
        A sidecar is stopped as planned while it streams. The running answer is
        completed, a retry still joins it, and new work is refused.
        """
        engine = FakeEngine(pause_s=0.05)
        async with served(engine) as rig:
            answers = {}

            async def call(name, start):
                answers[name] = await rig.frames(start)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, "running", rig.start_message())
                await anyio.sleep(0.1)
                tasks.start_soon(rig.sidecar.drain, 5.0)
                await anyio.sleep(0.02)
                tasks.start_soon(call, "joined", rig.start_message("a2"))
                tasks.start_soon(call, "new", rig.start_message("a3", "k3"))
        self.assertEqual(text_of(answers["running"]), COMPLETE)
        self.assertEqual(text_of(answers["joined"]), COMPLETE)
        self.assertEqual(answers["new"][0].refused.reason, "draining")

    async def test_drain_ends_at_its_bound(self):
        """Work that never ends delays a planned stop by the bound at most."""
        async with served(FakeEngine(pieces=1, pause_s=30)) as rig:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(rig.frames, rig.start_message())
                await anyio.sleep(0.05)
                self.assertIs(await rig.sidecar.drain(0.1), False)
                tasks.cancel_scope.cancel()

    async def test_engine_that_reports_draining_gets_no_new_work(self):
        """
        An engine itself reports that it accepts no new work. Its sidecar refuses
        new work, also from a router that is partitioned from the table.
        """
        engine = FakeEngine()
        engine.draining = True
        async with served(engine, load_interval_s=0.01) as rig:
            await anyio.sleep(0.05)
            frames = await rig.frames(rig.start_message())
            request = pb.HeartbeatRequest(header=rig.header())
            reply = await rig.client.heartbeat(request, 1.0)
        self.assertEqual(frames[0].refused.reason, "draining")
        self.assertIs(reply.load.draining, True)

    async def test_sidecar_learns_from_a_router_that_its_vm_leaves(self):
        """
        The VM list shows a target's machine as leaving, and one router has read
        it. Work from a router that is partitioned from the list is refused too.
        """
        engine = FakeEngine()
        async with served(engine, vm="vm-7") as rig:
            other = pb.HeartbeatRequest(header=rig.header(), leaving_vm="vm-6")
            reply = await rig.client.heartbeat(other, 1.0)
            self.assertIs(reply.leaving, False)
            notice = pb.HeartbeatRequest(header=rig.header(), leaving_vm="vm-7")
            reply = await rig.client.heartbeat(notice, 1.0)
            frames = await rig.frames(rig.start_message())
        self.assertIs(reply.leaving, True)
        self.assertEqual(frames[0].refused.reason, "draining")
        self.assertEqual(engine.starts, [])

    async def test_sidecar_without_configuration_is_not_offered(self):
        """
        A sidecar has just started and has no configuration yet. Its heartbeat
        reports it as draining, so that requests are placed elsewhere.
        """
        async with served(FakeEngine()) as rig:
            rig.configuration.revision = 0
            request = pb.HeartbeatRequest(header=rig.header())
            before = await rig.client.heartbeat(request, 1.0)
            rig.configuration.revision = 1
            after = await rig.client.heartbeat(request, 1.0)
        self.assertIs(before.load.draining, True)
        self.assertIs(after.load.draining, False)

    async def test_drained_target_is_not_reported_as_leaving(self):
        """
        Operators drain a target and resume it. It must be reported as draining
        only: routers never use a target again that was reported as leaving.
        """
        async with served(FakeEngine()) as rig:
            request = pb.HeartbeatRequest(header=rig.header())
            rig.sidecar.set_drain_reason("drained by operators")
            drained = await rig.client.heartbeat(request, 1.0)
            rig.sidecar.set_drain_reason("")
            resumed = await rig.client.heartbeat(request, 1.0)
        self.assertIs(drained.load.draining, True)
        self.assertIs(drained.leaving, False)
        self.assertIs(resumed.load.draining, False)
