"""Applies the budget of a process to the connections of its HTTP servers.

Owns the budget, the buffer into which all connections are read, and the queue of those whose bytes
cost much to parse. ``decisions.admission.client_budget`` decides who waits and who is refused.
Log lines: ``client_refused``, ``more_clients_refused``, ``refusal_failed``, ``parsing_failed``.
"""

import asyncio
from collections import Counter, deque
from typing import Protocol

from passlane.decisions.admission.client_budget import (
    MAX_WAITING,
    Account,
    ClientBounds,
    ClientBudget,
    ClientGroup,
    Phase,
    Refusal,
    RefusalReason,
)
from passlane.observability.logging import get_logger
from passlane.observability.metrics import Metrics

READ_BUFFER_BYTES = 65_536
"""Most bytes of one read; they are copied from the common buffer before the next read."""
CALLBACKS_PER_TURN = 1_000
"""Parser callbacks that queued connections get in one turn of the event loop, about a
millisecond's work."""
CALLBACKS_AT_ONCE = 300
"""Parser callbacks after which a connection is queued; usual requests need a few dozen."""
CHECK_PERIOD_S = 0.1
MAX_LOGGED_PER_PERIOD = 5

_log = get_logger(__name__)


class LimitedConnection(Protocol):
    """A server connection whose memory is accounted for."""

    @property
    def peer(self) -> str:
        """Address of the client; empty if unknown."""
        ...

    def resume_parsing(self) -> None:
        """Go on with what waited for room or for a turn."""
        ...

    def refuse_now(self, reason: RefusalReason, retry_after_s: float) -> None:
        """Refuse the request that is being read, or close the connection."""
        ...


