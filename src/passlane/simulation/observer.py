"""What can be seen from outside a fleet: callers' answers, engines' requests, ledgers, operators.

Nothing here looks into a daemon. The invariants in ``passlane.simulation.invariants`` judge by
these records alone.
"""

from dataclasses import dataclass, field

from passlane.emulator.engine_settings import EngineModelSettings
from passlane.errors import Verdict
from passlane.messages.backends import EngineChatRequest

ENGINE_DEFAULTS = EngineModelSettings()
EQUAL_ANSWERS = 3
"""So many equal errors in a row mean that the outcome is recorded."""


@dataclass
class SeenAttempt:
    """One HTTP request of a caller and what came back.

    Attributes
    ----------
    node
        Name of the node that was asked.
    status
        Status of the answer; ``None`` when the connection failed or broke off.
    is_whole
        Whether the answer came to its proper end.
    verdict, code
        As an error answer gives them.
    text
        Generated text as streamed, or a tool's result.
    """

    node: str
    sent_at: float
    ended_at: float | None = None
    status: int | None = None
    is_whole: bool = False
    verdict: Verdict | None = None
    code: str = ""
    text: str = ""
    retry_after_s: float | None = None
    connected: bool = True

    @property
    def succeeded(self) -> bool:
        """Whether the whole answer arrived."""
        return self.is_whole and self.status == 200


@dataclass
class SeenCall:
    """One call of a program as its caller made it, with every attempt at it.

    ``is_made_anew`` says that the caller made another call in place of this one.
    """

    program_id: str
    sequence: int
    target: str
    marker: str
    is_tool: bool
    attempts: list[SeenAttempt] = field(default_factory=list)
    is_made_anew: bool = False

    @property
    def answer(self) -> SeenAttempt | None:
        """The first whole answer, if there was one."""
        return next((attempt for attempt in self.attempts if attempt.succeeded), None)

    @property
    def has_recorded_failure(self) -> bool:
        """Whether a tool call's failure is recorded: asking again will not change it.

        The same error several times, without advice to come back, says so.
        """
        newest = self.attempts[-EQUAL_ANSWERS:]
        return (
            self.is_tool
            and len(newest) == EQUAL_ANSWERS
            and len({(attempt.code, attempt.verdict) for attempt in newest}) == 1
            and all(attempt.is_whole and attempt.retry_after_s is None for attempt in newest)
        )

    @property
    def is_refused_for_good(self) -> bool:
        """Whether it is recorded that a tool did not run, and will not under this key."""
        return self.has_recorded_failure and self.attempts[-1].verdict is Verdict.NOT_RUN

    @property
    def is_left_in_doubt(self) -> bool:
        """Whether it is recorded that a tool may have run, and nobody knows any better."""
        return self.has_recorded_failure and self.attempts[-1].verdict is Verdict.MAY_HAVE_RUN


@dataclass
class SeenProgram:
    """One program as its caller saw it.

    Attributes
    ----------
    ended_at
        When the end was acknowledged; ``None`` if it never was.
    final_turns
        Contents of the history, as read when all was over; ``None`` if unreadable.
    """

    program_id: str
    tenant: str
    max_calls: int
    max_money_micros: int
    max_tokens: int
    calls: list[SeenCall] = field(default_factory=list)
    ended_at: float | None = None
    final_turns: list[tuple[str, str]] | None = None
    final_spent: tuple[int, int, int] | None = None


@dataclass(frozen=True)
class SeenPrompt:
    """A chat request as it arrived at an engine.

    ``software_version`` is the engine's; empty if it tells none.
    """

    time: float
    engine: str
    request: EngineChatRequest
    software_version: str = ""


@dataclass(frozen=True)
class SeenToolRun:
    """One line of an application's ledger, with the time when it appeared."""

    time: float
    arguments: str


@dataclass(frozen=True)
class SeenDocument:
    """The version of a document that one process gave to an operator."""

    time: float
    process: str
    name: str
    version: int
    is_accepted: bool


@dataclass(frozen=True)
class SeenChange:
    """A change that an operator made.

    ``accepted_at`` is when the system said that it is in force everywhere.
    """

    name: str
    expected_version: int
    version: int | None
    key: str
    answered_at: float | None
    status: int | None
    revision: int | None = None
    accepted_at: float | None = None


@dataclass(frozen=True)
class Departure:
    """A back end that was marked as leaving, by the platform or by an operator."""

    time: float
    name: str


@dataclass(frozen=True)
class PlannedStop:
    """A node that was stopped as planned (SIGTERM)."""

    node: str
    began_at: float


@dataclass
class Observations:
    """All that was seen in one run.

    ``engine_settings`` is what the emulated engines follow, so that the right answer to a
    prompt can be computed.
    """

    engine_settings: EngineModelSettings = ENGINE_DEFAULTS
    programs: dict[str, SeenProgram] = field(default_factory=dict)
    prompts: list[SeenPrompt] = field(default_factory=list)
    tool_runs: list[SeenToolRun] = field(default_factory=list)
    documents: list[SeenDocument] = field(default_factory=list)
    changes: list[SeenChange] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    planned_stops: list[PlannedStop] = field(default_factory=list)
    held_at_end: dict[str, dict[str, int]] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)
