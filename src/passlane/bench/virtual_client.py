"""Callers on the event heap: each runs its program's plan, call after call."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from passlane.bench.cache_waste import CacheWaste
from passlane.bench.event_heap import EventHeap
from passlane.bench.virtual_node import CallResult, VirtualNode
from passlane.bench.workloads import Ending, PauseKind, ProgramPlan
from passlane.decisions.inputs import call_events as events
from passlane.identifiers import CallId, ProgramId, TenantId

MODEL = "agent"
CALL_TIMEOUT_S = 60.0
MAX_TRIES = 50


@dataclass(frozen=True, slots=True)
class ProgramResult:
    """How a program went.

    ``latency_s`` runs from its first call to its last answer, without the time in which
    a person was thinking or away; tools and sub-agents count.
    """

    plan: ProgramPlan
    latency_s: float
    completed: bool
    refusals: int


class VirtualClient:
    """Runs one program against its node.

    Parameters
    ----------
    delay_s
        One-way delay between caller and node.
    on_done
        Told when the program's last call was answered or given up.
    """

    def __init__(
        self,
        heap: EventHeap,
        plan: ProgramPlan,
        node_for: Callable[[str], VirtualNode],
        waste: CacheWaste,
        delay_s: float,
        generator: random.Random,
        on_done: Callable[[ProgramResult], None],
    ) -> None:
        self._heap = heap
        self._plan = plan
        self._node_for = node_for
        self._node = node_for(plan.name)
        self._waste = waste
        self._delay_s = delay_s
        self._random = generator
        self._on_done = on_done
        self._position = 0
        self._history_tokens = 0
        self._tries = 0
        self._refusals = 0
        self._started_at = heap.now
        self._person_s = 0.0

    def start(self) -> None:
        """Make the first call."""
        self._started_at = self._heap.now
        self._make_call()

    def _make_call(self) -> None:
        self._history_tokens += self._plan.calls[self._position].new_tokens
        self._tries = 0
        self._try_call()

    def _try_call(self) -> None:
        self._tries += 1
        self._heap.after(self._delay_s, self._reach_node)

    def _reach_node(self) -> None:
        call = self._plan.calls[self._position]
        arrived = events.CallArrived(
            call_id=CallId(f"{self._plan.name}#{self._position}.{self._tries}"),
            program_id=ProgramId(self._plan.name),
            tenant_id=TenantId(self._plan.tenant),
            model=MODEL,
            prompt_tokens=self._history_tokens,
            max_tokens=call.max_tokens,
            deadline=self._heap.now + CALL_TIMEOUT_S,
            service_class=self._plan.service_class,
            is_sub_agent=self._plan.is_sub_agent,
        )
        self._node.call(arrived, call.answer_tokens, self._node_answered)

    def _node_answered(self, result: CallResult) -> None:
        call = self._plan.calls[self._position]
        if result.succeeded:
            self._waste.record_call(ProgramId(self._plan.name), result)
            # As a real node, this one can't know whether another call will follow.
            self._node.tell(events.ProgramPaused(ProgramId(self._plan.name), call.expected_pause_s))
        self._heap.after(self._delay_s, lambda: self._hear(result))

    def _hear(self, result: CallResult) -> None:
        if result.succeeded:
            self._history_tokens += result.generated_tokens
            self._follow_answer()
            return
        self._refusals += 1
        if result.retry_after_s is None or self._tries >= MAX_TRIES:
            self._finish(completed=False)
            return
        wait_s = result.retry_after_s * self._random.uniform(1.0, 1.5)
        self._heap.after(wait_s, self._try_call)

    def _follow_answer(self) -> None:
        call = self._plan.calls[self._position]
        remaining = len(call.sub_agents)
        if remaining == 0:
            self._pause()
            return

        def child_done(_: ProgramResult) -> None:
            nonlocal remaining
            remaining -= 1
            if remaining == 0:
                self._pause()

        for child in call.sub_agents:
            VirtualClient(
                self._heap,
                child,
                self._node_for,
                self._waste,
                self._delay_s,
                self._random,
                child_done,
            ).start()

    def _pause(self) -> None:
        call = self._plan.calls[self._position]
        self._position += 1
        if self._position >= len(self._plan.calls):
            self._finish(completed=True)
            return
        if call.pause_kind is PauseKind.PERSON:
            self._person_s += call.pause_s
        self._heap.after(call.pause_s, self._make_call)

    def _finish(self, *, completed: bool) -> None:
        program_id = ProgramId(self._plan.name)
        self._waste.record_last_call(program_id)
        if self._plan.ending is Ending.ENDED:
            self._heap.after(
                self._delay_s, lambda: self._node.tell(events.ProgramEnded(program_id))
            )
        latency_s = self._heap.now - self._started_at - self._person_s
        self._on_done(ProgramResult(self._plan, latency_s, completed, self._refusals))