class ClientLimiter:
    """Accounts for the connections of all HTTP servers of a process.

    Attributes
    ----------
    refused
        Number of refused requests and closed connections, by reason.
    read_buffer
        Buffer of the bytes that were read last.
    """

    def __init__(self, bounds: ClientBounds | None = None) -> None:
        self._bounds = bounds or ClientBounds.of_machine(None, None)
        self._budget = ClientBudget(self._bounds)
        self._connections: dict[int, LimitedConnection] = {}
        self._queue: deque[LimitedConnection] = deque()
        self._callbacks_left = 0
        self._is_turn_due = False
        self._is_grant_due = False
        self._check_timer: asyncio.TimerHandle | None = None
        self._logged = 0
        self._unlogged = 0
        self._exposed: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    @property
    def waiting(self) -> int:
        """Number of requests that wait for room."""
        return self._budget.waiting

    def open(self, connection: LimitedConnection, group: ClientGroup) -> Account:
        """Account for a new connection; another one may be closed for it, or it itself."""
        now = asyncio.get_running_loop().time()
        self._connections[id(connection)] = connection
        opening = self._budget.open(id(connection), group, now)
        if opening.refusal is not None:
            # A connection can't be closed before it was made completely.
            asyncio.get_running_loop().call_soon(self._refuse_now, opening.refusal)
        return opening.account

    def close(self, account: Account) -> None:
        """Give back what a connection held."""
        self._budget.close(account)
        self._connections.pop(account.key, None)
        self._grant_soon()

    def enter(self, account: Account, phase: Phase) -> None:
        """Record the beginning of a phase of a connection."""
        self._budget.enter(account, phase, asyncio.get_running_loop().time())
        if phase is Phase.BODY:
            self._check_soon()

    def progress(self, account: Account, count: int) -> None:
        """Record that bytes of a body were read."""
        self._budget.progress(account, count, asyncio.get_running_loop().time())

    def may_take(self, account: Account, wanted: int) -> bool:
        """Return whether a connection may take or wait for ``wanted`` more bytes."""
        return self._budget.may_take(account, wanted)

    def charge(self, account: Account, count: int) -> None:
        """Take memory for bytes that were parsed already."""
        self._budget.charge(account, count)

    def take(self, account: Account, wanted: int) -> bool:
        """Take memory and return ``True``; else the connection goes on once there is room."""
        if self._budget.take(account, wanted, asyncio.get_running_loop().time()):
            return True
        self._check_soon()
        if self._budget.waiting > MAX_WAITING:
            # The caller is in the middle of reading; it must return before it is refused.
            asyncio.get_running_loop().call_soon(self._refuse_newest)
        return False

    def refuse(self, account: Account, reason: RefusalReason) -> None:
        """Refuse a connection for a limit that its server found exceeded."""
        self._refuse_now(Refusal.of(account, reason))

    def give_back(self, account: Account) -> None:
        """Give back the memory of a request that has ended."""
        self._budget.give_back(account)
        self._grant_soon()

    def queue(self, connection: LimitedConnection) -> None:
        """Let a connection go on in a later turn of the event loop."""
        self._queue.append(connection)
        if not self._is_turn_due:
            self._is_turn_due = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def count_callbacks(self, count: int) -> None:
        """Count what a queued connection used of the current turn."""
        self._callbacks_left -= count

    def _take_turn(self) -> None:
        """Let queued connections go on, one slice each, until the work of this turn is done."""
        self._is_turn_due = False
        self._callbacks_left = CALLBACKS_PER_TURN
        for _ in range(len(self._queue)):
            if self._callbacks_left <= 0:
                break
            _resume(self._queue.popleft())
        if self._queue and not self._is_turn_due:
            self._is_turn_due = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _grant_soon(self) -> None:
        if self._budget.waiting and not self._is_grant_due:
            self._is_grant_due = True
            asyncio.get_running_loop().call_soon(self._grant)

    def _grant(self) -> None:
        self._is_grant_due = False
        for account in self._budget.grant_waiting(asyncio.get_running_loop().time()):
            connection = self._connections.get(account.key)
            if connection is not None:
                _resume(connection)

    def _check_soon(self) -> None:
        """Check for overdue requests after a while, as long as any is read or waits."""
        if self._check_timer is None:
            loop = asyncio.get_running_loop()
            self._check_timer = loop.call_later(CHECK_PERIOD_S, self._check)

    def _check(self) -> None:
        self._check_timer = None
        self._grant()
        for refusal in list(self._budget.overdue(asyncio.get_running_loop().time())):
            self._refuse_now(refusal)
        if self._unlogged:
            _log.warning("more_clients_refused", count=self._unlogged)
        self._logged = self._unlogged = 0
        if self._budget.has_unfinished:
            self._check_soon()

    def _refuse_newest(self) -> None:
        refusal = self._budget.refuse_newest()
        if refusal is not None:
            self._refuse_now(refusal)

    def _refuse_now(self, refusal: Refusal) -> None:
        connection = self._connections.get(refusal.account.key)
        if connection is None:
            return
        retry_after_s = self._budget.retry_after_s(asyncio.get_running_loop().time())
        self.refused[refusal.reason.value] += 1
        self._log(refusal, connection)
        # The room is free at once, though the connection may end later.
        self.give_back(refusal.account)
        self.enter(refusal.account, Phase.CLOSING)
        try:
            connection.refuse_now(refusal.reason, retry_after_s)
        except Exception:
            # An error on one connection must not keep the others waiting.
            _log.exception("refusal_failed", client=connection.peer, reason=refusal.reason.value)

    def _log(self, refusal: Refusal, connection: LimitedConnection) -> None:
        self._check_soon()
        if self._logged >= MAX_LOGGED_PER_PERIOD:
            self._unlogged += 1
            return
        self._logged += 1
        account = refusal.account
        _log.warning(
            "client_refused",
            reason=refusal.reason.value,
            client=connection.peer,
            group=account.group.value,
            phase=refusal.phase.name.lower(),
            held_bytes=account.held_bytes,
            wanted_bytes=account.wanted_bytes,
            read_bytes=account.read_bytes,
            held_bytes_of_all=self._budget.used_bytes,
            waiting=self._budget.waiting,
            connections=self._budget.connections(account.group),
        )

    def expose(self, metrics: Metrics) -> None:
        """Keep the metrics of the limiter up to date."""
        metrics.call_before_exposure(lambda: self._expose(metrics))

    def _expose(self, metrics: Metrics) -> None:
        held = metrics.gauge("client_held_bytes", "memory taken for requests of clients")
        held.set(self._budget.used_bytes)
        bound = metrics.gauge("client_held_bytes_bound", "bound of passlane_client_held_bytes")
        bound.set(self._bounds.request_bytes)
        waiting = metrics.gauge("client_requests_waiting", "requests that wait for room")
        waiting.set(self._budget.waiting)
        connections = metrics.gauge("client_connections", "open connections", ("group",))
        bounds = metrics.gauge("client_connections_bound", "most open connections", ("group",))
        for group in ClientGroup:
            connections.labels(group.value).set(self._budget.connections(group))
            bounds.labels(group.value).set(self._bounds.groups[group].connections)
        refused = metrics.counter("clients_refused", "refused by reason", ("reason",))
        for reason, count in self.refused.items():
            refused.labels(reason).inc(count - self._exposed[reason])
            self._exposed[reason] = count


def _resume(connection: LimitedConnection) -> None:
    """Let a connection go on; an error on it must not keep the others waiting."""
    try:
        connection.resume_parsing()
    except Exception:
        _log.exception("parsing_failed", client=connection.peer)
