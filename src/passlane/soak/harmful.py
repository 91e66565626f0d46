"""Requests under which back ends end, and what is checked of them.

A harmful request ends each back end that runs it; another one starts later at the same address. Its
caller sends it again and again, as turns, resumable streams and calls are sent anew.
"""

import itertools
import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping, Sequence
from enum import StrEnum

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.decisions.failure.engine_ends import MAX_ENDED_ENGINES
from passlane.messages.fleet import FleetRole
from passlane.platform import names
from passlane.soak.back_ends import HARMFUL, UNAVAILABLE, HarmedAnswer, StandIn
from passlane.soak.callers import Call, Callers
from passlane.soak.configuration import LOOKUP, STREAM, URGENT, USUAL_TENANT
from passlane.soak.faults import NANOSECONDS_IN_MS
from passlane.soak.ledger import Ledger
from passlane.soak.machines import Machine, Machines
from passlane.soak.programs import tool_call
from passlane.soak.proxy import FaultyProxy, ProxyMode
from passlane.soak.streams import stream_call

REQUESTS_PER_S = 0.5
ATTEMPTS = 10
"""Attempts at one harmful request, more than twice what may end."""
SHORTEST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.6
DOWN_S = 0.4
"""Time until another back end starts in place of one that has ended."""
UNSETTLED_S = 2.0
"""Time after a fault of a process during which an end may not be known to all nodes."""


END_DELAY_S = 0.3
"""Time after which a back end ends that has answered before."""
SILENCE_S = 1.5
"""Time for which a back end's host is silent before another one starts."""


class HarmfulWay(StrEnum):
    """How a back end ends under a harmful request."""

    AT_ONCE = "at_once"
    LATER = "later"
    AFTER_ERROR = "after_error"
    IN_SILENCE = "in_silence"


_ANSWERS = {
    HarmfulWay.AT_ONCE: HarmedAnswer.USUAL,
    HarmfulWay.LATER: HarmedAnswer.BREAKS_OFF,
    HarmfulWay.AFTER_ERROR: HarmedAnswer.ERROR,
    HarmfulWay.IN_SILENCE: HarmedAnswer.USUAL,
}


class HarmfulAttempt(msgspec.Struct, frozen=True):
    """One attempt at a harmful request.

    Attributes
    ----------
    ended_before
        Back ends that had got the request before.
    status
        Status of its answer; ``None`` without one.
    """

    ended_before: int
    status: int | None


