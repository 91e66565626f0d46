"""Engines that stop inside the head of their answer, against real nodes.

Guards against a success with an empty or short body that is framed as whole: a head that was not
received to its end is no answer, whatever lines of it have come, and nothing is kept of it.
"""

import unittest
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, replace

import anyio
from anyio.from_thread import start_blocking_portal

from passlane.messages.fleet import FleetRole
from processes.back_end import chunk, event, head_of, plain, streams
from processes.cut_heads import (
    BODY,
    FRAMINGS,
    INTERIM,
    AnswersByAttempt,
    End,
    Packets,
    all_cuts,
    bytes_answer,
    cut_answer,
    end_connection,
    whole_answer,
)
from processes.fleet import MODELS, TOOLS, configuration, process_fleet, turn

RUNS_ALONE = "starts processes and listens on real sockets"

PROCESSES = {FleetRole.CONTROL: 1, FleetRole.STORE: 1, FleetRole.NODE: 1}
NODE = "node-1"
ENGINES = 20
MAX_ATTEMPTS = 3
FAILURES = {502, 504}
REFUSED = 503
MOST_TRIES = 4
AT_ONCE = 16
"""Requests that are under way together."""
ROTATIONS = (0,)
"""Rotations of packets and ends over the places; all six have each combination."""
EVENT_STREAM = "text/event-stream"
PLAIN = "text/plain"
REPEATED_KINDS = {"safe", "streams", "both"}
STREAM_KINDS = {"kept", "streams", "both"}
KEPT_KINDS = {"kept", "both"}
INTERIM_NAMES = tuple(INTERIM)
INTERIM_KINDS = ("unsafe", "streams")
EVENTS_BEFORE = 3
EVENTS_OF_STREAM = 6
EVENT_PAUSE_S = 0.05
LOGGED_S = 1.0
"""Seconds after which a node has written its log lines."""
REPORTED_S = 0.3
"""Seconds after which events that a node has forwarded are replicated."""


@dataclass
class Exchange:
    """One request whose engines cut their heads, and what its client got."""

    kind: str
    name: str
    attempt: str
    answer: object
    runs: int

    @property
    def outcome(self):
        whole = "whole" if self.answer.is_whole else "broken off"
        return f"{self.kind}: {self.answer.status} {whole}, runs {self.runs}"


def headers_of(kind, line, **fields):
    return turn(line, **fields) if kind in STREAM_KINDS else {}


def media_type_of(kind):
    return EVENT_STREAM if kind in STREAM_KINDS else PLAIN


def whole_of(kind):
    if kind in STREAM_KINDS:
        return streams(EVENTS_BEFORE, 0.001)
    return plain(BODY)


def breaks_off_behind(events, end):
    """Return an answer that streams some events and ends without its last chunk."""

    async def answer(engine, request, stream):
        head = head_of(request, "200 OK", Content_Type=EVENT_STREAM, Transfer_Encoding="chunked")
        await stream.send(head)
        for number in range(1, events + 1):
            await stream.send(chunk(event(engine, request, number)))
        await anyio.sleep(0.05)
        await end_connection(stream, end)

    return answer


def cuts():
    """Return all places, with the rotations of packets and ends."""
    return [cut for rotation in ROTATIONS for cut in all_cuts(rotation)]


def stream_cuts():
    """Return the cuts of heads that streams may have."""
    return [cut for cut in cuts() if cut.framing in FRAMINGS[:3]]


async def run_a_few_at_once(run, calls):
    """Call ``run`` with each of the arguments."""
    limit = anyio.CapacityLimiter(AT_ONCE)

    async def run_limited(call):
        async with limit:
            await run(*call)

    async with anyio.create_task_group() as tasks:
        for call in calls:
            tasks.start_soon(run_limited, call)


