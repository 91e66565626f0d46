"""A model of an application with a ledger that tells how often each operation really ran.

Plain state machine: ``receive`` plans what happens to a request and when, ``run`` and
``answer`` are called at those times. Faults and delays are drawn from a seeded generator.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from passlane.messages.backends import LedgerLine, OperationState, ToolReply, ToolRequest
from passlane.messages.traces import ToolBehaviour


class ApplicationSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Speed and faults of an emulated application.

    Attributes
    ----------
    tools
        Names of the tools; others are answered with status 404.
    deduplicates
        Whether a repeated operation gets the first result and doesn't run again. Off by
        default, so that a request sent twice shows in the ledger.
    run_min_s, run_max_s
        Time from a request's arrival until the operation runs, and again until its answer.
    slow_probability, slow_s
        Share of the requests that take ``slow_s`` longer to run.
    hang_probability
        Share that hangs for ever before anything ran.
    hang_after_probability
        Share that runs and then hangs for ever.
    refuse_probability
        Share refused with status 503 and state ``rejected``: proof that nothing ran.
    fail_before_probability
        Share whose connection breaks before anything ran.
    fail_after_probability
        Share that runs, with its answer lost.
    answer_twice_probability
        Share whose answer is sent twice.
    """

    tools: tuple[str, ...] = ("charge",)
    deduplicates: bool = False
    run_min_s: float = 0.005
    run_max_s: float = 0.02
    slow_probability: float = 0.0
    slow_s: float = 2.0
    hang_probability: float = 0.0
    hang_after_probability: float = 0.0
    refuse_probability: float = 0.0
    fail_before_probability: float = 0.0
    fail_after_probability: float = 0.0
    answer_twice_probability: float = 0.0


Behaviour = ToolBehaviour
"""What the application does with one request; traces use the same names."""


@dataclass(frozen=True, slots=True)
class Handling:
    """The plan for one request.

    ``runs_at`` is ``None`` when it never runs, ``answers_at`` when no answer is ever sent.
    """

    tool: str
    request: ToolRequest
    behaviour: Behaviour
    runs_at: float | None
    answers_at: float | None


@dataclass(frozen=True, slots=True)
class ApplicationAnswer:
    """An answer as sent.

    ``breaks_off`` closes the connection without the answer; ``copies`` is 2 when the
    answer is sent twice.
    """

    status: int
    reply: ToolReply
    copies: int = 1
    breaks_off: bool = False


@dataclass(slots=True)
class _Operation:
    """What the application knows about an operation id."""

    state: OperationState
    result: str = ""


@dataclass(frozen=True, slots=True)
class _ForcedBehaviour:
    """What the next request shall meet; ``None`` stands for any tool or program."""

    behaviour: Behaviour
    tool: str | None
    program_id: str | None


