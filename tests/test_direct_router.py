"""A router that calls targets itself, over sockets: what its callers get."""

from __future__ import annotations

import unittest

import anyio

from tests.platform_fleet import CONFIGURATION, PREPAID, platform_fleet


class DirectRouterTests(unittest.TestCase):
    """Play callers against one or two routers, two engines and a plain target."""

    def test_plain_requests_and_streams_are_answered(self) -> None:
        """A calm day: each request gets its target's whole answer."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                plain = await fleet.ask("print", body=b"badge")
                self.assertEqual((plain.status, plain.body), (200, b"badge"))
                self.assertEqual(plain.fields["endivegw-response-seal"], "s")
                stream = await fleet.ask("chat", tokens=(100, 40))
                self.assertEqual(stream.body.count(b"id: "), 5)
                self.assertTrue(stream.whole)
                run = fleet.workers["p-1"].runs[0]
                self.assertEqual(run.fields["endivegw-tenant"], "hotel")
                self.assertNotIn("authorization", run.fields)

        anyio.run(play)

    def test_each_router_writes_to_a_partition_of_its_own(self) -> None:
        """Twenty routers write their rows several times a second.

        In one partition the store would make them wait for each other, and callers
        would be refused although their account's tokens are held.
        """

        async def play() -> None:
            async with platform_fleet(routers=2) as fleet:
                await fleet.ask("chat", tokens=(100, 40))
                parts = fleet.store.partitions("token-holders")
                self.assertEqual(parts, {"vm-0": "vm-0", "vm-1": "vm-1"})
                self.assertEqual(set(fleet.store.partitions("op").values()), {""})

        anyio.run(play)

    def test_the_page_of_metrics_counts_what_callers_got(self) -> None:
        """An operator reads requests by outcome, store calls and tokens in hand."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                await fleet.ask("print")
                await fleet.ask("chat", tokens=(100, 40))
                await fleet.ask("nowhere")
                page = await fleet.metrics()
                for line in (
                    'endivegw_requests_total{kind="at-most-once",outcome="answered"} 1',
                    'endivegw_requests_total{kind="stream",outcome="answered"} 1',
                    'endivegw_requests_refused_total{reason="service_not_found"} 1',
                    "endivegw_configuration_version 1",
                    'endivegw_store_call_seconds_count{call="write",outcome="done"}',
                ):
                    self.assertIn(line, page)
                found = page.split("\nendivegw_hand_tokens ")[1].split()[0]
                self.assertGreater(float(found), 0)

        anyio.run(play)

    def test_what_is_not_allowed_is_refused_at_once(self) -> None:
        """A wrong key, a wrong path, a request larger than the budget."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                self.assertEqual((await fleet.ask("print", key="no")).status, 401)
                self.assertEqual((await fleet.ask("nowhere")).status, 404)
                large = await fleet.ask("chat", tokens=(PREPAID + 1, 5))
                self.assertEqual(large.status, 402)
                self.assertEqual(fleet.consumed_tokens(), 0)

        anyio.run(play)

    def test_a_stream_that_must_not_run_twice_is_cut(self) -> None:
        """A target dies in the middle of an event of a stream.

        Its caller has the events before it, and the answer does not look complete.
        """

        async def play() -> None:
            async with platform_fleet() as fleet:
                for worker in fleet.workers.values():
                    worker.breaks_after = 2
                stream = await fleet.ask("chat", tokens=(100, 40))
                self.assertEqual(stream.body.count(b"id: "), 2)
                self.assertFalse(stream.whole)

        anyio.run(play)

    def test_a_stream_that_breaks_off_goes_on_elsewhere(self) -> None:
        """A target dies in the middle of an event of a resumable stream.

        Each caller gets each event once, in one answer. The fleet is a fresh one: a
        target that broke an answer off before gets less work, and chance could give
        it none.
        """

        async def play() -> None:
            async with platform_fleet() as fleet:
                fleet.workers["e-1"].breaks_after = 2

                async def watch() -> None:
                    stream = await fleet.ask("resumable", tokens=(100, 40))
                    ids = [f"id: {number}\n".encode() for number in range(1, 6)]
                    self.assertEqual(
                        [stream.body.count(event) for event in ids], [1] * 5
                    )
                    self.assertTrue(stream.whole)

                # Four at a time, so that both targets are asked.
                async with anyio.create_task_group() as tasks:
                    for _ in range(4):
                        tasks.start_soon(watch)
                resumed = {
                    run.fields["last-event-id"]
                    for run in fleet.workers["e-2"].runs
                    if "last-event-id" in run.fields
                }
                self.assertEqual(resumed, {"2"})

        anyio.run(play)

    def test_a_refusal_without_running_is_a_refusal_for_the_caller(self) -> None:
        """A full target sheds a request that must not run twice.

        Its caller is told that it did not run and when to come back.
        """

        async def play() -> None:
            async with platform_fleet() as fleet:
                fleet.workers["p-1"].sheds = 1
                answer = await fleet.ask("print")
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.fields["retry-after"]), 0.0)
                self.assertEqual(fleet.workers["p-1"].runs, [])

        anyio.run(play)

    def test_a_budget_lasts_to_its_end_and_no_further(self) -> None:
        """Callers of one account press on two routers until its budget is used up.

        All of it can be spent, whichever router a caller comes to, and not a token
        more; also while the store is away for some of the time.
        """

        async def play() -> None:
            async with platform_fleet(routers=2) as fleet:

                async def caller(number: int) -> None:
                    for _ in range(12):
                        await fleet.ask("chat", router=number % 2, tokens=(1900, 100))

                async with anyio.create_task_group() as tasks:
                    for number in range(6):
                        tasks.start_soon(caller, number)
                    await anyio.sleep(0.3)
                    fleet.store.down = True
                    await anyio.sleep(0.5)
                    fleet.store.down = False
                await anyio.sleep(0.5)
                for router in (0, 1):
                    for _ in range(10):
                        await fleet.ask("chat", router=router, tokens=(1900, 100))
                used = fleet.consumed_tokens()
                self.assertLessEqual(used, PREPAID)
                self.assertGreater(used, PREPAID * 0.8)
                last = await fleet.ask("chat", tokens=(30_000, 100))
                self.assertEqual(last.status, 402)

        anyio.run(play)

    def test_a_lost_answer_of_the_store_draws_once(self) -> None:
        """Writes take effect and their answers never come.

        Repeated as new ones they would draw the same tokens twice, and callers
        would be refused although the account has paid.
        """

        async def play() -> None:
            async with platform_fleet() as fleet:
                fleet.store.lost_answers = 2
                statuses = set()
                with anyio.move_on_after(6):
                    while 200 not in statuses:
                        answer = await fleet.ask("chat", tokens=(1900, 100))
                        statuses.add(answer.status)
                        await anyio.sleep(0.1)
                self.assertIn(200, statuses)
                await anyio.sleep(0.5)
                drawn = fleet.store.documents("token-budgets")["hotel"]["drawn"]
                self.assertLessEqual(drawn, PREPAID)

        anyio.run(play)

    def test_a_configuration_never_goes_back(self) -> None:
        """A new version takes hold; an older one that comes late does not."""

        async def play() -> None:
            async with platform_fleet() as fleet:
                fewer = {**CONFIGURATION, "Version": 9, "Routes": []}
                fleet.store.put("op", "config", fewer)
                with anyio.fail_after(3):
                    while (await fleet.ask("print")).status != 404:
                        await anyio.sleep(0.02)
                fleet.store.put("op", "config", CONFIGURATION)
                await anyio.sleep(0.3)
                self.assertEqual((await fleet.ask("print")).status, 404)

        anyio.run(play)

    def test_an_orderly_stop_cuts_nothing_and_gives_tokens_back(self) -> None:
        """A router is told to stop.

        It fails the balancer's question at once, still answers, then ends; what it
        held goes back to the budget.
        """

        async def play() -> None:
            async with platform_fleet() as fleet:
                await fleet.ask("chat", tokens=(1900, 100))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(fleet.routers[0].drain)
                    await anyio.sleep(0.1)
                    self.assertEqual(await fleet.ready_status(), 503)
                    answer = await fleet.ask("print")
                    self.assertEqual(answer.status, 200)
                    self.assertEqual(answer.fields["connection"], "close")
                drawn = fleet.store.documents("token-budgets")["hotel"]["drawn"]
                self.assertEqual(drawn, fleet.consumed_tokens())

        anyio.run(play)

    def test_a_stopping_router_takes_no_callers_that_it_would_cut_off(self) -> None:
        """A balancer with too few other routers goes on sending callers to one that
        is about to end.

        Taken, they would be cut off by its end; turned away, they find another one.
        The stream that it has goes on to its end.
        """

        async def play() -> None:
            async with platform_fleet() as fleet:
                for worker in fleet.workers.values():
                    worker.event_pause_s = 0.7
                streams = []

                async def watch() -> None:
                    answer = await fleet.ask("chat", tokens=(100, 40), deadline_ms=3900)
                    streams.append(answer)

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(watch)
                    await anyio.sleep(0.2)
                    tasks.start_soon(fleet.routers[0].drain)
                    await anyio.sleep(2.9)
                    with self.assertRaises(OSError):
                        await fleet.ask("print")
                self.assertTrue(streams[0].whole)
                self.assertEqual(streams[0].body.count(b"id: "), 5)

        anyio.run(play)

    def test_a_replaced_target_is_asked_once(self) -> None:
        """A target crashed, and another instance answers at its address.

        Its entry stays in the registry for seconds; each request sent there would
        be refused, although the router knows after the first.
        """

        async def play() -> None:
            async with platform_fleet() as fleet:
                worker = fleet.workers["p-1"]
                worker.instance_id = "p-2"
                for _ in range(3):
                    self.assertEqual((await fleet.ask("print")).status, 503)
                self.assertEqual(worker.misdirected, 1)
                entry = fleet.store.documents("servers")["p-1"]
                fleet.store.put("servers", "p-2", entry)
                with anyio.fail_after(3):
                    while (await fleet.ask("print")).status != 200:
                        await anyio.sleep(0.05)

        anyio.run(play)