class HeadsTest(unittest.TestCase):
    """A fleet whose engines answer each attempt as a test has set."""

    @classmethod
    def setUpClass(cls):
        stack = ExitStack()
        cls.addClassCleanup(stack.close)
        cls.portal = stack.enter_context(start_blocking_portal())
        cls.answers = AnswersByAttempt(plain(BODY))
        cls.tally = Counter()
        repeated = {kind: {"max_attempts": MAX_ATTEMPTS} for kind in REPEATED_KINDS}
        running = process_fleet(configuration(**repeated), cls.add_engines, processes=PROCESSES)
        cls.fleet = stack.enter_context(cls.portal.wrap_async_context_manager(running))

    @classmethod
    def add_engines(cls, fleet):
        for service in (MODELS, TOOLS):
            for _ in range(ENGINES):
                fleet.add_back_end(service, cls.answers)

    async def exchange(self, kind, name, *answers, headers=None, **more):
        """Send a request whose runs get these answers."""
        attempt = self.fleet.next_attempt()
        self.answers.set(attempt, *answers)
        headers = headers_of(kind, attempt) if headers is None else headers
        # Equal requests count as one that ends engines.
        body = attempt.encode()
        answer, _ = await self.fleet.request(
            NODE, f"/{kind}/x", headers, body, attempt=attempt, **more
        )
        done = Exchange(kind, name, attempt, answer, len(self.fleet.ran(attempt)))
        self.tally[done.outcome] += 1
        return done

    async def exchange_all(self, calls):
        """Make exchanges, a few at once; ``calls`` are arguments of ``exchange``."""
        done = []

        async def run(*call):
            done.append(await self.exchange(*call))

        await run_a_few_at_once(run, calls)
        return done

    def check_each(self, check, kinds, cuts):
        """Run a check for each kind and cut, a few at once."""
        failures = []

        async def run(kind, cut):
            try:
                await check(kind, cut)
            except (AssertionError, OSError) as error:
                failures.append((kind, cut.name, error))

        pairs = [(kind, cut) for kind in kinds for cut in cuts]
        self.portal.call(run_a_few_at_once, run, pairs)
        for kind, name, error in failures:
            with self.subTest(kind=kind, cut=name):
                raise error

    def assert_failed_or_served_anew(self, done):
        """Check that a client got a whole failure, or the whole answer of another run."""
        answer = done.answer
        self.assertGreater(done.runs, 0, answer)
        self.assertTrue(answer.is_whole, answer)
        if done.kind not in REPEATED_KINDS:
            self.assertEqual(done.runs, 1)
        if answer.status in FAILURES:
            self.assertNotIn("x-passlane-response-signature", answer.headers)
            return
        self.assertIn(done.kind, REPEATED_KINDS, answer)
        self.assertEqual(answer.status, 200)
        self.assertGreater(done.runs, 1)
        if done.kind in STREAM_KINDS:
            self.assertEqual(answer.events, EVENTS_BEFORE)
        else:
            self.assertEqual(answer.body, BODY)

    def check(self, calls):
        done = self.portal.call(self.exchange_all, calls)
        for one in done:
            with self.subTest(kind=one.kind, cut=one.name):
                self.assert_failed_or_served_anew(one)
        return done

    def cuts_of(self, kind):
        """Return exchanges: of every other one all runs are cut, else the first alone."""
        calls = []
        for number, cut in enumerate(cuts()):
            broken = cut_answer(cut, media_type_of(kind))
            whole = (whole_of(kind),) if number % 2 else ()
            calls.append((kind, cut.name, broken, *whole))
        return calls


class PlacesTest(HeadsTest):
    def test_requests_that_may_be_repeated(self):
        done = self.check(self.cuts_of("safe"))
        self.assertIn(200, {one.answer.status for one in done})

    def test_requests_that_run_once(self):
        self.check(self.cuts_of("unsafe"))

    def test_streams(self):
        self.check(self.cuts_of("streams"))

    def test_kept_turns(self):
        self.check(self.cuts_of("kept"))

    def test_kept_turns_that_may_be_resumed(self):
        self.check(self.cuts_of("both"))

    def test_whole_heads_of_the_same_kinds_are_answers(self):
        """The heads that are cut elsewhere would be answers if they were whole."""
        calls = [
            ("unsafe", framing.name, whole_answer(framing, packets, PLAIN))
            for framing in FRAMINGS
            for packets in Packets
        ]
        for one in self.portal.call(self.exchange_all, calls):
            with self.subTest(framing=one.name):
                self.assertIn(one.answer.status, (200, 204, 304))
                expected = BODY if one.answer.status == 200 else b""
                self.assertEqual((one.answer.body, one.runs), (expected, 1))


class LogTest(HeadsTest):
    def test_the_log_tells_how_much_of_a_head_had_come(self):
        async def main():
            cuts_by_end = {cut.end: cut for cut in all_cuts(0) if cut.packets is Packets.ONE}
            for end, cut in cuts_by_end.items():
                with self.subTest(end=end):
                    await self._check_logged(cut)

        self.portal.call(main)

    async def _check_logged(self, cut):
        done = await self.exchange("unsafe", cut.name, cut_answer(cut))
        (instance_id,) = self.fleet.engines_of(done.attempt)
        (request,) = self.fleet.ran(done.attempt)
        sent = cut.bytes_before(request, instance_id, PLAIN)
        await anyio.sleep(LOGGED_S)
        lines = self.fleet.output_of(NODE).splitlines()
        (line,) = [one for one in lines if done.attempt in one and "attempt_broke_off" in one]
        # What a reset follows at once may be lost with it.
        expected = r"\d+" if cut.end is End.RESET else len(sent)
        self.assertRegex(line, f", {expected} bytes received")


