"""Summarizes request log lines: outcomes, reasons and wait times by time window.

Text before the first brace of a line, such as a log collector's prefix, is skipped.
Requests are assigned to windows by their arrival in Unix time.
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
    """Result of a request."""

    IN_TIME = "in time"
    LATE = "late"
    """Completed, but after the latency target of its route."""
    REFUSED = "refused"
    """Refused with a status that guarantees that it did not run."""
    REJECTED = "rejected"
    """Rejected with another client error, such as an exhausted budget."""
    FAILED = "failed"
    """Failed with a server error."""
    BROKEN_OFF = "broken off"
    """The response is incomplete."""


class Grouping(enum.StrEnum):
    """Attribute by which the requests of one window are grouped."""

    KIND = "kind"
    """Request kind and priority."""
    ROUTE = "route"
    TENANT = "tenant"
    PROGRAM = "program"


class RequestLine(msgspec.Struct, frozen=True):
    """The fields of a request log line that the summary uses; times are in seconds."""

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
        """Return the value of the grouping attribute; empty if the line has none."""
        names = {
            Grouping.KIND: self.kind,
            Grouping.ROUTE: self.route,
            Grouping.TENANT: self.tenant,
            Grouping.PROGRAM: self.program_id,
        }
        return names[grouping] or ""

    @property
    def arrived_at(self) -> float:
        """Unix time in seconds at which the request arrived."""
        return self.unix_time_s - self.elapsed_s

    @property
    def outcome(self) -> Outcome:
        """Result of the request."""
        if not self.is_whole:
            return Outcome.BROKEN_OFF
        if self.status < FIRST_FAILURE:
            return Outcome.LATE if self.is_in_time is False else Outcome.IN_TIME
        if self.status in NOT_RUN_STATUSES:
            return Outcome.REFUSED
        return Outcome.FAILED if self.status >= FIRST_SERVER_FAULT else Outcome.REJECTED


class Waits(msgspec.Struct, frozen=True):
    """Median and 95th percentile of a wait in seconds; ``None`` without samples."""

    median_s: float | None
    high_s: float | None

    @classmethod
    def of(cls, seconds: list[float]) -> "Waits":
        """Return the percentiles of ``seconds``."""
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
        Start of the window in seconds after the first arrival in the log.
    group
        Kind, route, tenant or program; empty for requests that have none.
    kind, priority
        Empty and ``None`` unless requests are grouped by kind.
    outcomes
        Number of requests by outcome.
    reasons
        Number of requests without a complete response, by reason.
    reservation, back_end, delivery
        Wait for the store's reservation, then for the first part of the backend's response,
        then until the response ended.
    place, room
        Waits for an engine slot and for backend capacity; included in the waits above.
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


_GroupKey = tuple[int, str, int | None]

_decoder = msgspec.json.Decoder(RequestLine)


def read_requests(lines: Iterable[str]) -> Iterator[RequestLine]:
    """Yield the request lines; other and truncated lines are skipped."""
    for line in lines:
        start = line.find("{")
        if start < 0 or REQUEST_EVENT not in line:
            continue
        try:
            request = _decoder.decode(line[start:].strip().encode())
        except msgspec.MsgspecError:
            # A partly written line, or a line of another program.
            continue
        if request.event == REQUEST_EVENT:
            yield request


def summarize(
    requests: Iterable[RequestLine], window_s: float, grouping: Grouping = Grouping.KIND
) -> list[WindowSummary]:
    """Summarize requests by window and group.

    Parameters
    ----------
    requests
        Request lines in any order.
    window_s
        Length of a window in seconds.
    grouping
        Attribute by which the requests of a window are grouped.
    """
    ordered = sorted(requests, key=lambda request: request.arrived_at)
    if not ordered:
        return []
    first = ordered[0].arrived_at
    groups: dict[_GroupKey, list[RequestLine]] = defaultdict(list)
    for request in ordered:
        window = int((request.arrived_at - first) / window_s)
        priority = request.priority if grouping is Grouping.KIND else None
        groups[window, request.group(grouping), priority].append(request)
    return [
        _summarize_group(window * window_s, name, priority, group, grouping)
        for (window, name, priority), group in sorted(groups.items(), key=_sort_key)
    ]


def _sort_key(item: tuple[_GroupKey, list[RequestLine]]) -> tuple[int, str, int]:
    window, name, priority = item[0]
    return window, name, -1 if priority is None else priority


def _summarize_group(
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
