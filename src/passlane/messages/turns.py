"""Turns of programs as the store group keeps them: budgets, reservations, histories."""

import msgspec

from passlane.messages.base import Message
from passlane.messages.placement import TurnDemand, TurnOutcome, TurnRefused
from passlane.messages.quotas import QuotaDraw, QuotaRefused, TenantUsage


class KeptTurn(msgspec.Struct, frozen=True, kw_only=True):
    """One turn that ended whole; ``previous`` is the turn that it goes on from.

    ``content`` is what the turn adds to a prompt: its input, then its output.
    """

    turn_id: str
    previous: str | None
    content: bytes
    retention_s: float


class ReserveTurn(Message, frozen=True, kw_only=True):
    """Reserves the most that a turn may generate, before it is sent to an engine.

    ``budget_tokens`` is what all turns of the program may generate; ``None`` for no limit.
    Repeating it for the same attempt reserves nothing more; a further run of the same turn has an
    ``attempt_id`` of its own (``decisions.limits.turn_runs``). ``quota`` counts the turn against
    its tenant's limit, ``None`` if there is none. ``demand`` asks for a place at an engine,
    ``None`` if the node chooses one itself. Neither is replicated.
    """

    program_id: str
    attempt_id: str
    most_tokens: int
    budget_tokens: int | None
    previous: str | None = None
    retention_s: float = 0.0
    quota: QuotaDraw | None = None
    demand: TurnDemand | None = None


class TurnReserved(Message, frozen=True):
    """The turn may run; ``history`` goes before its new input.

    ``used_last`` is the engine instance that the program used last; empty if unknown.
    ``start_after_s`` is how long its tenant's limit lets it wait before it is sent. ``engine``
    is the instance where it has a place, empty if the node is to choose one; it waited
    ``place_wait_s`` for that, after ``limit_wait_s`` for its tenant's limit.
    """

    history: bytes = b""
    used_last: str = ""
    start_after_s: float = 0.0
    engine: str = ""
    place_wait_s: float = 0.0
    limit_wait_s: float = 0.0


class BudgetSpent(Message, frozen=True):
    """The program's budget cannot hold the turn; it has not run and never will."""

    spent_tokens: int
    reserved_tokens: int


class TurnUnknown(Message, frozen=True):
    """No turn of that id is kept."""

    turn_id: str


class SettleTurn(Message, frozen=True, kw_only=True):
    """Ends a reservation with the tokens that count for it; keeps a turn that ended whole.

    ``served_by`` is the engine instance that holds what the turn has read; empty if none.
    ``quota`` asks for the tool calls that are expected to follow, ``outcome`` tells how the
    turn went; neither is replicated.
    """

    program_id: str
    attempt_id: str
    tokens: int
    turn: KeptTurn | None = None
    served_by: str = ""
    quota: QuotaDraw | None = None
    outcome: TurnOutcome | None = None


class TurnSettled(Message, frozen=True):
    """Answers ``SettleTurn`` once it is durable.

    ``ahead`` more requests of the tenant were granted, see ``QuotaGranted``.
    """

    ahead: int = 0


class AdvanceAge(Message, frozen=True):
    """Tells that some seconds have passed at the leader; what is too old is forgotten."""

    seconds: float


class AgeAdvanced(Message, frozen=True):
    """Answers ``AdvanceAge``."""

    age_s: float


class FindTurnStore(Message, frozen=True):
    """Asks whether the receiver leads the store group; others answer as for a command."""


class TurnStoreFound(Message, frozen=True):
    """Answers ``FindTurnStore`` by the leader, with the term that it leads in."""

    term: int = 0


class NoteUsage(Message, frozen=True, kw_only=True):
    """Tells all replicas what the leader has granted to tenants since it told last.

    ``group_s`` is the moment on the group's clock, see ``quotas.usage_history``.
    """

    usages: tuple[TenantUsage, ...]
    group_s: float


class UsageNoted(Message, frozen=True):
    """Answers ``NoteUsage``."""


TurnCommand = ReserveTurn | SettleTurn | AdvanceAge | NoteUsage
TurnResult = TurnReserved | BudgetSpent | TurnUnknown | TurnSettled | AgeAdvanced | UsageNoted
ReserveAnswer = TurnReserved | BudgetSpent | TurnUnknown | QuotaRefused | TurnRefused
