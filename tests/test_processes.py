"""Separate processes under kills, pauses and graceful shutdowns."""

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

LONG_ANSWER_PIECES = 300


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


def open_stream(fleet, router, body, **more):
    """Return a connection pool and the context manager of a streaming request."""
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


def started_attempts(fleet):
    return sum(
        count.starts for e in fleet.engines.values() for count in e.consumed.values()
    )


def consumed_tokens(fleet):
    return sum(engine.total_tokens() for engine in fleet.engines.values())


def budget_row(fleet):
    (row,) = (
        row
        for row in fleet.platform.table.page("budget", "", None, 10).rows
        if row.key.sort.startswith("kiosks")
    )
    return row.fields


def unrecovered_holders(fleet, vm):
    rows = fleet.platform.table.page(HOLDER_PARTITION, "", None, 100).rows
    holders = [HolderRow.of(row) for row in rows]
    return [h for h in holders if h.instance_id.startswith(vm) and not h.recovered]


class ProcessTests(unittest.TestCase):
    def test_planned_stop_lets_a_stream_end(self):
        """
        A router gets SIGTERM while it streams an answer. The caller gets the
        complete answer, the readiness check fails meanwhile, and the router exits
        with status 0 after it has returned all its tokens.
        """
        with process_fleet() as fleet:
            prompt = f"stop len={LONG_ANSWER_PIECES}"
            pool, context = open_stream(fleet, 1, chat(prompt, stream=True))
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
            self.assertEqual(budget_row(fleet)["settled"], consumed_tokens(fleet))

    def test_killed_router_loses_no_answer_and_no_tokens(self):
        """
        A router is killed while it streams an answer. The caller detects the broken
        connection, retries with the same key through another router, and gets the
        complete answer of the run that continued. The terminated router's tokens
        are returned to the budget, less the consumption at the engine.
        """
        with process_fleet() as fleet:
            prompt = f"kill len={LONG_ANSWER_PIECES}"
            body = chat(prompt, stream=True)
            pool, context = open_stream(fleet, 1, body, idempotency_key="k1")
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
            content = "".join(c[0]["delta"].get("content") or "" for c in texts if c)
            self.assertEqual(content, answer_text(prompt, 250))
            self.assertEqual(started_attempts(fleet), 1)
            wait_until(
                lambda: not unrecovered_holders(fleet, "entry-1"),
                40,
                "recovery of router 1",
            )
            fleet.routers[2].send_signal(signal.SIGTERM)
            self.assertEqual(fleet.routers[2].wait(30), 0)
            row = budget_row(fleet)
            self.assertEqual(
                (row["granted"], row["settled"]), (0, consumed_tokens(fleet))
            )

    def test_paused_router_wakes_up_without_its_grants(self):
        """
        A router is suspended until the other router has recovered its grants, and
        resumes with its outdated state. The sidecars refuse its work as not run, it
        draws new grants, and its caller still gets one complete answer. No token is
        spent twice.
        """
        with process_fleet() as fleet:
            self.assertEqual(post(fleet, 1, chat("warm len=20")).status, 200)
            fleet.pause(1)
            wait_until(
                lambda: not unrecovered_holders(fleet, "entry-1"),
                40,
                "recovery of router 1",
            )
            settled = budget_row(fleet)["settled"]
            self.assertEqual(settled, consumed_tokens(fleet))
            fleet.resume(1)
            fleet.wait_ready(1)
            reply = post(fleet, 1, chat("awake len=20"))
            self.assertEqual(reply.status, 200, reply.content)
            self.assertEqual(text_of(reply), answer_text("awake len=20", 250))
            self.assertEqual(started_attempts(fleet), 2)
            for number in (1, 2):
                fleet.routers[number].send_signal(signal.SIGTERM)
                self.assertEqual(fleet.routers[number].wait(30), 0)
            row = budget_row(fleet)
            self.assertEqual(
                (row["granted"], row["settled"]), (0, consumed_tokens(fleet))
            )

    def test_notice_runs_once_though_its_router_is_killed(self):
        """
        A notice may run only once. Its router is killed after it has forwarded the
        call to the service. The caller retries through another router and gets the
        answer of the first and only call.
        """
        with process_fleet() as fleet:
            (service,) = fleet.services.values()
            service.options.delay_s = 1.0
            path = f"/services/{SERVICE}/notices"
            lost = []

            def first_send():
                try:
                    post(fleet, 1, b"Ana is here", path, idempotency_key="n1")
                except httpcore.ProtocolError as error:
                    lost.append(error)

            caller = threading.Thread(target=first_send)
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
