"""Commands, queries and results of the store group for turns of programs.

They cover the reservation and settlement of turns, stored histories, token budgets, the
replicated usage of tenants, the engines that began resumable streams with their versions and
events, and those that ended under requests.
"""

import msgspec

from passlane.messages.base import Message
from passlane.messages.engine_ends import AttemptFate, EngineEnd, RefusedRequest
from passlane.messages.placement import TurnDemand, TurnOutcome, TurnRefused
from passlane.messages.quotas import QuotaRefused, QuotaRequest, TenantUsage
from passlane.messages.streams import ServedVersion, StreamOrigin
from passlane.messages.turn_outputs import ForwardedEvents, OutputRequest


class RetainedTurn(msgspec.Struct, frozen=True, kw_only=True):
    """A stored turn, whose answer was complete; ``previous`` is the turn that it continues.

    ``content`` is the turn's part of a prompt: its input, followed by its output.
    """

    turn_id: str
    previous: str | None
    content: bytes
    retention_s: float


class ReserveTurn(Message, frozen=True, kw_only=True):
    """Reserves the maximum tokens that a turn may generate, before it is sent to an engine.

    Repeating the command for the same attempt reserves nothing more. A further run of the same
    turn has its own ``attempt_id`` (``decisions.limits.turn_runs``).

    Attributes
    ----------
    most_tokens
        Maximum tokens that the turn may generate.
    budget_tokens
        Maximum tokens that all turns of the program may generate; ``None`` for no limit.
    quota
        Counts the turn against its tenant's limit; ``None`` without a limit. Not replicated.
    demand
        Requests a slot at an engine; ``None`` if the node chooses the engine itself. Not
        replicated.
    input_bytes
        Size of the turn's input if the turn is to be stored, else ``None``; older builds don't
        send it. Not replicated.
    request_key
        Identifies the turn's request over all its attempts; see
        ``decisions.failure.request_identity``. Empty for a further run of an attempt, for a turn
        that belongs to no line of turns, and from older builds.
    output
        How the turn's output begins, if the turn is to be stored and its stream is resumed or may
        be; ``None`` otherwise, for a further run, and from older builds.
    """

    program_id: str
    attempt_id: str
    most_tokens: int
    budget_tokens: int | None
    previous: str | None = None
    retention_s: float = 0.0
    quota: QuotaRequest | None = None
    demand: TurnDemand | None = None
    input_bytes: int | None = None
    request_key: str = ""
    output: OutputRequest | None = None


class TurnReserved(Message, frozen=True):
    """The turn may run.

    Attributes
    ----------
    history
        The part of the prompt before the turn's new input.
    used_last
        Engine instance that the program used last; empty if unknown.
    start_after_s
        Time until the tenant's limit allows the turn to be sent.
    engine
        Engine instance where the turn has a slot; empty if the node must choose one.
    place_wait_s
        Time that the turn waited for the slot.
    limit_wait_s
        Time that it waited before that for its tenant's limit.
    output_before
        Output that the caller of a resumed stream has; ``None`` if it is not known, for other
        turns, and from older builds.
    """

    history: bytes = b""
    used_last: str = ""
    start_after_s: float = 0.0
    engine: str = ""
    place_wait_s: float = 0.0
    limit_wait_s: float = 0.0
    output_before: bytes | None = None

    @property
    def fetched_bytes(self) -> int:
        """Bytes of earlier turns and of earlier output."""
        return len(self.history) + len(self.output_before or b"")


class BudgetSpent(Message, frozen=True):
    """The turn would exceed the program's budget; it has not run and will not run."""

    spent_tokens: int
    reserved_tokens: int


class TurnUnknown(Message, frozen=True):
    """No turn with this id is stored."""

    turn_id: str


class SettleTurn(Message, frozen=True, kw_only=True):
    """Settles a reservation with the tokens that count against the budget.

    Attributes
    ----------
    turn
        Turn to store, if its answer was complete; else ``None``.
    served_by
        Engine instance that has the turn's prompt in its cache; empty if none.
    quota
        Requests quota for the tool calls that are expected to follow. Not replicated.
    outcome
        Result of the turn's attempts at engines. Not replicated.
    request_key
        As in the reservation.
    unknown_engines
        Starts of engines that may have run the turn and whose fate is unknown.
    """

    program_id: str
    attempt_id: str
    tokens: int
    turn: RetainedTurn | None = None
    served_by: str = ""
    quota: QuotaRequest | None = None
    outcome: TurnOutcome | None = None
    request_key: str = ""
    unknown_engines: tuple[str, ...] = ()


