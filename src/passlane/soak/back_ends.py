"""Stand-ins of the platform: engines, plain back ends, and the list that names them.

They are small on purpose. An engine streams events at its own pace, a plain back end answers
after a moment; both refuse with the mark of "not executed" when all places are taken, and tell
the ledger what they ran.
"""

import socket
from collections.abc import Callable, Sequence
from enum import StrEnum

import anyio

from passlane.api.asgi import (
    JSON_TYPE,
    Receive,
    Request,
    Response,
    Scope,
    Send,
    read_request,
    send_chunk,
    send_response,
    start_stream,
)
from passlane.emulator.http_server import start_stream_without_length
from passlane.errors import PasslaneError
from passlane.event_streams.whole_events import EVENT_STREAM_TYPE, MAX_EVENT_BYTES
from passlane.messages.common import Address
from passlane.messages.listing import BackendRecord, BackendState
from passlane.observability.logging import get_logger
from passlane.platform import names
from passlane.platform.list_format import DEFAULT_SOFTWARE_VERSION, encode_page
from passlane.runtime.early_listening import ListeningSockets, bound_socket
from passlane.soak.bad_entries import BAD_ID_PREFIX, bad_entries, undecodable_entries
from passlane.soak.configuration import (
    FLOODING_TENANT,
    HEALTH_PATH,
    STREAM,
    TOKENS_PER_EVENT,
)
from passlane.soak.ledger import Ledger
from passlane.soak.outputs import ENDLESS_PART, events_of, plain_output, stream_event

OK = 200
FAILED = 500
SEND_BUFFER_BYTES = 65_536
UNAVAILABLE = 503
WRONG_INSTANCE = 421
MOST_BODY_BYTES = 17_000_000
HARMFUL = b"harmful"
"""Part of the body of requests under which back ends end."""
EVENT_PAUSE_S = 0.06
"""Pause before each event of an engine of pace 1."""
PLAIN_RUN_S = 0.03
ENDLESS_PAUSE_S = 0.002
MOST_ENDLESS_BYTES = 3 * MAX_EVENT_BYTES
"""One event of the largest size, and what the buffers of both ends and of a proxy hold."""

_log = get_logger(__name__)


class HarmedAnswer(StrEnum):
    """How a back end answers a harmful request before it ends."""

    USUAL = "usual"
    BREAKS_OFF = "breaks_off"
    ERROR = "error"


