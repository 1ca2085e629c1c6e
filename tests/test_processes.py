"""Separate processes under kills, pauses and planned stops."""

import json
import signal
import threading
import time
import unittest

import httpcore

from endivegw.budgets.rows import HOLDER_PARTITION, HolderRow
from endivegw.dev.layout import MODEL, SERVICE
from endivegw_standins.engine_text import answer_text
from tests.process_fleet import process_fleet

LONG = 300


def headers(fleet, **more):
    fields = {"authorization": f"Bearer {fleet.accounts[0].key}"}
    fields.update({k.replace("_", "-"): v for k, v in more.items()})
    return list(fields.items())


def chat(text, **more):
    messages = [{"role": "user", "content": text}]
    document = {"model": MODEL, "messages": messages, "max_tokens": 250, **more}
    return json.dumps(document).encode()


def post(fleet, router, body, path="/v1/chat/completions", **more):
    url = fleet.url(router) + path
    return httpcore.request("POST", url, headers=headers(fleet, **more), content=body)


def text_of(reply):
    return json.loads(reply.content)["choices"][0]["message"]["content"]


def first_bytes(fleet, router, body, **more):
    """Send a streaming request; return the pool and the open stream's context."""
    pool = httpcore.ConnectionPool()
    context = pool.stream(
        "POST",
        fleet.url(router) + "/v1/chat/completions",
        headers=headers(fleet, **more),
        content=body,
    )
    return pool, context


def wait_until(condition, limit_s, what):
    deadline_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(what)
        time.sleep(0.1)


def starts(fleet):
    return sum(
        count.starts for e in fleet.engines.values() for count in e.consumed.values()
    )


def consumed(fleet):
    return sum(engine.total_tokens() for engine in fleet.engines.values())


def budget_row(fleet):
    (row,) = (
        row
        for row in fleet.platform.table.page("budget", "", None, 10).rows
        if row.key.sort.startswith("kiosks")
    )
    return row.fields


def unrecovered(fleet, vm):
    rows = fleet.platform.table.page(HOLDER_PARTITION, "", None, 100).rows
    holders = [HolderRow.of(row) for row in rows]
    return [h for h in holders if h.instance_id.startswith(vm) and not h.recovered]


class ProcessTests(unittest.TestCase):
    def test_planned_stop_lets_a_stream_end(self):
        """
        A router gets SIGTERM while an answer is being streamed. The caller gets
        the whole answer, the health page fails meanwhile, and the router exits
        with 0 and has given all its tokens back.
        """
        with process_fleet() as fleet:
            prompt = f"stop len={LONG}"
            pool, context = first_bytes(fleet, 1, chat(prompt, stream=True))
            with pool, context as response:
                chunks = response.iter_stream()
                data = next(chunks)
                fleet.routers[1].send_signal(signal.SIGTERM)
                time.sleep(0.2)
                ready = httpcore.request("GET", fleet.url(1) + "/readyz")
                data += b"".join(chunks)
            self.assertEqual(ready.status, 503)
            self.assertTrue(data.endswith(b"data: [DONE]\n\n"))
            self.assertEqual(fleet.routers[1].wait(30), 0)
            self.assertEqual(budget_row(fleet)["granted"], 0)
            self.assertEqual(budget_row(fleet)["settled"], consumed(fleet))

    def test_killed_router_loses_no_answer_and_no_tokens(self):
        """
        A router is killed while it streams an answer. The caller sees the cut,
        sends the request again under its key through another router, and gets
        the whole answer of the run that went on. The dead router's tokens go
        back to the budget, less what the engine consumed.
        """
        with process_fleet() as fleet:
            prompt = f"kill len={LONG}"
            body = chat(prompt, stream=True)
            pool, context = first_bytes(fleet, 1, body, idempotency_key="k1")
            with self.assertRaises(httpcore.ProtocolError):
                with pool, context as response:
                    chunks = response.iter_stream()
                    next(chunks)
                    fleet.routers[1].kill()
                    for _ in chunks:
                        pass
            reply = post(fleet, 2, body, idempotency_key="k1")
            self.assertEqual(reply.status, 200)
            texts = [
                json.loads(event.removeprefix("data: "))["choices"]
                for event in reply.content.decode().split("\n\n")
                if event.startswith("data: {")
            ]
            whole = "".join(c[0]["delta"].get("content") or "" for c in texts if c)
            self.assertEqual(whole, answer_text(prompt, 250))
            self.assertEqual(starts(fleet), 1)
            wait_until(
                lambda: not unrecovered(fleet, "entry-1"), 40, "recovery of router 1"
            )
            fleet.routers[2].send_signal(signal.SIGTERM)
            self.assertEqual(fleet.routers[2].wait(30), 0)
            row = budget_row(fleet)
            self.assertEqual((row["granted"], row["settled"]), (0, consumed(fleet)))

    def test_paused_router_wakes_up_without_its_grants(self):
        """
        A router is frozen beyond the time after which the others recover its
        grants, and wakes up believing that it holds them. The sidecars refuse
        its work as not run, it draws anew, and its caller still gets one whole
        answer; nothing is spent twice.
        """
        with process_fleet() as fleet:
            self.assertEqual(post(fleet, 1, chat("warm len=20")).status, 200)
            fleet.pause(1)
            wait_until(
                lambda: not unrecovered(fleet, "entry-1"), 40, "recovery of router 1"
            )
            settled = budget_row(fleet)["settled"]
            self.assertEqual(settled, consumed(fleet))
            fleet.wake(1)
            fleet.wait_ready(1)
            reply = post(fleet, 1, chat("awake len=20"))
            self.assertEqual(reply.status, 200, reply.content)
            self.assertEqual(text_of(reply), answer_text("awake len=20", 250))
            self.assertEqual(starts(fleet), 2)
            for number in (1, 2):
                fleet.routers[number].send_signal(signal.SIGTERM)
                self.assertEqual(fleet.routers[number].wait(30), 0)
            row = budget_row(fleet)
            self.assertEqual((row["granted"], row["settled"]), (0, consumed(fleet)))

    def test_notice_runs_once_though_its_router_is_killed(self):
        """
        An arrival notice may not be repeated. Its router is killed after the
        hand-over; the caller sends it again through another router and learns
        the answer of the one call that was made.
        """
        with process_fleet() as fleet:
            (service,) = fleet.services.values()
            service.knobs.delay_s = 1.0
            path = f"/services/{SERVICE}/notices"
            lost = []

            def first_try():
                try:
                    post(fleet, 1, b"Ana is here", path, idempotency_key="n1")
                except httpcore.ProtocolError as error:
                    lost.append(error)

            caller = threading.Thread(target=first_try)
            caller.start()
            wait_until(lambda: service.calls_by_key["n1"], 20, "the first call")
            fleet.routers[1].kill()
            caller.join()
            reply = post(fleet, 2, b"Ana is here", path, idempotency_key="n1")
            self.assertEqual(len(lost), 1)
            self.assertEqual((reply.status, reply.content), (200, b"Ana is here"))
            self.assertEqual(service.calls_by_key["n1"], 1)


if __name__ == "__main__":
    unittest.main()
