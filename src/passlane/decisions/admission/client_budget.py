"""Bounds what a process holds for its clients: connections, and the memory of their requests.

Owns the account of each connection. Memory is taken from the budget before bytes are read, in
proportion to what the objects made from them cost. A request that does not fit waits unread. While
requests wait, those that are read too slowly are refused first, then those that hold much and wait
for each other, then those that have waited too long in all. A request that was read completely is
never refused here, since it may have run.

The module does no I/O: the owner of the connections reports what happens on them and carries out
the refusals.
"""

import enum
from collections import deque
from collections.abc import Iterable, Iterator

import msgspec

from passlane.decisions.failure.retry_after import retry_after_outage_s

CONNECTION_BYTES = 20_000
"""Memory of an open connection: its objects, and what its socket may hold unread."""
REQUEST_BYTES = 16_000
"""Memory of a request besides its head and body."""
HEADER_FIELD_BYTES = 500
"""Memory of one header field in all its forms, however short it is."""
SMALLEST_FIELD_BYTES = 4
"""Shortest header field on the wire: a name of one byte, a colon and the end of the line."""
BODY_COPIES = 3
"""Copies of a body that exist at the same time: its parts, the joined body, and the bytes that an
engine has not accepted."""
LARGE_REQUEST_BYTES = 400_000
"""Requests that hold more are large, on machines with much memory."""
LARGE_REQUEST_SHARE = 1 / 150
"""The same as a share of the budget, on others."""
LARGE_SHARE = 0.75
"""Share of the budget that large requests may take; the rest is left to others."""
PROCESS_BYTES = 48_000_000
"""Memory of a process that serves nobody; the shares are those of a machine's memory beyond it."""
CONNECTION_SHARE = 0.3
"""Share of that memory for open connections."""
REQUEST_SHARE = 0.3
"""Share of that memory for requests."""
LEAST_REQUEST_BYTES = 18_300_000
"""Memory for requests on the smallest machines: one with a body of the usual limit, and others."""
DESCRIPTOR_SHARE = 0.7
"""Share of a process's descriptors for clients; the rest is left to its own connections."""
DEFAULT_REQUEST_BYTES = 256_000_000
DEFAULT_CONNECTIONS = 10_000
OPERATOR_SHARE = 0.2
"""Connections of operators, as a share of those of callers and besides them."""
PROBE_CONNECTIONS = 64
PROBE_BYTES = 1_300_000
"""Budget of the addresses for probes and metrics, which nobody else can use."""

MAX_WAIT_S = 1.0
"""Longest time for which a request may wait for room in all. Callers give up a request that is not
read within a second."""
MAX_WAITING = 64
"""Requests that may wait for room at the same time."""
MAX_LARGE_WAITING = 32
"""Large ones among them."""
WAITED_FOR_S = 0.25
"""Wait of any request from which others that are read too slowly, or hold much, are refused."""
SLOW_GRACE_S = 1.0
"""Time for which any request may be read slowly."""
SLOW_BYTES_PER_S = 250_000.0
"""Rate below which a request is read too slowly while others wait for its room."""
MAX_BODY_TIME_S = 60.0
"""Longest time in which a body may arrive."""


class ClientGroup(enum.StrEnum):
    """Who connects to an address; each group has bounds of its own within the budget."""

    CALLERS = "callers"
    OPERATORS = "operators"
    PROBES = "probes"


class Phase(enum.IntEnum):
    """What a connection does."""

    HEAD = 0
    """It has sent no whole head yet."""
    BODY = 1
    """Its body is being read."""
    IDLE = 2
    """Its last request was answered."""
    ANSWER = 3
    """Its request was read; it is never closed to make room."""
    CLOSING = 4
    """It was refused and ends soon; it is the first that is closed to make room."""


