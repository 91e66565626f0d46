"""Reads the request lines of process logs: what became of requests, when, and where they waited.

A line may have a text in front of it, as log collectors put there: it is read from its
first brace on. Requests are put into windows of time by their arrival, on the machines'
time of day.
"""

import enum
from collections import defaultdict
from collections.abc import Iterable, Iterator
from statistics import quantiles

import msgspec

REQUEST_EVENT = "request_ended"
FIRST_FAILURE = 300
FIRST_SERVER_FAULT = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Outcome(enum.StrEnum):
    """What became of a request."""

    IN_TIME = "in time"
    LATE = "late"
    """Answered whole, but after its route's target."""
    REFUSED = "refused"
    """Answered with the promise that it didn't run."""
    REJECTED = "rejected"
    """Answered with another status of the caller's fault, such as a spent budget."""
    FAILED = "failed"
    """Answered with a fault."""
    BROKEN_OFF = "broken off"
    """Not answered whole."""


class Grouping(enum.StrEnum):
    """What requests of one window are told apart by."""

    KIND = "kind"
    """Kind of request and priority."""
    ROUTE = "route"
    TENANT = "tenant"
    PROGRAM = "program"


class RequestLine(msgspec.Struct, frozen=True):
    """The fields of a request's log line that are used here; times in seconds."""

    event: str
    unix_time_s: float = 0.0
    elapsed_s: float = 0.0
    kind: str = ""
    priority: int | None = None
    route: str | None = None
    tenant: str | None = None
    program_id: str | None = None
    status: int = 0
    reason: str = ""
    is_whole: bool = False
    is_in_time: bool | None = None
    reserved_s: float | None = None
    first_part_s: float | None = None
    place_wait_s: float | None = None
    room_wait_s: float | None = None

    def group(self, grouping: Grouping) -> str:
        """Return by what it is told apart from others; empty if the line doesn't tell."""
        names = {
            Grouping.KIND: self.kind,
            Grouping.ROUTE: self.route,
            Grouping.TENANT: self.tenant,
            Grouping.PROGRAM: self.program_id,
        }
        return names[grouping] or ""

    @property
    def arrived_at(self) -> float:
        """Time of day of the request's arrival."""
        return self.unix_time_s - self.elapsed_s

    @property
    def outcome(self) -> Outcome:
        """What became of the request."""
        if not self.is_whole:
            return Outcome.BROKEN_OFF
        if self.status < FIRST_FAILURE:
            return Outcome.LATE if self.is_in_time is False else Outcome.IN_TIME
        if self.status in NOT_RUN_STATUSES:
            return Outcome.REFUSED
        return Outcome.FAILED if self.status >= FIRST_SERVER_FAULT else Outcome.REJECTED


class Waits(msgspec.Struct, frozen=True):
    """Median and 95th percentile of a wait, in seconds; ``None`` where nothing waited."""

    median_s: float | None
    high_s: float | None

    @classmethod
    def of(cls, seconds: list[float]) -> "Waits":
        """Return the percentiles of some waits."""
        if not seconds:
            return cls(None, None)
        if len(seconds) == 1:
            return cls(seconds[0], seconds[0])
        cuts = quantiles(seconds, n=20, method="inclusive")
        return cls(round(cuts[9], 4), round(cuts[18], 4))


class WindowSummary(msgspec.Struct, frozen=True):
    """Requests of one group that arrived in one window.

    Attributes
    ----------
    starts_s
        Start of the window, from the first arrival of all.
    group
        Kind, route, tenant or program; empty for requests that have none.
    kind, priority
        Empty and ``None`` where kinds are not told apart.
    outcomes
        Number of requests by outcome.
    reasons
        Number of requests that had no whole answer of a back end, by reason.
    reservation, back_end, delivery
        Waits for the store, from there to the back end's first part, and from there on.
    place, room
        Parts of these: waits for a place at an engine, and for room at a back end.
    """

    starts_s: float
    group: str
    kind: str
    priority: int | None
    outcomes: dict[Outcome, int]
    reasons: dict[str, int]
    reservation: Waits
    back_end: Waits
    delivery: Waits
    place: Waits
    room: Waits


_Key = tuple[int, str, int | None]

_decoder = msgspec.json.Decoder(RequestLine)


def read_requests(lines: Iterable[str]) -> Iterator[RequestLine]:
    """Yield the request lines; lines that are none, or cut short, are passed over."""
    for line in lines:
        start = line.find("{")
        if start < 0 or REQUEST_EVENT not in line:
            continue
        try:
            request = _decoder.decode(line[start:].strip().encode())
        except msgspec.MsgspecError:
            # The last line of a log that is being written, or one of another program.
            continue
        if request.event == REQUEST_EVENT:
            yield request


def summarize(
    requests: Iterable[RequestLine], window_s: float, grouping: Grouping = Grouping.KIND
) -> list[WindowSummary]:
    """Return what became of requests, by window and group."""
    ordered = sorted(requests, key=lambda request: request.arrived_at)
    if not ordered:
        return []
    first = ordered[0].arrived_at
    groups: dict[_Key, list[RequestLine]] = defaultdict(list)
    for request in ordered:
        window = int((request.arrived_at - first) / window_s)
        priority = request.priority if grouping is Grouping.KIND else None
        groups[window, request.group(grouping), priority].append(request)
    return [
        _summary_of(window * window_s, name, priority, group, grouping)
        for (window, name, priority), group in sorted(groups.items(), key=_order)
    ]


def _order(item: tuple[_Key, list[RequestLine]]) -> tuple[int, str, int]:
    window, name, priority = item[0]
    return window, name, -1 if priority is None else priority


def _summary_of(
    starts_s: float,
    name: str,
    priority: int | None,
    group: list[RequestLine],
    grouping: Grouping,
) -> WindowSummary:
    answered = [request for request in group if request.first_part_s is not None]
    outcomes: dict[Outcome, int] = defaultdict(int)
    reasons: dict[str, int] = defaultdict(int)
    for request in group:
        outcomes[request.outcome] += 1
        if request.outcome not in (Outcome.IN_TIME, Outcome.LATE):
            reasons[request.reason] += 1
    return WindowSummary(
        starts_s=starts_s,
        group=name,
        kind=name if grouping is Grouping.KIND else "",
        priority=priority,
        outcomes=dict(outcomes),
        reasons=dict(reasons),
        reservation=Waits.of([r.reserved_s for r in group if r.reserved_s is not None]),
        back_end=Waits.of([(r.first_part_s or 0.0) - (r.reserved_s or 0.0) for r in answered]),
        delivery=Waits.of([r.elapsed_s - (r.first_part_s or 0.0) for r in answered]),
        place=Waits.of([r.place_wait_s for r in group if r.place_wait_s is not None]),
        room=Waits.of([r.room_wait_s for r in group if r.room_wait_s is not None]),
    )