class ApplicationModel:
    """One emulated application.

    Parameters
    ----------
    settings
        Tools, speed and faults.
    generator
        Source of all drawn delays and faults.
    """

    def __init__(self, settings: ApplicationSettings, generator: random.Random) -> None:
        self._settings = settings
        self._random = generator
        self._operations: dict[str, _Operation] = {}
        self._ledger: list[LedgerLine] = []
        self._forced: list[_ForcedBehaviour] = []

    def offers(self, tool: str) -> bool:
        """Return whether the application has a tool of this name."""
        return tool in self._settings.tools

    def force(
        self, behaviour: Behaviour, tool: str | None = None, program_id: str | None = None
    ) -> None:
        """Let the next request (for a tool, of a program, if given) behave this way."""
        self._forced.append(_ForcedBehaviour(behaviour, tool, program_id))

    def receive(self, tool: str, request: ToolRequest, now: float) -> Handling | ApplicationAnswer:
        """Plan the handling of a request, or give its answer when it is known at once."""
        known = self._operations.get(request.operation_id)
        if tool not in self._settings.tools:
            return self._rejection(404, request, "unknown tool")
        if known is not None and known.state is OperationState.REJECTED:
            return self._rejection(409, request, known.result)
        if known is not None and self._settings.deduplicates:
            return ApplicationAnswer(200, self.status(request.operation_id))
        behaviour = self._take_forced(tool, request) or self._draw_behaviour()
        if behaviour is Behaviour.REFUSE:
            return self._rejection(503, request, "try again later")
        return self._plan(tool, request, behaviour, now)

    def run(self, handling: Handling) -> None:
        """Run an operation at its time: one more line in the ledger."""
        request = handling.request
        operation = self._operations[request.operation_id]
        line = LedgerLine(request.operation_id, handling.tool, request.arguments)
        self._ledger.append(line)
        operation.state = OperationState.DONE
        operation.result = f'{{"receipt": "{handling.tool}-{len(self._ledger)}"}}'

    def answer(self, handling: Handling) -> ApplicationAnswer:
        """Return what is sent at the planned time."""
        operation_id = handling.request.operation_id
        if handling.behaviour in (Behaviour.FAIL_BEFORE, Behaviour.FAIL_AFTER):
            nothing = ToolReply(operation_id, OperationState.RUNNING)
            return ApplicationAnswer(200, nothing, breaks_off=True)
        reply = self.status(operation_id)
        copies = 2 if handling.behaviour is Behaviour.ANSWER_TWICE else 1
        return ApplicationAnswer(200, reply, copies=copies)

    def status(self, operation_id: str) -> ToolReply:
        """Answer a status query.

        ``UNKNOWN`` is a promise that the operation never ran and never will: a request
        that arrives later is rejected.
        """
        operation = self._operations.get(operation_id)
        if operation is None:
            refused = _Operation(OperationState.REJECTED, "declared unknown before it arrived")
            self._operations[operation_id] = refused
            return ToolReply(operation_id, OperationState.UNKNOWN)
        if operation.state is OperationState.REJECTED:
            return ToolReply(operation_id, OperationState.UNKNOWN)
        return ToolReply(operation_id, operation.state, operation.result)

    def ledger(self) -> tuple[LedgerLine, ...]:
        """Return one line for each time an operation ran, in order."""
        return tuple(self._ledger)

    def runs_by_operation(self) -> Mapping[str, int]:
        """Return how often each operation ran."""
        counts: dict[str, int] = {}
        for line in self._ledger:
            counts[line.operation_id] = counts.get(line.operation_id, 0) + 1
        return counts

    def _plan(self, tool: str, request: ToolRequest, behaviour: Behaviour, now: float) -> Handling:
        """Return when a request runs and is answered, and note that it is under way."""
        runs_at: float | None = now + self._draw_delay()
        if behaviour is Behaviour.SLOW and runs_at is not None:
            runs_at += self._settings.slow_s
        answers_at: float | None = (runs_at or now) + self._draw_delay()
        if behaviour in (Behaviour.HANG, Behaviour.HANG_AFTER):
            answers_at = None
        if behaviour in (Behaviour.HANG, Behaviour.FAIL_BEFORE):
            runs_at = None
        if runs_at is not None and request.operation_id not in self._operations:
            self._operations[request.operation_id] = _Operation(OperationState.RUNNING)
        return Handling(tool, request, behaviour, runs_at, answers_at)

    def _rejection(self, status: int, request: ToolRequest, why: str) -> ApplicationAnswer:
        """Return a refusal that proves that this request did not run."""
        reply = ToolReply(request.operation_id, OperationState.REJECTED, why)
        return ApplicationAnswer(status, reply)

    def _draw_delay(self) -> float:
        """Draw the time of one half of an operation, in seconds."""
        return self._random.uniform(self._settings.run_min_s, self._settings.run_max_s)

    def _take_forced(self, tool: str, request: ToolRequest) -> Behaviour | None:
        """Return the behaviour that was forced first for such a request."""
        program_id = request.operation_id.partition("/")[0]
        for place, forced in enumerate(self._forced):
            if forced.tool in (None, tool) and forced.program_id in (None, program_id):
                return self._forced.pop(place).behaviour
        return None

    def _draw_behaviour(self) -> Behaviour:
        """Draw what happens to a request."""
        settings = self._settings
        shares = (
            (Behaviour.SLOW, settings.slow_probability),
            (Behaviour.HANG, settings.hang_probability),
            (Behaviour.HANG_AFTER, settings.hang_after_probability),
            (Behaviour.REFUSE, settings.refuse_probability),
            (Behaviour.FAIL_BEFORE, settings.fail_before_probability),
            (Behaviour.FAIL_AFTER, settings.fail_after_probability),
            (Behaviour.ANSWER_TWICE, settings.answer_twice_probability),
        )
        drawn = self._random.random()
        for behaviour, share in shares:
            if drawn < share:
                return behaviour
            drawn -= share
        return Behaviour.NORMAL