class StandIn:
    """What engines and plain back ends have in common.

    Attributes
    ----------
    breaks_off
        Whether it breaks its answers off: each second one before its head, others midway.
    born_ms
        Unix time of its start, as the list tells it; ``None`` where the list tells none.
    software_version
        Version of its software, as the list tells it.
    is_endless
        Whether its answers are bytes without an end, until its caller closes.
    on_harmful
        Called with this back end and the request's id when it begins to run a harmful request;
        returns how the answer ends.
    """

    def __init__(
        self, instance_id: str, address: Address, service: str, places: int, ledger: Ledger
    ) -> None:
        self.instance_id = instance_id
        self.address = address
        self.service = service
        self.places = places
        self.breaks_off = False
        self.born_ms: int | None = None
        self.software_version = DEFAULT_SOFTWARE_VERSION
        self.is_endless = False
        self.on_harmful: Callable[[StandIn, str], HarmedAnswer] | None = None
        self._ledger = ledger
        self._running = 0
        self._broken = 0

    def start_again(self, born_ms: int) -> None:
        """Be another process under the same id: what ran is lost, and all places are free."""
        self.born_ms = born_ms
        self._running = 0

    def release(self, instance_id: str, software_version: str, started_ms: int) -> None:
        """Be another instance of another version at the same address."""
        self.start_again(started_ms)
        self.instance_id = instance_id
        self.software_version = software_version

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        try:
            request = await read_request(scope, receive, MOST_BODY_BYTES)
        except PasslaneError as error:
            _log.info("request_unreadable", instance=self.instance_id, error=error.message)
            return
        if request.path == HEALTH_PATH:
            health = Response(OK, headers={names.INSTANCE_ID: self.instance_id})
            await send_response(send, health)
        elif request.headers.get(names.TARGET_INSTANCE) != self.instance_id:
            self._check_target(request)
            await self._refuse(send, request, WRONG_INSTANCE)
        elif self._running >= self.places:
            await self._refuse(send, request, UNAVAILABLE)
        else:
            await self._hold_place(receive, send, request)

    def _check_target(self, request: Request) -> None:
        """Judge a request for another back end: an entry that can't be read names none."""
        target = request.headers.get(names.TARGET_INSTANCE, "")
        request_id = request.headers.get(names.ATTEMPT_ID, "")
        is_real = not target.startswith(BAD_ID_PREFIX)
        self._ledger.check("entry-read", is_real, request_id, f"sent to {target}", _now())

    async def _hold_place(self, receive: Receive, send: Send, request: Request) -> None:
        request_id = request.headers.get(names.ATTEMPT_ID, "")
        signature = f"{request_id}.{self.instance_id}"
        is_limited = request.headers.get(names.TENANT) == FLOODING_TENANT
        self._running += 1
        born_ms = self.born_ms
        try:
            self._ledger.note_run(
                request_id, request.body, signature, is_limited=is_limited, now=_now()
            )
            marks = {names.ATTEMPT_ID: request_id, names.SIGNATURE: signature}
            harmed = HarmedAnswer.USUAL
            if HARMFUL in request.body and self.on_harmful is not None:
                harmed = self.on_harmful(self, request_id)
            if harmed is HarmedAnswer.BREAKS_OFF or self._breaks_before_head():
                return  # The server closes the connection, after an answer without an id.
            if harmed is HarmedAnswer.ERROR:
                await send_response(send, Response(FAILED, headers=marks))
                return
            if self.is_endless:
                await self._send_without_end(receive, send, marks)
                return
            await self._run(send, request, request_id, marks)
        finally:
            if self.born_ms == born_ms:
                self._running -= 1

    async def _send_without_end(self, receive: Receive, send: Send, marks: dict[str, str]) -> None:
        """Send parts of one line until the caller closes; judge that it does so in time."""
        sent_bytes = 0
        has_left = anyio.Event()
        self._ledger.note_endless(marks[names.ATTEMPT_ID])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_wait_for_disconnect, receive, has_left)
            await start_stream(send, OK, EVENT_STREAM_TYPE, marks)
            while not has_left.is_set() and sent_bytes <= MOST_ENDLESS_BYTES:
                await send_chunk(send, ENDLESS_PART)
                sent_bytes += len(ENDLESS_PART)
                await anyio.sleep(ENDLESS_PAUSE_S)
            tasks.cancel_scope.cancel()
        detail = f"{sent_bytes} bytes of one line sent, {MOST_ENDLESS_BYTES} allowed"
        is_bounded = sent_bytes <= MOST_ENDLESS_BYTES
        self._ledger.check("endless-answers", is_bounded, marks[names.ATTEMPT_ID], detail, _now())

    def _breaks_before_head(self) -> bool:
        self._broken += self.breaks_off
        return self.breaks_off and self._broken % 2 == 0

    async def _run(
        self, send: Send, request: Request, request_id: str, marks: dict[str, str]
    ) -> None:
        raise NotImplementedError

    async def _refuse(self, send: Send, request: Request, status: int) -> None:
        headers = {
            names.ATTEMPT_ID: request.headers.get(names.ATTEMPT_ID, ""),
            names.INSTANCE_ID: self.instance_id,
            names.NOT_EXECUTED: "1",
        }
        await send_response(send, Response(status, headers=headers))


class SmallSendBuffers(ListeningSockets):
    """Sockets of back ends whose connections hold few bytes that were sent and not received.

    Otherwise the kernel takes megabytes from a back end although nobody reads them.
    """

    def take(self, address: str) -> socket.socket:
        """Return a socket for an address."""
        host, _, port = address.rpartition(":")
        bound = bound_socket(host, int(port))
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        return bound


