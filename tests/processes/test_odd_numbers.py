"""Values from outside that a process can't hold or send on, against real processes.

Guards against configurations and headers with whole numbers of more than 64 bits, or with depth
that no parser follows, that get a 500 in place of their 4xx, and against heads of engines whose
numbers close a caller's connection.
"""

import copy
import json
import unittest
from contextlib import ExitStack

import anyio
from anyio.from_thread import start_blocking_portal

from passlane.messages.fleet import FleetRole
from passlane.soak.machines import OPERATORS_PORT
from processes.back_end import chunk, event, head_of, plain, streams, write_answer
from processes.fleet import (
    HOST,
    MODELS,
    TOOLS,
    ClientStream,
    _request_bytes,
    configuration,
    process_fleet,
    turn,
)

RUNS_ALONE = "starts processes and listens on real sockets"

PROCESSES = {FleetRole.CONTROL: 1, FleetRole.STORE: 1, FleetRole.NODE: 1}
BACK_ENDS = 6
ANSWERED_WITHIN_S = 2.0
MANY_EVENTS_WITHIN_S = 8.0
APPLIED_WITHIN_S = 2.0
POLL_S = 0.02
MARK = "@odd@"
KINDS = ("kept", "streams", "both", "safe", "unsafe")
TURNS = ("kept", "both")
BEYOND_64_BITS = (str(2**64), "9" * 400, "9" * 5_000)
BELOW_64_BITS = (str(-(2**63) - 1), "-" + "9" * 400)
NO_NUMBERS = ("1e999", "-1e999", "NaN", "Infinity")
ROUTE = ("routes", 0)
SPLIT = (*ROUTE, "traffic_split", 0)
SERVICE = ("services", 0)
ENGINE = (*SERVICE, "engine")
TENANT = ("tenants", 0)
WHOLE_NUMBERS = (
    ("version",),
    (*ROUTE, "priority"),
    (*ROUTE, "max_attempts"),
    (*SPLIT, "weight"),
    (*SERVICE, "max_conns"),
    (*ENGINE, "slots"),
    (*ENGINE, "chunk_tokens"),
    (*ENGINE, "kv_capacity"),
    ("limits", "max_header_bytes"),
    ("limits", "max_body_bytes"),
    (*TENANT, "priority"),
)
ADDED_UP = ((*SPLIT, "weight"), (*ENGINE, "chunk_tokens"), (*TENANT, "priority"))
NUMBERS = (
    (*ROUTE, "timeout_ms"),
    (*ROUTE, "target_latency_ms"),
    (*ROUTE, "target_gap_ms"),
    (*ROUTE, "retention_s"),
    ("limits", "header_timeout_ms"),
    ("limits", "idle_timeout_ms"),
    (*TENANT, "rate_per_s"),
    (*TENANT, "burst"),
)
COUNTS_IN_HEADERS = {
    "X-Passlane-Token-Budget": "{}",
    "X-Passlane-Token-Usage": "100,{}",
    "X-Passlane-Prompt-Prefix": "aa:{}",
}
TIMES_IN_HEADERS = ("X-Passlane-Deadline-Ms", "X-Passlane-Program-Deadline-Ms")
TEXTS_IN_HEADERS = ("X-Passlane-Length-Hint", "Last-Event-Id", "Resumes", "X-Passlane-Model")
HEAD_FIELDS = (
    "Retry-After",
    "Keep-Alive",
    "Content-Length",
    "X-Passlane-Weight-Versions",
    "Age",
)


def odd_document(version, place, text):
    """Return a configuration in which the value at ``place`` is ``text``, as written."""
    document = copy.deepcopy(configuration(version))
    route = document["routes"][0]
    route["traffic_split"] = [{"service": route.pop("service"), "weight": 1}]
    document["tenants"] = [{"name": "t", "api_keys": ["key"]}]
    owner = document
    for step in place[:-1]:
        owner = owner[step]
    owner[place[-1]] = MARK
    return json.dumps(document).replace(f'"{MARK}"', text).encode()


def add_back_ends(fleet):
    for service in (MODELS, TOOLS):
        for _ in range(BACK_ENDS):
            fleet.add_back_end(service, plain())


class OddNumbersTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        stack = ExitStack()
        cls.addClassCleanup(stack.close)
        cls.portal = stack.enter_context(start_blocking_portal())
        running = process_fleet(configuration(), add_back_ends, processes=PROCESSES)
        cls.fleet = stack.enter_context(cls.portal.wrap_async_context_manager(running))
        cls.version = 1

    def setUp(self):
        self._answer_as_usual()
        self.portal.call(self._put_in_force, configuration(self._next_version()))

    def tearDown(self):
        self._answer_as_usual()
        self.portal.call(self._put_in_force, configuration(self._next_version()))
        self.portal.call(self._assert_all_is_served)

    def _answer_as_usual(self):
        for back_end in self.fleet.back_ends:
            back_end.answer = streams(3, 0.01) if back_end.service == MODELS else plain()

    async def _put_in_force(self, document):
        """Put a configuration, and wait until it is in force at the node."""
        name = f"in-force-{document['version']}"
        last = document["routes"][-1] | {"name": name, "path_prefix": f"/{name}/"}
        document["routes"].append(last)
        self.assertEqual(await self._put(json.dumps(document).encode()), 200)
        with anyio.fail_after(APPLIED_WITHIN_S):
            while True:
                if (await self._request(name, {})).status != 404:
                    return
                await anyio.sleep(POLL_S)

    async def _assert_all_is_served(self):
        for machine in self.fleet.machines.all:
            self.assertTrue(machine.is_running, machine.name)
        for kind in KINDS:
            answer = await self._request(kind, turn(f"after-{self.id()}-{kind}"))
            self.assertEqual((answer.status, answer.is_whole), (200, True), kind)

    async def _request(self, kind, headers, body=b"x", within_s=ANSWERED_WITHIN_S):
        """Return the answer to a request, which comes at once."""
        with anyio.fail_after(within_s):
            answer, _ = await self.fleet.request(
                "node-1", f"/{kind}/x", headers, body, deadline_ms=int(within_s * 2_000)
            )
        return answer

    async def _put(self, body):
        """Return the status with which the operator's order is answered, at once."""
        address = self.fleet.machine("control-1").address(OPERATORS_PORT)
        connection = await anyio.connect_tcp(address.host, address.port)
        fields = {"Host": HOST, "Content-Length": str(len(body))}
        with anyio.fail_after(ANSWERED_WITHIN_S):
            await connection.send(_request_bytes("POST", "/api/config/put", fields, body))
            return (await ClientStream(connection).read_all()).status

    async def _put_odd(self, place, text):
        return await self._put(odd_document(self._next_version(), place, text))

    def _next_version(self):
        type(self).version += 1
        return self.version

    # Configurations.

    def test_configurations_with_numbers_beyond_their_bounds(self):
        async def main():
            for place in WHOLE_NUMBERS + NUMBERS:
                for text in BEYOND_64_BITS + BELOW_64_BITS + NO_NUMBERS:
                    with self.subTest(place=place, text=text[:24], digits=len(text)):
                        self.assertEqual(await self._put_odd(place, text), 400)
            for place in ADDED_UP:
                with self.subTest(place=place):
                    self.assertEqual(await self._put_odd(place, str(2**53)), 400)

        self.portal.call(main)

    def test_configurations_with_numbers_at_their_bounds(self):
        async def main():
            for place in WHOLE_NUMBERS[1:] + NUMBERS:
                if place[0] == "tenants" or place in ADDED_UP:
                    continue
                with self.subTest(place=place):
                    self.assertEqual(await self._put_odd(place, str(2**63 - 1)), 200)
            for place in ADDED_UP:
                with self.subTest(place=place):
                    self.assertEqual(await self._put_odd(place, str(2**53 - 1)), 200)

        self.portal.call(main)

    def test_the_bounds_of_a_route_in_force(self):
        async def main():
            for field in ("timeout_ms", "max_attempts", "retention_s", "priority"):
                document = configuration(self._next_version())
                for route in document["routes"]:
                    route[field] = 2**63 - 1
                await self._put_in_force(document)
                with self.subTest(field=field):
                    await self._assert_all_is_served()

        self.portal.call(main)

    def test_events_of_the_most_tokens(self):
        """2,200 events of 2^53 - 1 tokens each have more than 64 bits together."""

        async def main():
            document = configuration(self._next_version())
            document["services"][0]["engine"]["chunk_tokens"] = 2**53 - 1
            for route in document["routes"]:
                route["timeout_ms"] = 10_000
            await self._put_in_force(document)
            for back_end in self.fleet.back_ends:
                back_end.answer = _many_events
            headers = turn("events", budget=2**63 - 1)
            answer = await self._request("streams", headers, within_s=MANY_EVENTS_WITHIN_S)
            self.assertEqual((answer.status, answer.is_whole), (200, True))
            again = await self._request("streams", headers)
            self.assertEqual((again.status, again.is_whole), (402, True))

        self.portal.call(main)

    def test_configurations_that_no_parser_follows(self):
        async def main():
            deep = (b"[" * depth + b"]" * depth for depth in (3_000, 100_000))
            texts = (*deep, b'"\xff\xfe"', b'"\xed\xa0\x80"', b'"\\ud800"', b"[" * 100_000)
            for text in texts:
                for place in (("unread",), (*ROUTE, "name"), (*SERVICE, "unread")):
                    body = odd_document(self._next_version(), place, MARK)
                    with self.subTest(text=text[:16], place=place):
                        self.assertEqual(await self._put(body.replace(MARK.encode(), text)), 400)
            self.assertEqual(await self._put(b"\xff\xfe"), 400)

        self.portal.call(main)

    def test_configurations_with_long_names_and_unread_numbers(self):
        async def main():
            for place, text, status in (
                ((*ROUTE, "name"), json.dumps("n" * 300_000), 200),
                ((*SPLIT, "service"), json.dumps("n" * 300_000), 400),
                ((*ROUTE, "name"), json.dumps("n" * 8_000_000), 413),
                ((*ROUTE, "name"), json.dumps("n" * 9_000_000), 413),
                ((*TENANT, "name"), json.dumps("n" * 300_000), 200),
                ((*TENANT, "name"), json.dumps("a\r\nX-Odd: 1"), 400),
                ((*TENANT, "name"), json.dumps("\u5e97"), 400),
                (("unread",), "9" * 5_000, 200),
            ):
                with self.subTest(place=place):
                    self.assertEqual(await self._put_odd(place, text), status)

        self.portal.call(main)

    # Headers of callers.

    def check_headers(self, headers, status):
        """Send each header on each route; ``status`` is the only one with which all end."""

        async def main():
            for number, (name, value) in enumerate(headers):
                for kind in KINDS:
                    fields = turn(f"{self.id()}-{number}-{kind}") | {name: value}
                    with self.subTest(kind=kind, name=name, value=value[:24], size=len(value)):
                        answer = await self._request(kind, fields)
                        self.assertEqual((answer.status, answer.is_whole), (status, True))

        self.portal.call(main)

    def test_counts_beyond_their_bounds(self):
        texts = (*BEYOND_64_BITS, "-1", "-" + "9" * 400, "1e999", "nan", "1.5", "\xb2")
        self.check_headers(
            [(n, form.format(text)) for n, form in COUNTS_IN_HEADERS.items() for text in texts],
            400,
        )

    def test_counts_whose_sum_is_beyond_the_bound(self):
        parts = ",".join(f"a{number:x}:{2**53 - 1}" for number in range(600))
        self.check_headers([("X-Passlane-Prompt-Prefix", parts)], 400)

    def test_counts_at_their_bounds(self):
        self.check_headers(
            [
                ("X-Passlane-Token-Budget", str(2**63 - 1)),
                ("X-Passlane-Token-Budget", "0" * 30 + "500"),
                ("X-Passlane-Token-Usage", f"100,{2**53 - 1}"),
                ("X-Passlane-Prompt-Prefix", f"aa:{2**53 - 1}"),
            ],
            200,
        )

    def test_times_that_are_no_numbers(self):
        texts = ("9" * 400, "9" * 5_000, "-" + "9" * 400, *NO_NUMBERS)
        self.check_headers([(name, text) for name in TIMES_IN_HEADERS for text in texts], 400)

    def test_times_that_are_far_away(self):
        texts = (str(2**53), str(2**64), "1" + "0" * 300, "1e300")
        self.check_headers([(name, text) for name in TIMES_IN_HEADERS for text in texts], 200)

    def test_texts_with_numbers(self):
        async def main():
            for name in TEXTS_IN_HEADERS:
                for text in (*BEYOND_64_BITS, *BELOW_64_BITS, *NO_NUMBERS):
                    for kind in KINDS:
                        fields = turn(f"{name}-{text[:30]}-{len(text)}-{kind}") | {name: text}
                        with self.subTest(kind=kind, name=name, value=text[:24]):
                            answer = await self._request(kind, fields)
                            self.assertTrue(answer.is_whole)
                            self.assertIn(answer.status, {200, 503})

        for back_end in self.fleet.back_ends:
            if back_end.service == MODELS:
                back_end.answer = _streams_whatever_is_resumed
        self.portal.call(main)

    def test_previous_turns_that_are_numbers(self):
        async def main():
            for text in (*BEYOND_64_BITS, *BELOW_64_BITS):
                for kind in TURNS:
                    fields = turn(f"{text[:30]}-{len(text)}-{kind}", previous=text)
                    answer = await self._request(kind, fields)
                    self.assertEqual((answer.status, answer.is_whole), (404, True))

        self.portal.call(main)

    def test_declared_lengths(self):
        async def main():
            for text in (str(2**53), str(2**63), str(2**64 - 1), *BEYOND_64_BITS, "-1", "1e3"):
                for kind in (*KINDS, "unknown"):
                    with self.subTest(kind=kind, text=text[:24], digits=len(text)):
                        answer = await self._request(kind, {"Content-Length": text})
                        self.assertTrue(answer.is_whole)
                        self.assertIn(answer.status, {400, 413})

        self.portal.call(main)

    def test_routes_that_are_unknown(self):
        async def main():
            for name, form in COUNTS_IN_HEADERS.items():
                for text in BEYOND_64_BITS:
                    answer = await self._request("unknown", turn() | {name: form.format(text)})
                    self.assertIn(answer.status, {400, 404})

        self.portal.call(main)

    def test_turns_that_use_up_the_largest_budget(self):
        async def main():
            engines = [one for one in self.fleet.back_ends if one.service == MODELS]
            for engine in engines:
                engine.answer = _broken_off
            largest = {"X-Passlane-Token-Usage": f"100,{2**53 - 1}"}
            for kind in TURNS:
                fields = turn(f"largest-{kind}", budget=2**53 - 1) | largest
                first = await self._request(kind, fields)
                self.assertEqual((first.status, first.is_whole), (502, True))
                second = await self._request(kind, fields)
                self.assertEqual((second.status, second.is_whole), (402, True))

        self.portal.call(main)

    # Heads of engines.

    def test_heads_of_engines(self):
        async def main():
            for field in HEAD_FIELDS:
                for text in (*BEYOND_64_BITS, *BELOW_64_BITS, "1e999", "nan"):
                    for kind in KINDS:
                        with self.subTest(kind=kind, field=field, text=text[:24]):
                            await self._assert_answered_once(kind, field, text)

        self.portal.call(main)

    async def _assert_answered_once(self, kind, field, text):
        value = f"timeout={text}" if field == "Keep-Alive" else text
        for back_end in self.fleet.back_ends:
            back_end.answer = _with_field(field, value, is_stream=back_end.service == MODELS)
        answer = await self._request(kind, turn(f"{field}-{text[:24]}-{len(text)}-{kind}"))
        if field == "Content-Length":
            self.assertNotEqual((answer.status, answer.is_whole), (200, True))
            self.assertIn(answer.status, {200, 502, 504})
        else:
            self.assertEqual((answer.status, answer.is_whole), (200, True))