class RefusalReason(enum.StrEnum):
    """Why a connection was refused or closed."""

    TOO_MANY_CONNECTIONS = "too_many_connections"
    """The bound on connections is reached, and others were open for less time."""
    TOO_MANY_WAIT = "too_many_wait"
    """So many requests wait for room that another one is refused at once."""
    NO_ROOM = "no_room"
    """The request waited for room for too long."""
    READ_TOO_SLOWLY = "read_too_slowly"
    """Others wait for the room that this request holds."""
    BODY_TOO_LATE = "body_too_late"
    """The body took longer than any body may."""
    BODY_STALLED = "body_stalled"
    """No part of the body has come for the idle time."""
    HEAD_TOO_LATE = "head_too_late"
    """The head was not complete in its time."""
    HEAD_TOO_LARGE = "head_too_large"
    """The head, or what frames a body in chunks, exceeds the limit on headers."""
    MALFORMED = "malformed"
    """What the client sent is no HTTP request."""
    ANSWER_UNREAD = "answer_unread"
    """The client read nothing of its answer for too long."""


class GroupBounds(msgspec.Struct, frozen=True):
    """Bounds of one group: memory of its requests in bytes, and open connections."""

    request_bytes: int
    connections: int


class ClientBounds(msgspec.Struct, frozen=True):
    """Bounds of a process.

    Attributes
    ----------
    request_bytes
        Memory of the requests of all groups together.
    groups
        Bounds of each group.
    large_request_bytes
        Memory above which a request is large.
    """

    request_bytes: int
    groups: dict[ClientGroup, GroupBounds]
    large_request_bytes: int = LARGE_REQUEST_BYTES

    @classmethod
    def of_machine(cls, memory_bytes: int | None, descriptors: int | None) -> "ClientBounds":
        """Return shares of a machine's memory and descriptors; ``None`` where these are unknown."""
        request_bytes = DEFAULT_REQUEST_BYTES
        connections = DEFAULT_CONNECTIONS
        if memory_bytes is not None:
            spare_bytes = max(0, memory_bytes - PROCESS_BYTES)
            request_bytes = max(LEAST_REQUEST_BYTES, int(spare_bytes * REQUEST_SHARE))
            connections = int(spare_bytes * CONNECTION_SHARE / CONNECTION_BYTES)
        if descriptors is not None:
            connections = min(connections, int(descriptors * DESCRIPTOR_SHARE))
        probes = GroupBounds(PROBE_BYTES, PROBE_CONNECTIONS)
        others = max(0, request_bytes - PROBE_BYTES)
        return cls(
            request_bytes,
            {
                ClientGroup.CALLERS: GroupBounds(others, connections),
                ClientGroup.OPERATORS: GroupBounds(others, int(connections * OPERATOR_SHARE)),
                ClientGroup.PROBES: probes,
            },
            min(LARGE_REQUEST_BYTES, int(request_bytes * LARGE_REQUEST_SHARE)),
        )


class Account(msgspec.Struct, eq=False):
    """What one connection holds.

    Attributes
    ----------
    key
        Identifies the connection for its owner.
    held_bytes
        Memory taken for its request.
    wanted_bytes
        Memory that it waits for; 0 if it does not wait.
    wants_since
        When this wait began.
    waited_s
        Time for which its request waited before that.
    began_at
        When its phase began.
    read_bytes
        Bytes of the body that were read.
    progress_at
        When bytes of the body were last read.
    stall_s
        Longest time without such bytes.
    """

    key: int
    group: ClientGroup
    began_at: float
    phase: Phase = Phase.HEAD
    held_bytes: int = 0
    wanted_bytes: int = 0
    wants_since: float = 0.0
    waited_s: float = 0.0
    read_bytes: int = 0
    progress_at: float = 0.0
    stall_s: float = 0.0

    def total_wait_s(self, now: float) -> float:
        """Return the time for which the request has waited in all."""
        return self.waited_s + (now - self.wants_since if self.wanted_bytes else 0.0)


class Refusal(msgspec.Struct, frozen=True):
    """A connection to be refused or closed, why, and what it did until then."""

    account: Account
    reason: RefusalReason
    phase: Phase

    @classmethod
    def of(cls, account: Account, reason: RefusalReason) -> "Refusal":
        """Return the refusal of a connection as it is now."""
        return cls(account, reason, account.phase)


class Opening(msgspec.Struct, frozen=True):
    """A new connection's account, and the connection that ends for it, which may be itself."""

    account: Account
    refusal: Refusal | None


