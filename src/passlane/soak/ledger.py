"""Compares what callers were told with what back ends ran, while the soak goes on.

No I/O and no clock: every method is told the time.
"""

from collections import Counter, deque
from collections.abc import Callable

import msgspec

from passlane.soak.outputs import is_endless_beginning, output_of
from passlane.soak.report import Finding, Run

PROMISES_OF_NOT_RUN = frozenset({402, 408, 421, 429, 503})
"""Statuses by which a caller may believe that its request has not run and never will."""
OK = 200
NOT_FOUND = 404
MOST_FINDINGS_KEPT = 100
ATTEMPTS_KEPT_S = 120.0
"""Far beyond the longest time that a node may hold a request; bounds the memory of a long soak."""


class Attempt(msgspec.Struct):
    """One request of a caller, with what its back end and its caller must see.

    Attributes
    ----------
    operation
        What the attempts of one caller's call have in common.
    most_runs
        How often the attempt may run.
    is_once
        Whether the whole operation may run only once.
    body
        What the back end must get.
    events
        Events that the caller must get; 0 for a plain body.
    has_kept_history
        Whether it goes on from a turn whose whole answer its caller has.
    signatures, begun_at
        Of its runs: what its back end signs with, and when it began.
    is_endless
        Whether the answer of one of its runs has no end.
    """

    request_id: str
    operation: str
    sent_at: float
    most_runs: int
    is_once: bool
    body: bytes
    events: int
    has_kept_history: bool = False
    signatures: list[str] = []
    begun_at: list[float] = []
    promise: int | None = None
    is_endless: bool = False


class Program(msgspec.Struct):
    """What a program may spend and has spent, in tokens."""

    budget_tokens: int
    spent_tokens: int = 0


class LimitRule(msgspec.Struct, frozen=True):
    """How many requests of a limited tenant may run within any window."""

    window_s: float
    allowed: float