class StandInEngine(StandIn):
    """Streams as many events as the request's most tokens fill.

    Attributes
    ----------
    pace
        Multiple of the usual pause before each event.
    breaks_after
        Events after which it breaks a resumable stream off; ``None`` to complete it.
    lacks_length
        Whether its answers have neither a length nor chunks; every second one ends inside an event.
    """

    def __init__(
        self, instance_id: str, address: Address, service: str, places: int, ledger: Ledger
    ) -> None:
        super().__init__(instance_id, address, service, places, ledger)
        self.pace = 1.0
        self.breaks_after: int | None = None
        self.lacks_length = False
        self._without_length = 0

    async def _run(
        self, send: Send, request: Request, request_id: str, marks: dict[str, str]
    ) -> None:
        _, _, most_tokens = request.headers.get(names.TOKEN_USAGE, "0,0").partition(",")
        count = int(most_tokens) // TOKENS_PER_EVENT
        if request.path.startswith(f"/{STREAM}/"):
            events = self._stream_events(request, request_id, count)
        else:
            events = events_of(request_id, count)
        self._ledger.note_turn_begun()
        try:
            if self.lacks_length:
                await start_stream_without_length(send, OK, EVENT_STREAM_TYPE, marks)
                events = self._cut_every_second(events)
            else:
                await start_stream(send, OK, EVENT_STREAM_TYPE, marks)
            await self._send_events(send, events, request, request_id)
        finally:
            self._ledger.note_turn_ended()

    def _cut_every_second(self, events: list[bytes]) -> list[bytes]:
        """Return an answer's events, or those up to the middle of one of them."""
        self._without_length += 1
        number, is_cut = divmod(self._without_length, 2)
        if not is_cut or not events:
            return events
        last = number % len(events)
        return [*events[:last], events[last][: len(events[last]) // 2]]

    def _stream_events(self, request: Request, request_id: str, count: int) -> list[bytes]:
        """Return the events of a resumable stream after the last one that the caller has."""
        last = int(request.headers.get(names.LAST_EVENT_ID, "0"))
        numbers = range(last + 1, count + 1)
        return [stream_event(self.software_version, request_id, number) for number in numbers]

    async def _send_events(
        self, send: Send, events: list[bytes], request: Request, request_id: str
    ) -> None:
        program_id = request.headers.get(names.PROGRAM_ID, "")
        born_ms = self.born_ms
        is_resumable = request.path.startswith(f"/{STREAM}/")
        for number, event in enumerate(events):
            await anyio.sleep(EVENT_PAUSE_S * self.pace)
            if is_resumable and number == self.breaks_after:
                return
            if self.born_ms != born_ms:
                return  # The process that ran it has ended.
            if self.breaks_off:
                # A return without an end makes the server close the connection.
                await send_chunk(send, event[: len(event) // 2])
                return
            self._ledger.note_tokens(program_id, request_id, TOKENS_PER_EVENT, _now())
            await send_chunk(send, event)
        await send_chunk(send, b"", last=True)


class StandInPlain(StandIn):
    """Answers with one body that tells the request's id."""

    async def _run(
        self, send: Send, request: Request, request_id: str, marks: dict[str, str]
    ) -> None:
        await anyio.sleep(PLAIN_RUN_S)
        body = plain_output(request_id)
        head = marks | {"content-length": str(len(body))}
        await start_stream(send, OK, JSON_TYPE, head)
        if self.breaks_off:
            await send_chunk(send, body[: len(body) // 2])
            return
        await send_chunk(send, body, last=True)


class StandInList:
    """The platform's list of back ends, in one page.

    Parameters
    ----------
    addresses
        Where each back end is listed, in their order.

    Attributes
    ----------
    has_bad_entries
        Whether entries of another writer stand between the others.
    """

    def __init__(
        self, back_ends: Sequence[StandIn], addresses: Sequence[Address], zone: str
    ) -> None:
        self._back_ends = list(zip(back_ends, addresses, strict=True))
        self._zone = zone
        self.has_bad_entries = False
        self._bad_pages = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        records = [self._record(back_end, address) for back_end, address in self._back_ends]
        body = encode_page(records)
        if self.has_bad_entries:
            body = self._with_bad_entries(body)
        await send_response(send, Response(OK, body=body))

    def _with_bad_entries(self, page: bytes) -> bytes:
        """Return a page with a bad entry before the others and the rest of them behind.

        Pages take turns, so that entries that no decoder follows don't hide the other ones from a
        reader that refuses a whole page for them.
        """
        back_end, address = self._back_ends[0]
        self._bad_pages += 1
        entries = bad_entries if self._bad_pages % 2 else undecodable_entries
        first, *others = entries(address, back_end.service, self._zone)
        page = page.replace(b'"instances":[', b'"instances":[' + first + b",", 1)
        return page.replace(b"}]", b"}," + b",".join(others) + b"]", 1)

    def _record(self, back_end: StandIn, address: Address) -> BackendRecord:
        return BackendRecord(
            instance_id=back_end.instance_id,
            service=back_end.service,
            address=address,
            zone=self._zone,
            slots=back_end.places,
            state=BackendState.READY,
            born_ms=back_end.born_ms,
            software_version=back_end.software_version,
        )


async def _wait_for_disconnect(receive: Receive, has_left: anyio.Event) -> None:
    """Set an event once the caller has closed its connection."""
    while (await receive())["type"] != "http.disconnect":
        continue
    has_left.set()


def _now() -> float:
    return anyio.current_time()
