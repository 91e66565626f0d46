"""Scripted backends, a scripted store and a recording writer for tests."""

from collections import deque
from contextlib import asynccontextmanager

import anyio
import anyio.lowlevel

from passlane.decisions.inputs.answer_head import AnswerHead, Refusal
from passlane.decisions.inputs.relayed_call import Header, ProgramContext, RelayedCall
from passlane.decisions.placement.request_placement import choose_backend
from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.messages.quotas import QuotaGranted
from passlane.messages.turns import TurnReserved, TurnSettled, TurnStoreFound
from passlane.runtime.interfaces import HttpConnectionError
from passlane.runtime.reach import BackendReach
from passlane.turns.client import Reservation


def choose(*arguments, **more):
    """Return the chosen backend; ``None`` without one."""
    choice = choose_backend(*arguments, **more)
    return choice.load if choice is not None else None


SIGNATURE = Header("signature", "s")


def backend(instance_id="i-1", *, service="models", zone="a", slots=4, state=BackendState.READY):
    return BackendRecord(instance_id, service, Address("10.0.0.1", 80), zone, slots, state)


def call(request_id="r-1", *, body=b"new", path="/first/x", budget=None, max_tokens=10, **changes):
    program = ProgramContext("p", None, budget) if budget is not None else None
    values = {
        "request_id": request_id,
        "method": "POST",
        "host": "one.example",
        "target": path,
        "headers": (),
        "body": body,
        "arrived_at": anyio.current_time(),
        "deadline_at": anyio.current_time() + 5.0,
        "program": program,
        "most_tokens": max_tokens,
    }
    return RelayedCall(**(values | changes))


def head(status=200, *, refusal=None, is_authentic=True, length=None, **more):
    return AnswerHead(status, (SIGNATURE,), refusal, is_authentic, length, **more)


AT_CAPACITY = head(503, refusal=Refusal.NOT_EXECUTED)
WRONG_INSTANCE = head(421, refusal=Refusal.WRONG_INSTANCE)


class Script:
    """One answer of a backend.

    ``broken`` ends the body early; ``delay_s`` passes before each part, and ``close_delay_s``
    when the answer is closed.
    """

    def __init__(self, head, *parts, broken=False, delay_s=0.0, close_delay_s=0.0):
        self.close_delay_s = close_delay_s
        self.head = head
        self.parts = parts
        self.broken = broken
        self.delay_s = delay_s

    async def chunks(self):
        for part in self.parts:
            await anyio.sleep(self.delay_s)
            yield part
        if self.broken:
            raise HttpConnectionError("broke off", bytes_left=True)


class Unreachable:
    """A backend whose machine accepts no connection."""


class Unresponsive:
    """A backend that accepts the request and never answers."""


class Reset:
    """A backend that resets the connection before it answers."""


class ScriptedBackends:
    """Plays the scripts in order, regardless of the backend."""

    def __init__(self, *scripts, connected=()):
        self.connected = connected
        self.scripts = deque(scripts)
        self.requests = []
        self.requested = []
        self.checked = []
        self.asked = []
        self.reach = BackendReach.ACCEPTED
        self.instance_reach = None

    def has_idle_connection(self, record):
        return record.instance_id in self.connected

    async def check_reach(self, record):
        self.checked.append(record.instance_id)
        await anyio.lowlevel.checkpoint()
        return self.reach

    async def check_instance(self, record, health_path):
        self.asked.append(record.instance_id)
        await anyio.lowlevel.checkpoint()
        if self.instance_reach is not None:
            return self.instance_reach
        return BackendReach.SAME_INSTANCE if self.reach is BackendReach.ACCEPTED else self.reach

    @asynccontextmanager
    async def exchange(self, record, request):
        self.requests.append(request)
        self.requested.append(record.instance_id)
        script = self.scripts.popleft()
        await anyio.lowlevel.checkpoint()
        if isinstance(script, Unreachable):
            raise HttpConnectionError("no connection", bytes_left=False)
        if isinstance(script, Unresponsive):
            await anyio.sleep_forever()
        if isinstance(script, Reset):
            raise HttpConnectionError("reset", bytes_left=True)
        yield script
        await anyio.sleep(script.close_delay_s)


class RecordingWriter:
    """Records what was written."""

    def __init__(self):
        self.status = 0
        self.headers = ()
        self.body = b""
        self.is_finished = False
        self.is_abandoned = False
        self.abandon_reason = "client_left"
        self.retry_after_s = None
        self.times = []

    @property
    def has_started(self):
        return self.status != 0

    async def start(self, status, headers, length):
        assert not self.has_started
        self.status = status
        self.headers = headers

    async def write(self, data):
        self.body += data
        self.times.append(anyio.current_time())

    async def finish(self):
        self.is_finished = True

    async def refuse(self, status, reason, retry_after_s):
        await self.start(status, (), None)
        self.retry_after_s = retry_after_s
        await self.finish()


class ScriptedStore:
    """Answers reservations with a given answer; records requests and settlements.

    With ``answer_was_lost`` the answer is the one to a retry, after the first answer was lost.
    """

    def __init__(
        self,
        answer=None,
        *,
        quota=None,
        is_unavailable=False,
        outage_s=0.0,
        settle_fails=False,
        answer_was_lost=False,
    ):
        self.answer_was_lost = answer_was_lost
        self.answer = answer or TurnReserved()
        self.is_unavailable = is_unavailable
        self.outage_s = outage_s
        self.settle_fails = settle_fails
        self.quota = quota or QuotaGranted()
        self.reserved = []
        self.streams = {}
        self.forwarded = []
        self.versions = set()
        self.reports_fail = False
        self.engine_ends = []
        self.fates = []
        self.settled = []
        self.drawn = []

    async def reserve(self, request, *, timeout_s):
        self.reserved.append(request)
        if self.is_unavailable:
            raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader")
        may_be_reserved = isinstance(self.answer, TurnReserved) or self.answer_was_lost
        return Reservation(self.answer, may_be_reserved)

    async def settle(self, request, *, timeout_s):
        if self.settle_fails:
            raise PasslaneError(ErrorCode.TIMEOUT, "no majority")
        self.settled.append(request)
        return TurnSettled()

    async def report_streams(self, origins, *, timeout_s):
        if self.is_unavailable or self.reports_fail:
            raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader")
        self.streams |= {origin.stream_id: origin for origin in origins}

    async def report_forwarded(self, reports, *, timeout_s):
        if self.is_unavailable:
            raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader")
        self.forwarded.append(reports)

    async def find_stream(self, stream_id, address, *, timeout_s):
        if self.is_unavailable:
            raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader")
        versions = tuple(v for v in self.versions if address.startswith(v.address))
        return TurnStoreFound(origin=self.streams.get(stream_id), served_versions=versions)

    async def announce_versions(self, versions, *, timeout_s):
        if self.is_unavailable:
            raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader")
        self.versions.update(versions)

    async def report_engine_ends(self, ends, fates, *, timeout_s):
        if self.is_unavailable:
            raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader")
        self.engine_ends += ends
        self.fates += fates
        return TurnStoreFound()

    async def wait_for_refused(self, known_revision):
        await anyio.sleep_forever()

    async def draw_quota(self, draw, *, timeout_s):
        self.drawn.append(draw)
        if self.is_unavailable:
            raise PasslaneError(ErrorCode.UNAVAILABLE, "no leader")
        return self.quota
