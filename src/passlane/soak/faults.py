"""Faults from outside, drawn by a seed: signals to the soak's own processes, answers cut off."""

import random
import signal
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from enum import StrEnum

import anyio

from passlane.messages.fleet import FleetRole
from passlane.soak.back_ends import StandIn
from passlane.soak.configuration import ENGINES, TOOLS
from passlane.soak.ledger import Ledger
from passlane.soak.machines import Machine, Machines
from passlane.soak.proxy import FaultyProxy, ProxyMode
from passlane.soak.report import FaultTime

SHORTEST_GAP_S = 0.6
LONGEST_GAP_S = 2.0
"""Bounds of the time between two faults; they may overlap, but for two of one role."""
SHORTEST_FAULT_S = 0.2
LONGEST_FAULT_S = 2.0
BROKEN_S = 0.6
"""So long the back ends of a service break their answers off."""


MOST_TIMES_KEPT = 1_000


class FaultKind(StrEnum):
    """What is done to a process or a back end."""

    PAUSE = "pause"
    KILL = "kill"
    STOP = "stop"
    RESTART = "restart"
    KILL_ROLE = "kill_role"
    BREAK_ANSWERS = "break_answers"
    RESET = "reset"
    DELAY = "delay"
    SILENT = "silent"
    NOT_READING = "not_reading"


_WEIGHTS = {
    FaultKind.PAUSE: 4,
    FaultKind.KILL: 4,
    FaultKind.STOP: 2,
    FaultKind.RESTART: 2,
    FaultKind.KILL_ROLE: 1,
    FaultKind.BREAK_ANSWERS: 4,
    FaultKind.RESET: 3,
    FaultKind.DELAY: 1,
    FaultKind.SILENT: 2,
    FaultKind.NOT_READING: 1,
}
_PROXY_MODES = {
    FaultKind.DELAY: ProxyMode.DELAY,
    FaultKind.SILENT: ProxyMode.SILENT,
    FaultKind.NOT_READING: ProxyMode.NOT_READING,
}


class Faults:
    """Applies faults until it is told to stop, then lets the last ones end.

    Attributes
    ----------
    counts
        Faults by kind and role.
    times
        The newest faults, in the order of their ends.
    """

    def __init__(
        self,
        machines: Machines,
        back_ends: Sequence[StandIn],
        proxies: Sequence[FaultyProxy],
        ledger: Ledger,
        seed: int,
    ) -> None:
        self._machines = machines
        self._back_ends = back_ends
        self._proxies = proxies
        self._ledger = ledger
        self._random = random.Random(f"{seed} faults")
        self._struck: set[FleetRole] = set()
        self._began_at = ledger.began_at
        self.counts: Counter[str] = Counter()
        self.times: list[FaultTime] = []

    async def run(self, ending: anyio.Event, kinds: Sequence[FaultKind]) -> None:
        """Strike again and again; return once the last fault has been taken back."""
        weights = [_WEIGHTS[kind] for kind in kinds]
        async with anyio.create_task_group() as tasks:
            while not ending.is_set():
                with anyio.move_on_after(self._random.uniform(SHORTEST_GAP_S, LONGEST_GAP_S)):
                    await ending.wait()
                    return
                kind = self._random.choices(kinds, weights)[0]
                duration_s = self._random.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)
                if kind is FaultKind.BREAK_ANSWERS:
                    service = self._random.choice((ENGINES, TOOLS))
                    tasks.start_soon(self._break_answers, service)
                elif kind is FaultKind.RESET or kind in _PROXY_MODES:
                    proxy = self._random.choice(self._proxies)
                    tasks.start_soon(self._disturb, kind, proxy, duration_s)
                else:
                    machine = self._random.choice(self._machines.all)
                    tasks.start_soon(self._strike, kind, machine, duration_s)

    @contextmanager
    def _noted(self, name: str, target: str) -> Iterator[None]:
        """Keep when a fault began and ended."""
        began_at = anyio.current_time()
        try:
            yield
        finally:
            times = (began_at - self._began_at, anyio.current_time() - self._began_at)
            began_s, ended_s = (round(moment, 3) for moment in times)
            self.times.append(FaultTime(f"{name} {target}", began_s, ended_s))
            del self.times[:-MOST_TIMES_KEPT]

    async def _disturb(self, kind: FaultKind, proxy: FaultyProxy, duration_s: float) -> None:
        self.counts[f"{kind.value} {proxy.name}"] += 1
        with self._noted(kind.value, proxy.name):
            if kind is FaultKind.RESET:
                proxy.reset_all()
                return
            proxy.set_mode(_PROXY_MODES[kind])
            await anyio.sleep(duration_s)
            proxy.set_mode(ProxyMode.PASS)

    async def _strike(self, kind: FaultKind, machine: Machine, duration_s: float) -> None:
        if machine.role in self._struck:
            return
        self.counts[f"{kind.value} {machine.role.value}"] += 1
        self._struck.add(machine.role)
        with self._noted(kind.value, machine.name):
            await self._apply(kind, machine, duration_s)
        self._struck.remove(machine.role)

    async def _apply(self, kind: FaultKind, machine: Machine, duration_s: float) -> None:
        """Do to a process what the kind says, and take it back."""
        if kind is FaultKind.PAUSE:
            machine.signal(signal.SIGSTOP)
            await anyio.sleep(duration_s)
            machine.signal(signal.SIGCONT)
        elif kind is FaultKind.KILL:
            await self._kill([machine], duration_s)
        elif kind is FaultKind.KILL_ROLE:
            await self._kill(self._machines.of_role(machine.role), duration_s)
        else:
            await self._stop(machine, duration_s if kind is FaultKind.STOP else 0.0)

    async def _kill(self, machines: Sequence[Machine], duration_s: float) -> None:
        for machine in machines:
            machine.kill()
        await anyio.sleep(duration_s)
        for machine in machines:
            self._machines.start(machine)

    async def _stop(self, machine: Machine, duration_s: float) -> None:
        await self._machines.stop(machine, self._ledger)
        await anyio.sleep(duration_s)
        self._machines.start(machine)

    async def _break_answers(self, service: str) -> None:
        self.counts[f"{FaultKind.BREAK_ANSWERS.value} {service}"] += 1
        struck = [back_end for back_end in self._back_ends if back_end.service == service]
        with self._noted(FaultKind.BREAK_ANSWERS.value, service):
            for back_end in struck:
                back_end.breaks_off = True
            await anyio.sleep(BROKEN_S)
            for back_end in struck:
                back_end.breaks_off = False