class InterimTest(HeadsTest):
    def calls_with_interim(self, kind):
        """Return exchanges: the interim answers take turns over the cuts."""
        calls = []
        for number, cut in enumerate(cuts()):
            name = INTERIM_NAMES[number % len(INTERIM_NAMES)]
            broken = cut_answer(replace(cut, interim=INTERIM[name]), media_type_of(kind))
            calls.append((kind, f"{name}, {cut.name}", broken))
        return calls

    def test_cut_behind_interim_answers(self):
        for kind in INTERIM_KINDS:
            self.check(self.calls_with_interim(kind))

    def test_cut_inside_an_interim_answer_or_right_behind_it(self):
        for kind in INTERIM_KINDS:
            self.check(
                (kind, f"{name} to {length}, {end.value}", bytes_answer(interim[:length], end))
                for name, interim in INTERIM.items()
                for length in (9, 12, 21, len(interim) - 2, len(interim) - 1, len(interim))
                for end in End
            )

    def test_whole_answers_behind_interim_answers(self):
        calls = [
            ("unsafe", name, whole_answer(FRAMINGS[0], packets, PLAIN, interim))
            for name, interim in INTERIM.items()
            for packets in Packets
        ]
        for one in self.portal.call(self.exchange_all, calls):
            with self.subTest(interim=one.name):
                self.assertEqual((one.answer.status, one.answer.body), (200, BODY))


class KeptConnectionsTest(HeadsTest):
    async def check_pipelined(self, kind, cut):
        """Send three requests at once on one connection; the second one's head is cut."""
        attempts = [self.fleet.next_attempt() for _ in range(3)]
        self.answers.set(attempts[1], cut_answer(cut))
        connection = await self.fleet.connect(NODE)
        for attempt in attempts:
            body = attempt.encode()
            stream, _ = await self.fleet.begin(
                NODE, f"/{kind}/x", {}, body, attempt=attempt, connection=connection
            )
        answers = await stream.read_several(len(attempts))
        self.assertEqual([answer.status for answer in answers], [200, 502, 200])
        self.tally[f"{kind} at once: 200, 502, 200"] += 1
        self.assertEqual([answers[0].body, answers[2].body], [BODY, BODY])
        told = [answer.headers.get("x-passlane-attempt-id") for answer in answers]
        self.assertEqual([told[0], told[2]], [attempts[0], attempts[2]])
        if kind not in REPEATED_KINDS:
            self.assertEqual([len(self.fleet.ran(attempt)) for attempt in attempts], [1, 1, 1])

    def test_second_of_three_requests_that_are_sent_at_once(self):
        self.check_each(self.check_pipelined, ("safe", "unsafe"), cuts())

    async def check_without_body(self, kind, cut):
        # The client reads to the end of the connection: a body that is none has no length.
        done = await self.exchange(
            kind, cut.name, cut_answer(cut), headers={"Connection": "close"}, method="HEAD"
        )
        self.assertIn(done.answer.status, FAILURES)
        self.assertEqual((done.answer.body, done.runs), (b"", 1))

    def test_requests_that_ask_for_the_head_alone(self):
        self.check_each(self.check_without_body, ("unsafe",), cuts())