class TurnSettled(Message, frozen=True):
    """Answers ``SettleTurn`` once it is durable.

    ``ahead`` further requests of the tenant were granted; see ``QuotaGranted``.
    """

    ahead: int = 0


class AdvanceAge(Message, frozen=True):
    """Advances the state's age; removes expired data.

    ``begun_streams``, ``forwarded_events`` and ``served_versions`` are stored, ``engine_ends`` and
    ``attempt_fates`` are counted. They are fields of this command because replicas of older builds
    can't decode a command that they don't know.

    Attributes
    ----------
    seconds
        By how much replicas of older builds advance the age. Commands of such builds have this
        alone.
    target_age_s
        Age to reach; a state that is older stays as it is. ``None`` if the command only stores or
        counts, or comes from an older build.
    """

    seconds: float
    begun_streams: tuple[StreamOrigin, ...] = ()
    engine_ends: tuple[EngineEnd, ...] = ()
    target_age_s: float | None = None
    attempt_fates: tuple[AttemptFate, ...] = ()
    forwarded_events: tuple[ForwardedEvents, ...] = ()
    served_versions: tuple[ServedVersion, ...] = ()


class AgeAdvanced(Message, frozen=True):
    """Answers ``AdvanceAge`` with the state's new age."""

    age_s: float


class FindTurnStore(Message, frozen=True):
    """Asks whether the receiver leads the store group; other replicas answer as for a command.

    Nodes also report streams that began, events that they forwarded and engines that ended, look a
    stream up, and ask for the refused requests with it, because processes of older builds close the
    connection on a message that they don't know.

    Attributes
    ----------
    begun_streams
        Streams that began at engines of the sender's requests.
    stream_id
        The stream whose origin is requested; empty for none.
    engine_ends, attempt_fates
        What became of engines under requests of the sender. Answered once it is replicated.
    refused_revision
        Revision of the refused requests that the sender knows, empty for none: asks for them, and
        is answered once they have changed, or after a while. ``None`` if they are not requested.
    forwarded_events
        Events that the sender has forwarded to callers. Answered once they are replicated.
    served_versions
        Versions at which the sender may begin streams of routes. Answered once they are replicated.
    address
        Host and path of a stream whose versions are requested; empty for none.
    """

    begun_streams: tuple[StreamOrigin, ...] = ()
    stream_id: str = ""
    engine_ends: tuple[EngineEnd, ...] = ()
    refused_revision: str | None = None
    attempt_fates: tuple[AttemptFate, ...] = ()
    forwarded_events: tuple[ForwardedEvents, ...] = ()
    served_versions: tuple[ServedVersion, ...] = ()
    address: str = ""


class TurnStoreFound(Message, frozen=True):
    """The leader's answer to ``FindTurnStore``, with its term.

    Attributes
    ----------
    origin
        That of the requested stream; ``None`` if it is unknown.
    refused
        All requests that are refused, if they were requested.
    refused_revision
        Revision of ``refused``; empty if they were not requested, or from an older build.
    served_versions
        Versions at which streams of the requested address may have begun; ``None`` if they were not
        requested, or from an older build.
    """

    term: int = 0
    origin: StreamOrigin | None = None
    refused: tuple[RefusedRequest, ...] = ()
    refused_revision: str = ""
    served_versions: tuple[ServedVersion, ...] | None = None


class NoteUsage(Message, frozen=True, kw_only=True):
    """Reports to all replicas what the leader granted to tenants since its previous report.

    ``group_s`` is the time on the group's clock; see ``decisions.limits.usage_history``.
    """

    usages: tuple[TenantUsage, ...]
    group_s: float


class UsageNoted(Message, frozen=True):
    """Answers ``NoteUsage``."""


TurnCommand = ReserveTurn | SettleTurn | AdvanceAge | NoteUsage
TurnResult = TurnReserved | BudgetSpent | TurnUnknown | TurnSettled | AgeAdvanced | UsageNoted
ReserveAnswer = TurnReserved | BudgetSpent | TurnUnknown | QuotaRefused | TurnRefused
