"""HTTP of clients over ASGI: malformed requests, early refusals, clients that disconnect."""

import unittest

import anyio
import trio.testing

from passlane.platform.client_ingress import ClientIngress
from passlane.relay.end_reasons import RequestEnd, RequestEndReason
from passlane.relay.request_errors import AnswerAbortedError
from routes.test_checks import configuration


class FakeRelay:
    """Calls ``behave`` for each request, or refuses it."""

    def __init__(self, behave=None):
        self.configuration = configuration()
        self.behave = behave
        self.calls = []
        self.was_cancelled = False

    async def handle(self, call, writer):
        self.calls.append(call)
        try:
            if self.behave is not None:
                await self.behave(writer)
            else:
                await writer.refuse(503, "busy", 0.25)
        except anyio.get_cancelled_exc_class():
            self.was_cancelled = True
            raise


class Client:
    """One request over ASGI; disconnects after ``disconnects_after_s`` if that is set."""

    def __init__(self, body=b"", disconnects_after_s=None, is_body_complete=True, **headers):
        self.headers = [(b"host", b"one.example"), (b"x-passlane-attempt-id", b"r-1")]
        for name, value in headers.items():
            self.headers.append((name.replace("_", "-").encode(), value.encode()))
        self.body = body
        self.is_body_complete = is_body_complete
        self.disconnects_after_s = disconnects_after_s
        self.sent = []
        self._is_body_given = False

    async def receive(self):
        if not self._is_body_given:
            self._is_body_given = True
            return {
                "type": "http.request",
                "body": self.body,
                "more_body": not self.is_body_complete,
            }
        if not self.is_body_complete:
            return {"type": "http.disconnect"}
        if self.disconnects_after_s is None:
            await anyio.sleep_forever()
        await anyio.sleep(self.disconnects_after_s)
        return {"type": "http.disconnect"}

    async def send(self, event):
        self.sent.append(event)

    @property
    def status(self):
        return self.sent[0]["status"] if self.sent else None

    @property
    def answer_headers(self):
        return dict(self.sent[0]["headers"])


def serve(relay, client, must_close=False):
    """Serve one request on a virtual clock; return the seconds that it took."""

    async def main():
        started = anyio.current_time()
        scope = {
            "type": "http",
            "method": "POST",
            "raw_path": b"/first/x",
            "query_string": b"a=b",
            "headers": client.headers,
        }
        await ClientIngress(relay, lambda: must_close)(scope, client.receive, client.send)
        return anyio.current_time() - started

    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})


class ClientIngressTest(unittest.TestCase):
    def test_a_request_reaches_the_relay_complete(self):
        relay = FakeRelay()
        serve(relay, Client(b"body"))
        self.assertEqual((relay.calls[0].target, relay.calls[0].body), ("/first/x?a=b", b"body"))

    def test_a_refusal_has_a_retry_after_header(self):
        client = Client()
        serve(FakeRelay(), client)
        self.assertEqual(client.status, 503)
        self.assertEqual(client.answer_headers[b"retry-after"], b"0.25")
        self.assertNotIn(b"connection", client.answer_headers)

    def test_a_stopping_process_closes_connections_after_the_answer(self):
        client = Client()
        serve(FakeRelay(), client, must_close=True)
        self.assertEqual(client.answer_headers[b"connection"], b"close")

    def test_a_request_is_cancelled_when_the_client_disconnects(self):
        async def wait(writer):
            await anyio.sleep(60)

        relay = FakeRelay(wait)
        elapsed_s = serve(relay, Client(disconnects_after_s=0.2))
        self.assertTrue(relay.was_cancelled)
        self.assertAlmostEqual(elapsed_s, 0.2, places=3)

    def test_a_declared_length_beyond_the_limit_is_refused_before_the_body_arrives(self):
        relay = FakeRelay()
        client = Client(content_length="1000000000", is_body_complete=False)
        serve(relay, client)
        self.assertEqual((client.status, relay.calls), (413, []))
        self.assertEqual(client.answer_headers[b"connection"], b"close")

    def test_a_body_beyond_the_limit_is_refused(self):
        client = Client(b"x" * 2000)
        serve(FakeRelay(), client)
        self.assertEqual(client.status, 413)

    def test_an_incomplete_body_does_not_reach_the_relay(self):
        relay = FakeRelay()
        serve(relay, Client(b"half", is_body_complete=False))
        self.assertEqual(relay.calls, [])

    def test_a_missing_id_is_a_bad_request(self):
        client = Client()
        del client.headers[1]
        serve(FakeRelay(), client)
        self.assertEqual(client.status, 400)

    def test_the_body_of_an_aborted_answer_is_not_ended(self):
        async def abort(writer):
            await writer.start(200, (), None)
            await writer.write(b"half")
            raise AnswerAbortedError(RequestEnd(RequestEndReason.ATTEMPT_BROKEN, "broken"))

        client = Client()
        serve(FakeRelay(abort), client)
        self.assertTrue(all(event.get("more_body", True) for event in client.sent))

    def test_an_unexpected_exception_is_a_500(self):
        async def fail(writer):
            raise ValueError("unexpected")

        client = Client()
        serve(FakeRelay(fail), client)
        self.assertEqual(client.status, 500)
