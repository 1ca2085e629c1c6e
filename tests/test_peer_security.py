"""Only the fleet's own processes can call a sidecar, over real sockets."""

import contextlib
import pathlib
import tempfile
import unittest
from contextlib import aclosing

import anyio

from endivegw.exceptions import PeerError, SettingsError
from endivegw.peers import Broken, NotDelivered, SidecarClient
from endivegw.peers._generated import endivegw_peers_pb2 as messages
from endivegw.peers._generated.endivegw_peers_grpc import SidecarBase, SidecarStub
from endivegw.peers.call_auth import (
    MAX_CLOCK_SKEW_S,
    CallTags,
    NonceMemory,
    derive_call_key,
    make_credentials,
    verify_credentials,
)
from endivegw.peers.security import (
    KeyedPeers,
    PlainPeers,
    keyed_peers,
    open_channel,
    tls_peers,
)
from endivegw.peers.server import serve_peers
from endivegw.results import Done, Refused

KEY = KeyedPeers((b"k" * 32,))
CERTIFICATES = pathlib.Path(__file__).parent / "certificates"


def certificates(name):
    return tls_peers(
        CERTIFICATES / f"{name}-ca.pem",
        CERTIFICATES / f"{name}.pem",
        CERTIFICATES / f"{name}.key",
    )


class RecordingSidecar(SidecarBase):
    def __init__(self):
        self.calls = []
        self.hang = False
        self.delays_s = []

    async def Execute(self, stream):
        async for message in stream:
            self.calls.append("execute")
            attempt = message.start.attempt_id
            for offset in range(3):
                await stream.send_message(
                    messages.Frame(attempt_id=attempt, offset=offset)
                )

    async def _unary(self, stream, reply):
        await stream.recv_message()
        self.calls.append(type(reply).__name__)
        await stream.send_message(reply)

    async def Cancel(self, stream):
        await self._unary(stream, messages.CancelReply())

    async def Seal(self, stream):
        await self._unary(stream, messages.SealReply())

    async def Heartbeat(self, stream):
        if self.hang:
            await anyio.sleep_forever()
        async for request in stream:
            self.calls.append("heartbeat")
            await anyio.sleep(self.delays_s.pop(0) if self.delays_s else 0)
            await stream.send_message(messages.HeartbeatReply(header=request.header))

    async def Claim(self, stream):
        await self._unary(stream, messages.ClaimReply())

    async def Configuration(self, stream):
        await self._unary(stream, messages.ConfigReply())


@contextlib.asynccontextmanager
async def serving(sidecar, security):
    async with anyio.create_task_group() as tasks:
        yield await tasks.start(serve_peers, [sidecar], "127.0.0.1", 0, security)
        tasks.cancel_scope.cancel()


async def execute(stub, attempts):
    frames = []
    async with stub.Execute.open() as stream:
        for number, attempt in enumerate(attempts):
            start = messages.ExecuteStart(attempt_id=attempt)
            message = messages.ExecuteMessage(start=start)
            await stream.send_message(message, end=number == len(attempts) - 1)
        async for frame in stream:
            frames.append((frame.attempt_id, frame.offset))
    return frames


async def run_attempt(client):
    async with aclosing(client.execute(messages.ExecuteStart(attempt_id="a1"))) as all:
        async for _ in all:
            pass


async def call_everything(client):
    """Return how each call of a sidecar's client ended."""
    endings = []
    seal = messages.SealRequest(grant_ids=["g1"])
    calls = [
        lambda: run_attempt(client),
        lambda: client.seal(seal, 2),
        lambda: client.cancel(messages.CancelRequest(attempt_id="a1"), 2),
        lambda: client.heartbeat(messages.HeartbeatRequest(), 2),
        lambda: client.claim(messages.ClaimRequest(), 2),
        lambda: client.configuration(messages.ConfigRequest(), 2),
    ]
    for call in calls:
        try:
            with anyio.fail_after(5):
                await call()
            endings.append("answered")
        except PeerError as error:
            endings.append(type(error))
    return endings


