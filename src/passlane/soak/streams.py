"""Streams whose callers take them up again, while engines of two software versions serve.

Each event tells the version of the engine that made it, so that a caller sees where its stream
went on.
"""

import random

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.event_streams.whole_events import EventSplitter, StreamEvent
from passlane.platform import names
from passlane.soak.callers import Call, Callers
from passlane.soak.client import Answer
from passlane.soak.configuration import STREAM, TOKENS_PER_EVENT, USUAL_TENANT
from passlane.soak.ledger import OK, PROMISES_OF_NOT_RUN, Ledger
from passlane.soak.tallies import Outcome, Tallies

STREAMS_PER_S = 4.0
STREAM_EVENTS = 6
STREAM_RUNS = 2
"""Engines that one attempt may be sent to."""
MOST_TRIES = 6
BUDGET_EVENTS = 40 * STREAM_EVENTS
PROMPT_TOKENS = 50
PROGRAM_TIME_MS = 20_000


class TakenStream(msgspec.Struct):
    """What the caller of one stream has of it, over its attempts.

    Attributes
    ----------
    first_attempt
        The attempt that brought the first event; empty before that.
    versions
        Versions of the engines that made its events, in order.
    problem
        What is wrong with its events; empty if nothing is.
    """

    first_attempt: str = ""
    versions: list[str] = msgspec.field(default_factory=list)
    problem: str = ""

    @property
    def is_complete(self) -> bool:
        """Whether the caller has the last event."""
        return len(self.versions) == STREAM_EVENTS

    def headers(self) -> dict[str, str]:
        """Return the headers by which an attempt takes the stream up; none begin it."""
        if not self.first_attempt:
            return {}
        return {
            names.LAST_EVENT_ID: str(len(self.versions)),
            names.RESUMES: self.first_attempt,
        }

    def take(self, request_id: str, body: bytes, *, is_whole: bool) -> None:
        """Add the complete events of an attempt's answer."""
        for event in EventSplitter().feed(body):
            self._take_event(request_id, event)
        if is_whole and not self.is_complete:
            self.problem = f"ended whole after {len(self.versions)} of {STREAM_EVENTS} events"

    def _take_event(self, request_id: str, event: StreamEvent) -> None:
        number = len(self.versions) + 1
        version, _, text = event.data.decode().partition(" ")
        if event.event_id != str(number) or text != f"{request_id}.{number}":
            self.problem = f"event {event.event_id} {text!r} where {number} was due"
        self.first_attempt = self.first_attempt or request_id
        self.versions.append(version)


class StreamCallers:
    """Begins streams and takes them up until they are complete."""

    def __init__(self, callers: Callers, ledger: Ledger, tallies: Tallies, seed: int) -> None:
        self._callers = callers
        self._ledger = ledger
        self._tallies = tallies
        self._seed = seed

    async def run(self, tasks: TaskGroup, load_s: float) -> None:
        """Begin streams for some seconds."""
        moments = random.Random(f"{self._seed} {STREAM}")
        ends_at = anyio.current_time() + load_s
        number = 0
        while anyio.current_time() < ends_at:
            number += 1
            tasks.start_soon(self._run_stream, f"{STREAM}-{self._seed}-{number}")
            await anyio.sleep(moments.expovariate(STREAMS_PER_S))

    async def _run_stream(self, name: str) -> None:
        self._ledger.begin_program(name, BUDGET_EVENTS * TOKENS_PER_EVENT, anyio.current_time())
        stream = TakenStream()
        outcome = Outcome.FAILED
        for number in range(MOST_TRIES):
            answer = await self.attempt(name, number, stream)
            if stream.is_complete:
                outcome = Outcome.COMPLETED
                break
            if answer is not None and answer.status in PROMISES_OF_NOT_RUN and stream.versions:
                stream = TakenStream()  # It can't go on and begins anew.
            await anyio.sleep(self._callers.pause_s(answer))
        self._tallies.note_program(STREAM, outcome)

    async def attempt(self, name: str, number: int, stream: TakenStream) -> Answer | None:
        """Begin a stream or take it up once; judge what comes of it."""
        request_id = f"{name}.{number}"
        answer = await self._callers.exchange(stream_call(name, stream.headers()), request_id)
        if answer is None:
            return None
        if answer.status == OK:
            stream.take(request_id, answer.body, is_whole=answer.is_whole)
            self._judge(request_id, stream)
        else:
            now = anyio.current_time()
            self._ledger.note_answer(request_id, answer.status, "", b"", is_whole=True, now=now)
        return answer

    def _judge(self, request_id: str, stream: TakenStream) -> None:
        now = anyio.current_time()
        detail = f"events of versions {stream.versions}, begun by {stream.first_attempt}"
        self._ledger.check("one-version", len(set(stream.versions)) <= 1, request_id, detail, now)
        self._ledger.check("stream-in-order", not stream.problem, request_id, stream.problem, now)


def stream_call(name: str, resumption: dict[str, str]) -> Call:
    """Return the call of one attempt of a stream."""
    body = f"[{name}]".encode()
    headers = {
        names.PROGRAM_ID: name,
        names.SESSION_ID: name,
        names.PROGRAM_DEADLINE_MS: str(PROGRAM_TIME_MS),
        names.TOKEN_BUDGET: str(BUDGET_EVENTS * TOKENS_PER_EVENT),
        names.TOKEN_USAGE: f"{PROMPT_TOKENS},{STREAM_EVENTS * TOKENS_PER_EVENT}",
    }
    return Call(
        name=name,
        route=STREAM,
        tenant=USUAL_TENANT,
        headers=headers | resumption,
        body=body,
        expected_body=body,
        most_runs=STREAM_RUNS,
        events=STREAM_EVENTS,
    )