async def _streams_whatever_is_resumed(engine, request, stream):
    request.headers.pop("last-event-id", None)
    await streams(3, 0.0)(engine, request, stream)


async def _many_events(engine, request, stream):
    fields = {"Content_Type": "text/event-stream", "Transfer_Encoding": "chunked"}
    events = b"".join(event(engine, request, number) for number in range(1, 2_201))
    await stream.send(head_of(request, "200 OK", **fields) + chunk(events) + chunk(b""))


async def _broken_off(engine, request, stream):
    """Give no answer, so that the run counts with the most that it may generate."""
    await stream.aclose()


def _with_field(name, value, *, is_stream):
    """Return an answer with one more field, or with another length than that of its body."""
    fields = {name.replace("-", "_"): value}
    if is_stream:
        fields["Content_Type"] = "text/event-stream"

    async def answer(engine, request, stream):
        if name == "Content-Length":
            await write_answer(stream, request, "200 OK", b"id: 1\ndata: 1\n\n", fields)
            await stream.aclose()
        elif is_stream:
            await stream.send(head_of(request, "200 OK", Transfer_Encoding="chunked", **fields))
            await stream.send(chunk(event(engine, request, 1)) + chunk(b""))
        else:
            await write_answer(stream, request, "200 OK", b"done", fields)

    return answer


if __name__ == "__main__":
    unittest.main()
