"""A router that calls targets directly, over sockets: the answers to its callers."""

from __future__ import annotations

import unittest

import anyio

from tests.platform_fleet import CONFIGURATION, PREPAID, platform_fleet


class DirectRouterTests(unittest.TestCase):
    """Send requests to one or two routers with two engines and a plain target."""

    def test_plain_requests_and_streams_are_answered(self) -> None:
        """Without faults each request gets its target's complete answer."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                plain = await fleet.send_request("print", body=b"badge")
                self.assertEqual((plain.status, plain.body), (200, b"badge"))
                self.assertEqual(plain.fields["endivegw-response-seal"], "s")
                stream = await fleet.send_request("chat", tokens=(100, 40))
                self.assertEqual(stream.body.count(b"id: "), 5)
                self.assertTrue(stream.complete)
                run = fleet.workers["p-1"].runs[0]
                self.assertEqual(run.fields["endivegw-tenant"], "hotel")
                self.assertNotIn("authorization", run.fields)

        anyio.run(scenario)

    def test_each_router_writes_to_a_partition_of_its_own(self) -> None:
        """Twenty routers write their rows several times a second.

        In a single partition the store would serialize the writes, and callers would
        be refused although the router holds tokens of their account.
        """

        async def scenario() -> None:
            async with platform_fleet(routers=2) as fleet:
                await fleet.send_request("chat", tokens=(100, 40))
                parts = fleet.store.partitions("token-holders")
                self.assertEqual(parts, {"vm-0": "vm-0", "vm-1": "vm-1"})
                self.assertEqual(set(fleet.store.partitions("op").values()), {""})

        anyio.run(scenario)

    def test_the_metrics_page_counts_requests_by_outcome(self) -> None:
        """The page has requests by outcome, store calls and the tokens in hand."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                await fleet.send_request("print")
                await fleet.send_request("chat", tokens=(100, 40))
                await fleet.send_request("nowhere")
                page = await fleet.metrics()
                for line in (
                    'endivegw_requests_total{kind="at-most-once",outcome="answered"} 1',
                    'endivegw_requests_total{kind="stream",outcome="answered"} 1',
                    'endivegw_requests_refused_total{reason="service_not_found"} 1',
                    "endivegw_configuration_version 1",
                    'endivegw_store_call_seconds_count{call="write",outcome="done"}',
                ):
                    self.assertIn(line, page)
                hand_tokens = page.split("\nendivegw_hand_tokens ")[1].split()[0]
                self.assertGreater(float(hand_tokens), 0)

        anyio.run(scenario)

    def test_requests_that_are_not_allowed_are_refused_at_once(self) -> None:
        """A wrong key, an unknown path, and a request larger than the budget."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                self.assertEqual(
                    (await fleet.send_request("print", key="no")).status, 401
                )
                self.assertEqual((await fleet.send_request("nowhere")).status, 404)
                large = await fleet.send_request("chat", tokens=(PREPAID + 1, 5))
                self.assertEqual(large.status, 402)
                self.assertEqual(fleet.consumed_tokens(), 0)

        anyio.run(scenario)

    def test_a_stream_that_must_not_run_twice_is_truncated(self) -> None:
        """A target dies while it sends an event of a stream.

        The caller gets the events before it, and the answer must not look complete.
        """

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                for worker in fleet.workers.values():
                    worker.break_after_events = 2
                stream = await fleet.send_request("chat", tokens=(100, 40))
                self.assertEqual(stream.body.count(b"id: "), 2)
                self.assertFalse(stream.complete)

        anyio.run(scenario)

    def test_a_broken_resumable_stream_continues_at_another_target(self) -> None:
        """A target dies while it sends an event of a resumable stream.

        Each caller must get each event once, in one answer. The fleet is a new one,
        because a target that broke an answer earlier gets less work, perhaps none.
        """

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                fleet.workers["e-1"].break_after_events = 2

                async def watch() -> None:
                    stream = await fleet.send_request("resumable", tokens=(100, 40))
                    ids = [f"id: {number}\n".encode() for number in range(1, 6)]
                    self.assertEqual(
                        [stream.body.count(event) for event in ids], [1] * 5
                    )
                    self.assertTrue(stream.complete)

                # Four requests run at a time, so that both targets get some.
                async with anyio.create_task_group() as tasks:
                    for _ in range(4):
                        tasks.start_soon(watch)
                resumed = {
                    run.fields["last-event-id"]
                    for run in fleet.workers["e-2"].runs
                    if "last-event-id" in run.fields
                }
                self.assertEqual(resumed, {"2"})

        anyio.run(scenario)

    def test_a_refusal_by_a_target_is_a_refusal_for_the_caller(self) -> None:
        """An overloaded target sheds a request that must not run twice.

        The caller's answer must state that it did not run, and when to retry.
        """

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                fleet.workers["p-1"].remaining_sheds = 1
                answer = await fleet.send_request("print")
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.fields["retry-after"]), 0.0)
                self.assertEqual(fleet.workers["p-1"].runs, [])

        anyio.run(scenario)

    def test_a_budget_can_be_spent_completely_but_not_exceeded(self) -> None:
        """Callers of one account use two routers until its budget is exhausted.

        All of it can be spent through any of the routers, and no token more, even if
        the store is unavailable for some of the time. Callers that are told to retry do
        so as they are told.
        """

        async def scenario() -> None:
            async with platform_fleet(routers=2) as fleet:

                async def caller(number: int) -> None:
                    for _ in range(12):
                        await fleet.send_request(
                            "chat", router=number % 2, tokens=(1900, 100)
                        )

                async def spend_rest(router: int) -> None:
                    for _ in range(200):
                        answer = await fleet.send_request(
                            "chat", router=router, tokens=(1900, 100)
                        )
                        if answer.status == 402:
                            return
                        if answer.status == 503:
                            await anyio.sleep(float(answer.fields["retry-after"]))
                    self.fail(f"the budget is not spent at router {router}")

                async with anyio.create_task_group() as tasks:
                    for number in range(6):
                        tasks.start_soon(caller, number)
                    await anyio.sleep(0.3)
                    fleet.store.down = True
                    await anyio.sleep(0.5)
                    fleet.store.down = False
                await anyio.sleep(0.5)
                for router in (0, 1):
                    await spend_rest(router)
                used = fleet.consumed_tokens()
                self.assertLessEqual(used, PREPAID)
                self.assertGreater(used, PREPAID * 0.95)

        anyio.run(scenario)

    def test_a_write_whose_answer_is_lost_draws_tokens_once(self) -> None:
        """Writes of the store take effect, but their answers are lost.

        Repeated as new writes they would draw the same tokens twice, and callers
        would be refused although the account has prepaid tokens.
        """

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                fleet.store.lost_answers = 2
                statuses = set()
                with anyio.move_on_after(6):
                    while 200 not in statuses:
                        answer = await fleet.send_request("chat", tokens=(1900, 100))
                        statuses.add(answer.status)
                        await anyio.sleep(0.1)
                self.assertIn(200, statuses)
                await anyio.sleep(0.5)
                drawn = fleet.store.documents("token-budgets")["hotel"]["drawn"]
                self.assertLessEqual(drawn, PREPAID)

        anyio.run(scenario)

    def test_an_older_configuration_is_ignored(self) -> None:
        """A new version comes into force; an older one that arrives late does not."""

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                fewer = {**CONFIGURATION, "Version": 9, "Routes": []}
                fleet.store.put("op", "config", fewer)
                with anyio.fail_after(3):
                    while (await fleet.send_request("print")).status != 404:
                        await anyio.sleep(0.02)
                fleet.store.put("op", "config", CONFIGURATION)
                await anyio.sleep(0.3)
                self.assertEqual((await fleet.send_request("print")).status, 404)

        anyio.run(scenario)

    def test_a_graceful_shutdown_aborts_nothing_and_returns_tokens(self) -> None:
        """A router is drained.

        Its readiness check fails at once while it still answers requests. The tokens
        that it held are returned to the budget before it terminates.
        """

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                await fleet.send_request("chat", tokens=(1900, 100))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(fleet.routers[0].drain)
                    await anyio.sleep(0.1)
                    self.assertEqual(await fleet.ready_status(), 503)
                    answer = await fleet.send_request("print")
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(answer.fields["connection"], "close")
                drawn = fleet.store.documents("token-budgets")["hotel"]["drawn"]
                self.assertEqual(drawn, fleet.consumed_tokens())

        anyio.run(scenario)

    def test_a_stopping_router_refuses_callers_that_it_could_not_answer(self) -> None:
        """A load balancer with too few other routers keeps sending callers to a router
        that is about to terminate.

        Accepted connections would be closed by the shutdown, refused ones go to
        another router. A stream that is already running is completed.
        """

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                for worker in fleet.workers.values():
                    worker.event_pause_s = 0.7
                streams = []

                async def watch() -> None:
                    answer = await fleet.send_request(
                        "chat", tokens=(100, 40), deadline_ms=3900
                    )
                    streams.append(answer)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(watch)
                    await anyio.sleep(0.2)
                    tasks.start_soon(fleet.routers[0].drain)
                    await anyio.sleep(2.9)
                    with self.assertRaises(OSError):
                        await fleet.send_request("print")
                self.assertTrue(streams[0].complete)
                self.assertEqual(streams[0].body.count(b"id: "), 5)

        anyio.run(scenario)

    def test_a_replaced_target_gets_only_one_request(self) -> None:
        """A target crashed, and another instance answers at its address.

        Its entry stays in the registry for seconds. After the first refusal the router
        must not send further requests there, which would all be refused.
        """

        async def scenario() -> None:
            async with platform_fleet() as fleet:
                worker = fleet.workers["p-1"]
                worker.instance_id = "p-2"
                for _ in range(3):
                    self.assertEqual((await fleet.send_request("print")).status, 503)
                self.assertEqual(worker.misdirected, 1)
                entry = fleet.store.documents("servers")["p-1"]
                fleet.store.put("servers", "p-2", entry)
                with anyio.fail_after(3):
                    while (await fleet.send_request("print")).status != 200:
                        await anyio.sleep(0.05)

        anyio.run(scenario)