class PeerSecurityTests(unittest.TestCase):
    def attempt(self, server_security, security):
        """Return how calls end, and which ones reached the sidecar."""
        sidecar = RecordingSidecar()

        async def main():
            async with serving(sidecar, server_security) as port:
                client = SidecarClient("127.0.0.1", port, security, sender="router-1")
                try:
                    return await call_everything(client)
                finally:
                    client.close()

        return anyio.run(main), sidecar.calls

    def test_members_are_answered(self):
        """Each way of authentication lets the fleet's own calls through."""
        for security in (PlainPeers(), KEY, certificates("fleet")):
            with self.subTest(type(security).__name__):
                endings, calls = self.attempt(security, security)
                self.assertEqual(endings, ["answered"] * 6)
                self.assertEqual(len(calls), 6)

    def test_stranger_without_a_key_reaches_nothing(self):
        """Somebody in the network finds a sidecar's port. If it answered, they
        could spend any budget and seal any grant.
        """
        endings, calls = self.attempt(KEY, PlainPeers())
        self.assertEqual(endings, [NotDelivered] * 6)
        self.assertEqual(calls, [])

    def test_stranger_with_another_key_reaches_nothing(self):
        """A process of another fleet is pointed at this one by mistake. Work of
        strangers would be billed to this fleet's accounts.
        """
        other = KeyedPeers((b"x" * 32,))
        endings, calls = self.attempt(KEY, other)
        self.assertEqual(endings, [NotDelivered] * 6)
        self.assertEqual(calls, [])

    def test_stranger_without_our_certificate_reaches_nothing(self):
        """Somebody calls a sidecar with no certificate, or with one of another
        authority, and must not get as far as a call.
        """
        fleet = certificates("fleet")
        stranger = certificates("stranger")
        stranger.client.verify_mode = 0
        for name, security in (("stranger", stranger), ("plain", PlainPeers())):
            with self.subTest(name):
                endings, calls = self.attempt(fleet, security)
                self.assertNotIn("answered", endings)
                self.assertEqual(calls, [])

    def test_member_does_not_talk_to_a_strangers_server(self):
        """A stranger listens under a sidecar's old address. Sent there, requests
        of callers would be read, and refused seals would be believed.
        """
        endings, calls = self.attempt(certificates("stranger"), certificates("fleet"))
        self.assertNotIn("answered", endings)
        self.assertEqual(calls, [])

    def test_keys_can_be_replaced_process_by_process(self):
        """While a key is replaced, half of the fleet signs with the old one."""
        both = KeyedPeers((b"n" * 32, b"k" * 32))
        endings, _ = self.attempt(both, KEY)
        self.assertEqual(endings, ["answered"] * 6)

    def test_old_call_is_refused(self):
        """A recorded call is sent again an hour later; it is too old to count."""
        key = derive_call_key(KEY.keys[0], "/Seal", "router-1", 5_000, "n1")
        credentials = make_credentials(key, "router-1", 5_000, "n1")
        result = verify_credentials(
            KEY.keys, "/Seal", credentials, NonceMemory(), 3_605.0
        )
        self.assertIsInstance(result, Refused)

    def test_lost_connection_leaves_no_cancellation_behind(self):
        """A sidecar dies in the middle of a call. A timeout of the same task,
        set before the call, ends later; it must end the wait and nothing else,
        or the caller of that request gets no answer at all.
        """

        sidecar = RecordingSidecar()
        sidecar.hang = True
        outcome = []

        async def serve(life, *, task_status):
            with life:
                await serve_peers(
                    [sidecar], "127.0.0.1", 0, KEY, task_status=task_status
                )

        async def end_after(life, wait_s):
            await anyio.sleep(wait_s)
            life.cancel()

        async def main():
            life = anyio.CancelScope()
            async with anyio.create_task_group() as tasks:
                port = await tasks.start(serve, life)
                client = SidecarClient("127.0.0.1", port, KEY)
                tasks.start_soon(end_after, life, 0.1)
                with anyio.move_on_after(0.4):
                    try:
                        await client.heartbeat(messages.HeartbeatRequest(), 5)
                    except PeerError as error:
                        outcome.append(type(error))
                    await anyio.sleep(5)
                outcome.append("went on")
                client.close()

        anyio.run(main)
        self.assertEqual(outcome, [Broken, "went on"])

    def test_late_heartbeat_is_not_taken_for_the_next_one(self):
        """A sidecar is paused and answers a heartbeat after its timeout. Taken
        for the answer to the next one, every view of it would be one too old,
        and a drain be seen a whole interval late.
        """
        sidecar = RecordingSidecar()
        sidecar.delays_s = [0.2, 0.2]

        async def beat(client, revision, timeout_s):
            header = messages.Header(config_revision=revision)
            request = messages.HeartbeatRequest(header=header)
            reply = await client.heartbeat(request, timeout_s)
            return reply.header.config_revision

        async def main():
            async with serving(sidecar, KEY) as port:
                client = SidecarClient("127.0.0.1", port, KEY)
                with self.assertRaises(Broken):
                    await beat(client, 1, 0.1)
                with anyio.move_on_after(0.1):
                    await beat(client, 2, 5)
                await anyio.sleep(0.3)
                answers = [await beat(client, number, 1) for number in (3, 4, 5)]
                client.close()
                return answers

        self.assertEqual(anyio.run(main), [3, 4, 5])

    def test_many_messages_in_one_call_keep_their_order(self):
        """Tags are numbered, and long streams in both directions pass."""
        sidecar = RecordingSidecar()

        async def main():
            async with serving(sidecar, KEY) as port:
                channel = open_channel("127.0.0.1", port, KEY)
                try:
                    return await execute(SidecarStub(channel), ["a", "b", "c"])
                finally:
                    channel.close()

        frames = anyio.run(main)
        expected = [(name, offset) for name in "abc" for offset in range(3)]
        self.assertEqual(frames, expected)

    def test_recorded_call_is_not_taken_twice(self):
        """Somebody records a seal or a heartbeat and sends it once more within
        the allowed difference of clocks.
        """
        key = derive_call_key(KEY.keys[0], "/Seal", "router-1", 5_000, "n1")
        credentials = make_credentials(key, "router-1", 5_000, "n1")
        nonces = NonceMemory()
        first = verify_credentials(KEY.keys, "/Seal", credentials, nonces, 5.0)
        self.assertEqual(first, Done(key))
        again = verify_credentials(KEY.keys, "/Seal", credentials, nonces, 6.0)
        self.assertIsInstance(again, Refused)
        edge_s = 5.0 + MAX_CLOCK_SKEW_S
        late = verify_credentials(KEY.keys, "/Seal", credentials, nonces, edge_s)
        self.assertIsInstance(late, Refused)

    def test_credentials_hold_for_one_method(self):
        """Credentials of a heartbeat, overheard, do not open a call that seals."""
        key = derive_call_key(KEY.keys[0], "/Heartbeat", "router-1", 5_000, "n1")
        credentials = make_credentials(key, "router-1", 5_000, "n1")
        result = verify_credentials(KEY.keys, "/Seal", credentials, NonceMemory(), 5.0)
        self.assertIsInstance(result, Refused)

    def test_changed_doubled_and_reordered_messages_are_noticed(self):
        """Somebody in the path changes a message, sends it twice or swaps two."""
        key = b"c" * 32
        sender = CallTags(key, b"c")
        first, second = sender.add(b"one"), sender.add(b"two")
        self.assertEqual(CallTags(key, b"c").remove(first), b"one")
        self.assertIsNone(CallTags(key, b"c").remove(second))
        self.assertIsNone(CallTags(key, b"s").remove(first))
        changed = first.replace(b"one", b"0ne")
        self.assertIsNone(CallTags(key, b"c").remove(changed))
        receiver = CallTags(key, b"c")
        receiver.remove(first)
        self.assertIsNone(receiver.remove(first))

    def test_short_and_absent_keys_are_errors_of_the_settings(self):
        """A key that could be guessed ends the start of a daemon."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "key"
            with self.assertRaises(SettingsError):
                keyed_peers(path)
            path.write_text("short\n")
            with self.assertRaises(SettingsError):
                keyed_peers(path)
            path.write_text("n" * 40 + "\n" + "o" * 40 + "\n")
            self.assertEqual(len(keyed_peers(path).keys), 2)