class ResumedStreamsTest(HeadsTest):
    async def check_second_engine(self, kind, cut):
        """The first engine breaks off; the second one's head is cut, and all later ones."""
        first = breaks_off_behind(EVENTS_BEFORE, End.CLOSED)
        done = await self.exchange(kind, cut.name, first, cut_answer(cut, EVENT_STREAM))
        self.assertEqual((done.answer.status, done.answer.is_whole), (200, False))
        self.assertEqual(done.answer.events, EVENTS_BEFORE)
        self.assertGreater(done.runs, 1)
        await self.assert_not_kept(kind, done)

    def test_second_engine_of_one_answer(self):
        self.check_each(self.check_second_engine, ("streams", "both"), stream_cuts())

    async def check_third_engine(self, kind, cut):
        """The first engine breaks off, the second one's head is cut, the third goes on."""
        first = breaks_off_behind(EVENTS_BEFORE, End.CLOSED)
        third = streams(EVENTS_OF_STREAM, 0.001)
        done = await self.exchange(kind, cut.name, first, cut_answer(cut, EVENT_STREAM), third)
        self.assertEqual((done.answer.status, done.answer.is_whole), (200, True))
        self.assert_in_order(done.attempt, done.answer.data)
        if kind in KEPT_KINDS:
            await self.assert_next_prompt(kind, done, done.answer.data)

    def test_third_engine_of_one_answer_goes_on(self):
        self.check_each(self.check_third_engine, ("streams", "both"), stream_cuts())

    async def check_nothing_kept(self, kind, cut):
        done = await self.exchange(kind, cut.name, cut_answer(cut, EVENT_STREAM))
        self.assert_failed_or_served_anew(done)
        await self.assert_not_kept(kind, done)

    def test_kept_turns_leave_nothing(self):
        self.check_each(self.check_nothing_kept, ("kept", "both"), stream_cuts())

    async def check_taken_up(self, kind, cut):
        """A client's second try meets cut heads, its third one a whole stream."""
        begun = await self.begin_and_leave(kind)
        fields = {"resumes": begun, "last_event_id": EVENTS_BEFORE}
        headers = headers_of(kind, begun, **fields)
        second = await self.take_up(kind, begun, headers, cut_answer(cut, EVENT_STREAM))
        self.assertIn(second.answer.status, FAILURES)
        self.assertTrue(second.answer.is_whole)
        third = await self.take_up_as_told(kind, begun, headers)
        self.assertEqual((third.answer.status, third.answer.is_whole), (200, True), third.answer)
        self.assert_in_order(third.attempt, third.answer.data, first=EVENTS_BEFORE + 1)
        if kind in KEPT_KINDS:
            before = [f"v1-{begun}-{number}" for number in range(1, EVENTS_BEFORE + 1)]
            output = "".join(f"{line}\n" for line in before).encode() + third.answer.data
            kept = Exchange(kind, cut.name, begun, third.answer, third.runs)
            await self.assert_next_prompt(kind, kept, output, previous=third.attempt)

    def test_clients_that_take_a_stream_up(self):
        self.check_each(self.check_taken_up, ("streams", "both"), stream_cuts())

    async def begin_and_leave(self, kind):
        """Begin a stream, and close its connection behind some events."""
        attempt = self.fleet.next_attempt()
        self.answers.set(attempt, streams(EVENTS_OF_STREAM, EVENT_PAUSE_S))
        headers = headers_of(kind, attempt)
        stream, _ = await self.fleet.begin(
            NODE, f"/{kind}/x", headers, attempt.encode(), attempt=attempt
        )
        await stream.read_events(EVENTS_BEFORE)
        await stream.close()
        await anyio.sleep(REPORTED_S)
        return attempt

    async def take_up(self, kind, begun, headers, answer):
        attempt = self.fleet.next_attempt()
        self.answers.set(attempt, answer)
        received, _ = await self.fleet.request(
            NODE, f"/{kind}/x", headers, begun.encode(), attempt=attempt
        )
        done = Exchange(kind, "", attempt, received, len(self.fleet.ran(attempt)))
        self.tally[f"taken up, {done.outcome}"] += 1
        return done

    async def take_up_as_told(self, kind, begun, headers):
        """Take a stream up; come again when it says, while the cut heads may have been ends."""
        for _ in range(MOST_TRIES):
            done = await self.take_up(kind, begun, headers, streams(EVENTS_OF_STREAM, 0.001))
            if done.answer.status != REFUSED:
                break
            self.assertEqual(done.runs, 0)
            await anyio.sleep(float(done.answer.headers["retry-after"]))
        return done

    def assert_in_order(self, attempt, data, first=1):
        expected = [f"v1-{attempt}-{n}" for n in range(first, EVENTS_OF_STREAM + 1)]
        self.assertEqual(data.decode().split(), expected)

    async def assert_next_prompt(self, kind, done, output, previous=None):
        """Check what an engine gets for the turn behind."""
        headers = headers_of(kind, done.attempt, previous=previous or done.attempt)
        following = await self.exchange(kind, done.name, whole_of(kind), headers=headers)
        self.assertEqual(following.answer.status, 200, following.answer)
        (run,) = self.fleet.ran(following.attempt)
        self.assertEqual(run.body, done.attempt.encode() + output + following.attempt.encode())

    async def assert_not_kept(self, kind, done):
        """Check that no turn goes on from one that was not answered whole."""
        if kind not in KEPT_KINDS:
            return
        headers = headers_of(kind, done.attempt, previous=done.attempt)
        following = await self.exchange(kind, done.name, whole_of(kind), headers=headers)
        self.assertIn(following.answer.status, (404, 503), following.answer)
        self.assertEqual(following.runs, 0)


if __name__ == "__main__":
    unittest.main()