class EndingBackEnds:
    """Ends back ends that run harmful requests, and counts these ends by request.

    Parameters
    ----------
    proxies
        The proxy before each back end, by the id that the back end has at first.
    is_disturbed
        Returns whether a process is disturbed, or was a moment ago.
    ways
        How back ends end, in turn.

    Attributes
    ----------
    ends_at_once
        Whether they all end at once.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        proxies: Mapping[str, FaultyProxy],
        ledger: Ledger,
        is_disturbed: Callable[[], bool],
        ways: Sequence[HarmfulWay] = (HarmfulWay.AT_ONCE,),
    ) -> None:
        self.ends_at_once = tuple(ways) == (HarmfulWay.AT_ONCE,)
        self._ways = itertools.cycle(ways)
        self._tasks = tasks
        self._proxies = proxies
        self._ledger = ledger
        self._is_disturbed = is_disturbed
        self._ends = 0
        self._runs: Counter[str] = Counter()
        self._ended: dict[str, set[str]] = defaultdict(set)
        self._ending: set[str] = set()
        self._unsettled: Counter[str] = Counter()
        self._settled: set[str] = set()

    def ended_under(self, request: str) -> int:
        """Return how many back ends got a request; each run counts where all end at once."""
        return self._runs[request] if self.ends_at_once else len(self._ended[request])

    def end_under(self, back_end: StandIn, request_id: str) -> HarmedAnswer:
        """End a back end that begins to run a harmful request, and judge that it got it.

        Returns how it answers before.
        """
        request, _, _ = request_id.rpartition(".")
        is_disturbed = self._is_disturbed()
        if is_disturbed and request in self._settled:
            # The report of the end before may have met the fault that began after it.
            self._unsettled[request] += 1
        start = f"{back_end.instance_id}@{back_end.born_ms}"
        self._runs[request] += 1
        self._ended[request].add(start)
        allowed = MAX_ENDED_ENGINES + self._unsettled[request]
        ended = self.ended_under(request)
        detail = f"back end {ended} under {request}, {allowed} allowed"
        is_allowed = ended <= allowed
        self._ledger.check("ended-engines", is_allowed, request_id, detail, anyio.current_time())
        self._settled.discard(request)
        if is_disturbed:
            self._unsettled[request] += 1
        else:
            self._settled.add(request)
        if start in self._ending:
            return HarmedAnswer.USUAL
        self._ending.add(start)
        way = next(self._ways)
        self._tasks.start_soon(self._end, back_end, way, start)
        return _ANSWERS[way]

    async def _end(self, back_end: StandIn, way: HarmfulWay, start: str) -> None:
        if way in (HarmfulWay.LATER, HarmfulWay.AFTER_ERROR):
            await anyio.sleep(END_DELAY_S)
        if way is HarmfulWay.IN_SILENCE:
            proxy = self._proxies[back_end.instance_id.partition(".")[0]]
            proxy.set_mode(ProxyMode.SILENT)
            await anyio.sleep(SILENCE_S)
            proxy.set_mode(ProxyMode.PASS)
        await self._replace(back_end)
        self._ending.discard(start)

    def note_unanswered(self, request: str) -> None:
        """Note an attempt without an answer: its node may not have seen what it ended."""
        self._unsettled[request] += 1

    async def _replace(self, back_end: StandIn) -> None:
        self._ends += 1
        first_id = back_end.instance_id.partition(".")[0]
        started_ms = time.time_ns() // NANOSECONDS_IN_MS
        back_end.release(f"{first_id}.e{self._ends}", back_end.software_version, started_ms)
        proxy = self._proxies[first_id]
        proxy.stop_listening()
        await anyio.sleep(DOWN_S)
        proxy.listen_again()


class HarmfulCallers:
    """Sends harmful requests of each kind in turn."""

    def __init__(self, callers: Callers, ledger: Ledger, ending: EndingBackEnds, seed: int) -> None:
        self._callers = callers
        self._ledger = ledger
        self._ending = ending
        self._seed = seed
        self._random = random.Random(f"{seed} harmful")

    async def run(self, tasks: TaskGroup, load_s: float) -> None:
        """Begin harmful requests for some seconds."""
        ends_at = anyio.current_time() + load_s
        number = 0
        while anyio.current_time() < ends_at:
            number += 1
            tasks.start_soon(self.send, self._call(number))
            await anyio.sleep(self._random.expovariate(REQUESTS_PER_S))

    async def send(self, call: Call) -> list[HarmfulAttempt]:
        """Send a harmful request again and again; return the attempts."""
        attempts: list[HarmfulAttempt] = []
        for number in range(ATTEMPTS):
            ended_before = self._ending.ended_under(call.name)
            answer = await self._callers.exchange(call, f"{call.name}.{number}")
            if answer is None:
                self._ending.note_unanswered(call.name)
            status = answer.status if answer is not None else None
            attempts.append(HarmfulAttempt(ended_before, status))
            await anyio.sleep(self._random.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S))
        return attempts

    async def check_calm(self) -> None:
        """Without faults, check that harmful requests are refused after the last allowed end."""
        for number in range(3):
            call = self._call(1_000 + number)
            attempts = await self.send(call)
            is_refused = self._are_refused(attempts)
            detail = ", ".join(f"{a.status} behind {a.ended_before}" for a in attempts)
            now = anyio.current_time()
            self._ledger.check("refused-at-last", is_refused, call.name, detail, now)

    def _are_refused(self, attempts: list[HarmfulAttempt]) -> bool:
        """Whether each attempt was refused that came after the last allowed end, and the last one.

        Where all back ends end at once, each attempt before these ends one. Elsewhere the request
        may be refused sooner: two attempts at a silent back end may count as two.
        """
        late = [a for a in attempts if a.ended_before >= MAX_ENDED_ENGINES]
        if self._ending.ends_at_once:
            late = attempts[MAX_ENDED_ENGINES:]
        return all(attempt.status == UNAVAILABLE for attempt in (*late, attempts[-1]))

    def _call(self, number: int) -> Call:
        """Return a harmful request: a turn, a resumable stream or a repeatable call."""
        name = f"{HARMFUL.decode()}-{self._seed}-{number}"
        kind = (URGENT, STREAM, LOOKUP)[number % 3]
        if kind == LOOKUP:
            return msgspec.structs.replace(tool_call(name, "0", LOOKUP), name=name)
        call = stream_call(name, {})
        if kind == STREAM:
            return call
        headers = call.headers | {names.PROGRAM_DEADLINE_MS: "5000"}
        return msgspec.structs.replace(
            call, route=URGENT, tenant=USUAL_TENANT, headers=headers, most_runs=1
        )


class Disturbances:
    """Tells whether nodes or stores were disturbed a moment ago."""

    def __init__(self, machines: Machines, struck: Callable[[], set[str]]) -> None:
        self._machines = machines
        self._struck = struck
        self._last_at = -UNSETTLED_S

    async def run(self) -> None:
        """Look at the disturbed processes until cancelled."""
        while True:
            if any(self._is_relevant(machine) for machine in self._machines.all):
                self._last_at = anyio.current_time()
            await anyio.sleep(0.02)

    def are_recent(self) -> bool:
        """Whether a node or a store is disturbed, or was within ``UNSETTLED_S``."""
        return anyio.current_time() - self._last_at < UNSETTLED_S

    def _is_relevant(self, machine: Machine) -> bool:
        return machine.role is not FleetRole.CONTROL and machine.name in self._struck()