class Ledger:
    """All attempts of the last minutes; reports each promise that is broken.

    Attributes
    ----------
    running, most_running
        Turns that run at engines now, and the most since ``most_running`` was last set.
    began_at
        When the soak began; findings and runs tell seconds since then.
    on_finding
        Called after each finding.
    """

    def __init__(self, limit: LimitRule, began_at: float) -> None:
        self._limit = limit
        self.began_at = began_at
        self._attempts: dict[str, Attempt] = {}
        self._programs: dict[str, Program] = {}
        self._programs_since: deque[tuple[float, str]] = deque()
        self._runs_of_operation: Counter[str] = Counter()
        self._limited_runs: deque[tuple[float, str]] = deque()
        self.findings: list[Finding] = []
        self.finding_count = 0
        self.checks: Counter[str] = Counter()
        self.running = 0
        self.most_running = 0
        self.on_finding: Callable[[], None] = lambda: None

    def check(self, name: str, holds: bool, request_id: str, detail: str, now: float) -> None:
        """Count a check, and note a finding if what it asks for does not hold."""
        self.checks[name] += 1
        if holds:
            return
        self.finding_count += 1
        if len(self.findings) < MOST_FINDINGS_KEPT:
            self.findings.append(Finding(name, request_id, detail, round(now - self.began_at, 3)))
        self.on_finding()

    # What callers do.

    def begin_program(self, program_id: str, budget_tokens: int, now: float) -> None:
        """Note a program before its first request."""
        self._programs[program_id] = Program(budget_tokens)
        self._programs_since.append((now, program_id))

    def note_sent(self, attempt: Attempt) -> None:
        """Note an attempt before it is sent."""
        self._attempts[attempt.request_id] = attempt
        self._forget(attempt.sent_at)

    def note_answer(
        self,
        request_id: str,
        status: int,
        signature: str,
        body: bytes,
        *,
        is_whole: bool,
        now: float,
    ) -> None:
        """Judge what a caller got, whole or in part."""
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return
        if status in PROMISES_OF_NOT_RUN:
            attempt.promise = status
            self._check_promise(attempt, now)
        if status == NOT_FOUND:
            detail = "404 for a turn whose previous one ended whole"
            self.check("history-kept", not attempt.has_kept_history, request_id, detail, now)
        if status != OK:
            return
        has_run = signature in attempt.signatures
        self.check("own-answer", has_run, request_id, f"signature {signature!r}", now)
        output = output_of(request_id, attempt.events)
        is_right = body == output if is_whole else output.startswith(body)
        if attempt.is_endless and not is_whole:
            is_right = is_right or is_endless_beginning(body)
        detail = f"{len(body)} of {len(output)} bytes, whole: {is_whole}"
        self.check("whole-answer", is_right, request_id, detail, now)

    # What back ends see.

    def note_run(
        self, request_id: str, body: bytes, signature: str, *, is_limited: bool, now: float
    ) -> None:
        """Judge a request that a back end begins to run."""
        if is_limited:
            self._check_limit(request_id, now)
        attempt = self._attempts.get(request_id)
        self.check("known-request", attempt is not None, request_id, "nobody sent it lately", now)
        if attempt is None:
            return
        attempt.signatures.append(signature)
        attempt.begun_at.append(now)
        runs = len(attempt.signatures)
        self.check("runs-of-attempt", runs <= attempt.most_runs, request_id, f"{runs} runs", now)
        self._check_promise(attempt, now)
        is_same = body == attempt.body
        detail = f"{len(body)} bytes in place of {len(attempt.body)}"
        self.check(
            "history" if attempt.has_kept_history else "body", is_same, request_id, detail, now
        )
        if attempt.is_once:
            self._runs_of_operation[attempt.operation] += 1
            runs = self._runs_of_operation[attempt.operation]
            self.check("at-most-once", runs <= 1, request_id, f"{runs} runs", now)

    def note_endless(self, request_id: str) -> None:
        """Note that a run's answer is bytes without an end, of which its caller may get some."""
        attempt = self._attempts.get(request_id)
        if attempt is not None:
            attempt.is_endless = True

    def runs_of(self, request_id: str) -> list[Run]:
        """Return the runs of an attempt so far, in order."""
        attempt = self._attempts.get(request_id)
        if attempt is None:
            return []
        pairs = zip(attempt.signatures, attempt.begun_at, strict=True)
        return [
            Run(signature.rpartition(".")[2], round(begun_at - self.began_at, 3))
            for signature, begun_at in pairs
        ]

    def note_tokens(self, program_id: str, request_id: str, tokens: int, now: float) -> None:
        """Judge tokens that an engine has generated for a program."""
        program = self._programs.get(program_id)
        if program is None:
            return
        program.spent_tokens += tokens
        is_within = program.spent_tokens <= program.budget_tokens
        detail = f"{program_id} spent {program.spent_tokens} of {program.budget_tokens}"
        self.check("budget", is_within, request_id, detail, now)

    def note_turn_begun(self) -> None:
        """Note that an engine runs one turn more."""
        self.running += 1
        self.most_running = max(self.most_running, self.running)

    def note_turn_ended(self) -> None:
        """Note that an engine runs one turn less."""
        self.running -= 1

    def _check_promise(self, attempt: Attempt, now: float) -> None:
        holds = attempt.promise is None or not attempt.signatures
        detail = f"status {attempt.promise}, ran as {attempt.signatures}"
        self.check("promise-of-not-run", holds, attempt.request_id, detail, now)

    def _check_limit(self, request_id: str, now: float) -> None:
        runs = self._limited_runs
        runs.append((now, request_id))
        while runs[0][0] <= now - self._limit.window_s:
            runs.popleft()
        holds = len(runs) <= self._limit.allowed
        requests = len({run_id for _, run_id in runs}) if not holds else len(runs)
        detail = (
            f"{len(runs)} runs of {requests} requests in {self._limit.window_s} s, "
            f"{self._limit.allowed:g} allowed"
        )
        self.check("tenant-limit", holds, request_id, detail, now)

    def _forget(self, now: float) -> None:
        """Forget what is older than any request can be."""
        before = now - ATTEMPTS_KEPT_S
        while self._attempts:
            oldest = next(iter(self._attempts.values()))
            if oldest.sent_at >= before:
                break
            del self._attempts[oldest.request_id]
            self._runs_of_operation.pop(oldest.operation, None)
        while self._programs_since and self._programs_since[0][0] < before:
            self._programs.pop(self._programs_since.popleft()[1], None)