class _GroupState:
    """Open connections of one group by phase, in the order in which their phase began."""

    def __init__(self, bounds: GroupBounds) -> None:
        self.bounds = bounds
        self.used_bytes = 0
        self.by_phase: dict[Phase, dict[int, Account]] = {phase: {} for phase in Phase}

    @property
    def connections(self) -> int:
        return sum(len(accounts) for accounts in self.by_phase.values())

    def oldest_to_close(self) -> Account | None:
        """Return the connection that gives way to a new one; ``None`` if all requests were read."""
        for phase in (Phase.CLOSING, Phase.HEAD, Phase.BODY, Phase.IDLE):
            for account in self.by_phase[phase].values():
                return account
        return None


class ClientBudget:
    """The budget of one process; times are local, in seconds."""

    def __init__(self, bounds: ClientBounds) -> None:
        self._bounds = bounds
        self._groups = {group: _GroupState(bounds.groups[group]) for group in ClientGroup}
        self._waiting: deque[Account] = deque()
        self.used_bytes = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait for room."""
        return len(self._waiting)

    @property
    def has_unfinished(self) -> bool:
        """Whether any request waits or is being read."""
        return bool(self._waiting) or any(
            group.by_phase[Phase.BODY] for group in self._groups.values()
        )

    def connections(self, group: ClientGroup) -> int:
        """Return the number of open connections of a group."""
        return self._groups[group].connections

    def open(self, key: int, group: ClientGroup, now: float) -> Opening:
        """Add a connection; beyond the bound, one of the group ends for it."""
        state = self._groups[group]
        account = Account(key, group, now)
        is_full = state.connections >= state.bounds.connections
        gives_way = (state.oldest_to_close() or account) if is_full else None
        state.by_phase[Phase.HEAD][key] = account
        if gives_way is None:
            return Opening(account, None)
        refusal = Refusal.of(gives_way, RefusalReason.TOO_MANY_CONNECTIONS)
        # It is closed at once and counts no longer.
        state.by_phase[gives_way.phase].pop(gives_way.key)
        gives_way.phase = Phase.CLOSING
        return Opening(account, refusal)

    def close(self, account: Account) -> None:
        """Remove a connection and give back what it holds."""
        self.give_back(account)
        self._groups[account.group].by_phase[account.phase].pop(account.key, None)

    def enter(self, account: Account, phase: Phase, now: float) -> None:
        """Record the beginning of a phase."""
        by_phase = self._groups[account.group].by_phase
        if by_phase[account.phase].pop(account.key, None) is None:
            return
        by_phase[phase][account.key] = account
        account.phase = phase
        account.began_at = account.progress_at = now

    def progress(self, account: Account, count: int, now: float) -> None:
        """Record that ``count`` bytes of a body were read."""
        account.read_bytes += count
        account.progress_at = now

    def has_room(self, account: Account, wanted: int) -> bool:
        """Return whether a connection may take ``wanted`` more bytes now.

        A request that is alone may always, so that each request inside the limits is served.
        """
        state = self._groups[account.group]
        if state.used_bytes == account.held_bytes:
            return True
        share = LARGE_SHARE if self._is_large(account, wanted) else 1.0
        return (
            self.used_bytes + wanted <= share * self._bounds.request_bytes
            and state.used_bytes + wanted <= share * state.bounds.request_bytes
        )

    def may_take(self, account: Account, wanted: int) -> bool:
        """Return whether a connection may take or wait for ``wanted`` more bytes."""
        return self.has_room(account, wanted) or not self._too_many_wait(account, wanted)

    def _too_many_wait(self, account: Account, wanted: int) -> bool:
        """Whether so many requests wait that this one may not; large ones leave room to others."""
        if len(self._waiting) >= MAX_WAITING:
            return True
        if not self._is_large(account, wanted):
            return False
        large = sum(self._is_large(other, other.wanted_bytes) for other in self._waiting)
        return large >= MAX_LARGE_WAITING

    def _is_large(self, account: Account, wanted: int) -> bool:
        """Whether a request holds, or would hold, more than most requests."""
        return account.held_bytes + wanted > self._bounds.large_request_bytes

    def _grows(self, account: Account) -> bool:
        """Whether a waiting request holds much already, as bodies of unknown length do."""
        return account.held_bytes > self._bounds.large_request_bytes

    def charge(self, account: Account, count: int) -> None:
        """Take memory whether or not it fits, for bytes that were parsed already."""
        self.used_bytes += count
        self._groups[account.group].used_bytes += count
        account.held_bytes += count

    def take(self, account: Account, wanted: int, now: float) -> bool:
        """Take memory and return ``True``, or let the connection wait for it."""
        if self.has_room(account, wanted):
            self.charge(account, wanted)
            return True
        account.wanted_bytes = wanted
        account.wants_since = now
        self._waiting.append(account)
        return False

    def refuse_newest(self) -> Refusal | None:
        """Return the newest waiting request if more wait than may."""
        if len(self._waiting) <= MAX_WAITING:
            return None
        return Refusal.of(self._waiting[-1], RefusalReason.TOO_MANY_WAIT)

    def give_back(self, account: Account) -> None:
        """Return all memory that a connection's request holds or waits for."""
        if account.wanted_bytes:
            self._waiting.remove(account)
            account.wanted_bytes = 0
        self.used_bytes -= account.held_bytes
        self._groups[account.group].used_bytes -= account.held_bytes
        account.held_bytes = 0
        account.read_bytes = 0
        account.waited_s = 0.0

    def grant_waiting(self, now: float) -> list[Account]:
        """Take memory for waiting requests that fit now, small ones first; return them.

        Of those that hold much already only the one that began first is granted: room that all of
        them share completes none.
        """
        first = next(iter(self._growing()), None)
        granted = []
        for account in sorted(self._waiting, key=lambda a: self._is_large(a, a.wanted_bytes)):
            if self._grows(account) and account is not first:
                continue
            if self.has_room(account, account.wanted_bytes):
                self._waiting.remove(account)
                self.charge(account, account.wanted_bytes)
                account.waited_s = account.total_wait_s(now)
                account.wanted_bytes = 0
                granted.append(account)
        return granted

    def _growing(self) -> list[Account]:
        """Return the requests that hold much and wait for more, in the order of their begin."""
        growing = (account for account in self._waiting if self._grows(account))
        return sorted(growing, key=lambda account: account.began_at)

    def retry_after_s(self, now: float) -> float:
        """Return the time after which a refused client may come back, in seconds.

        It follows from the longest wait now.
        """
        return retry_after_outage_s(now - self._waiting[0].wants_since if self._waiting else 0.0)

    def overdue(self, now: float) -> Iterator[Refusal]:
        """Return the requests to refuse now.

        1. Bodies that stall or take longer than any body may.
        2. While a request waits, those that are read too slowly.
        3. The later half of those that hold much and wait for each other.
        4. Requests that have waited for too long in all.
        """
        reading = [
            a for state in self._groups.values() for a in state.by_phase[Phase.BODY].values()
        ]
        yield from _late_bodies(reading, now)
        if any(now - account.wants_since > WAITED_FOR_S for account in self._waiting):
            yield from _slow_bodies(reading, now)
        yield from self._later_growing(now)
        for account in list(self._waiting):
            if account.total_wait_s(now) > MAX_WAIT_S:
                yield Refusal.of(account, RefusalReason.NO_ROOM)

    def _later_growing(self, now: float) -> Iterator[Refusal]:
        """Return the later half of the growing requests, if the first gets no room from others."""
        growing = self._growing()
        if growing and now - growing[0].wants_since > WAITED_FOR_S:
            for account in growing[(len(growing) + 1) // 2 :]:
                yield Refusal.of(account, RefusalReason.NO_ROOM)


def _late_bodies(reading: Iterable[Account], now: float) -> Iterator[Refusal]:
    for account in reading:
        if now - account.began_at > MAX_BODY_TIME_S:
            yield Refusal.of(account, RefusalReason.BODY_TOO_LATE)
        elif not account.wanted_bytes and now - account.progress_at > account.stall_s:
            yield Refusal.of(account, RefusalReason.BODY_STALLED)


def _slow_bodies(reading: Iterable[Account], now: float) -> Iterator[Refusal]:
    """Return requests that hold room and are read too slowly."""
    for account in reading:
        if account.wanted_bytes:
            continue
        counted_s = now - account.began_at - account.waited_s - SLOW_GRACE_S
        if counted_s > 0 and account.read_bytes < counted_s * SLOW_BYTES_PER_S:
            yield Refusal.of(account, RefusalReason.READ_TOO_SLOWLY)
