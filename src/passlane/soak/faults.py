"""Faults from outside, drawn by a seed: signals to the soak's own processes, answers cut off."""

import random
import signal
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from enum import StrEnum

import anyio
import msgspec
from anyio.abc import TaskGroup

from passlane.soak.back_ends import StandIn, StandInEngine, StandInList
from passlane.soak.configuration import ENGINES, SOFTWARE_VERSIONS, TOOLS
from passlane.soak.crowds import Crowd, draw_crowd, run_crowd
from passlane.soak.ledger import Ledger
from passlane.soak.machines import Machine, Machines
from passlane.soak.proxy import FaultyProxy, ProxyMode
from passlane.soak.report import FaultTime

SHORTEST_FAULT_S = 0.2
LONGEST_FAULT_S = 2.0
BROKEN_S = 0.6
"""So long the back ends of a service break their answers off."""


UPGRADE = "upgrade"
RESTART_LEADER = "restart_leader"
NANOSECONDS_IN_MS = 1_000_000
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
    RESTART_BACK_END = "restart_back_end"
    BAD_ENTRIES = "bad_entries"
    RELEASE = "release"
    WITHOUT_LENGTH = "without_length"
    ENDLESS = "endless"
    CLIENTS = "clients"


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
    FaultKind.RESTART_BACK_END: 3,
    FaultKind.BAD_ENTRIES: 2,
    FaultKind.RELEASE: 3,
    FaultKind.WITHOUT_LENGTH: 6,
    FaultKind.ENDLESS: 2,
    FaultKind.CLIENTS: 12,
}
_PROXY_MODES = {
    FaultKind.DELAY: ProxyMode.DELAY,
    FaultKind.SILENT: ProxyMode.SILENT,
    FaultKind.NOT_READING: ProxyMode.NOT_READING,
}


class FaultPace(msgspec.Struct, frozen=True):
    """Which faults are drawn, how close to one another, and whether they overlap in a role."""

    kinds: tuple[FaultKind, ...]
    gap_s: tuple[float, float]
    overlaps: bool


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
        listing: StandInList,
        ledger: Ledger,
        seed: int,
    ) -> None:
        self._machines = machines
        self._back_ends = back_ends
        self._proxies = proxies
        self._listing = listing
        self._ledger = ledger
        self._random = random.Random(f"{seed} faults")
        self._struck: set[str] = set()
        self._released = anyio.Event()
        self._began_at = ledger.began_at
        self._releases = 0
        self.counts: Counter[str] = Counter()
        self.times: list[FaultTime] = []

    async def run(self, ending: anyio.Event, pace: FaultPace) -> None:
        """Strike again and again; return once the last fault has been taken back."""
        weights = [_WEIGHTS[kind] for kind in pace.kinds]
        async with anyio.create_task_group() as tasks:
            while not ending.is_set():
                with anyio.move_on_after(self._random.uniform(*pace.gap_s)):
                    await ending.wait()
                    return
                kind = self._random.choices(pace.kinds, weights)[0]
                duration_s = self._random.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)
                self._begin(tasks, kind, duration_s, overlaps=pace.overlaps)

    def _begin(
        self, tasks: TaskGroup, kind: FaultKind, duration_s: float, *, overlaps: bool
    ) -> None:
        """Begin a fault of a kind at whom the seed draws."""
        if kind is FaultKind.BREAK_ANSWERS:
            service = self._random.choice((ENGINES, TOOLS))
            tasks.start_soon(self._break_answers, service)
        elif kind is FaultKind.RESET or kind in _PROXY_MODES:
            proxy = self._random.choice(self._proxies)
            tasks.start_soon(self._disturb, kind, proxy, duration_s)
        elif kind is FaultKind.RESTART_BACK_END:
            number = self._random.randrange(len(self._back_ends))
            tasks.start_soon(self._restart_back_end, number)
        elif kind is FaultKind.RELEASE:
            engines = [e for e in self._back_ends if e.service == ENGINES]
            tasks.start_soon(self._release, self._random.randrange(len(engines)))
        elif kind is FaultKind.WITHOUT_LENGTH:
            tasks.start_soon(self._answer_without_length, duration_s)
        elif kind is FaultKind.ENDLESS:
            tasks.start_soon(self._answer_without_end, self._random.choice((ENGINES, TOOLS)))
        elif kind is FaultKind.CLIENTS:
            crowd = draw_crowd(self._random, self._machines.all)
            tasks.start_soon(self._send_crowd, crowd, duration_s)
        elif kind is FaultKind.BAD_ENTRIES:
            tasks.start_soon(self._add_bad_entries, duration_s)
        else:
            machine = self._random.choice(self._machines.all)
            tasks.start_soon(self._strike, kind, machine, duration_s, overlaps)

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

    async def _strike(
        self, kind: FaultKind, machine: Machine, duration_s: float, overlaps: bool
    ) -> None:
        role = self._machines.of_role(machine.role)
        struck = role if kind is FaultKind.KILL_ROLE else [machine]
        if self._are_disturbed(struck if overlaps else role):
            return
        self.counts[f"{kind.value} {machine.role.value}"] += 1
        with self._noted(kind.value, machine.name), self._held(struck):
            await self._apply(kind, machine, duration_s)

    def _are_disturbed(self, machines: Sequence[Machine]) -> bool:
        """Whether a fault of any of these processes has not ended."""
        return any(machine.name in self._struck for machine in machines)

    def struck(self) -> set[str]:
        """Return the names of the processes that are disturbed now."""
        return self._struck

    @contextmanager
    def _held(self, machines: Sequence[Machine]) -> Iterator[None]:
        """Keep other faults from processes while they are disturbed."""
        names = [machine.name for machine in machines]
        self._struck.update(names)
        try:
            yield
        finally:
            self._struck.difference_update(names)
            self._released.set()
            self._released = anyio.Event()

    async def _restart_back_end(self, number: int) -> None:
        """Have a back end start again under its id; its connections are reset."""
        back_end, proxy = self._back_ends[number], self._proxies[number]
        self.counts[f"{FaultKind.RESTART_BACK_END.value} {back_end.instance_id}"] += 1
        with self._noted(FaultKind.RESTART_BACK_END.value, back_end.instance_id):
            back_end.start_again(time.time_ns() // NANOSECONDS_IN_MS)
            proxy.reset_all()

    async def _release(self, number: int) -> None:
        """Replace an engine by an instance of the other version; its connections are reset."""
        engine, proxy = self._back_ends[number], self._proxies[number]
        self._releases += 1
        old_version = engine.software_version
        (version,) = (known for known in SOFTWARE_VERSIONS if known != old_version)
        name = f"{engine.instance_id.partition('.')[0]}.{self._releases}"
        self.counts[f"{FaultKind.RELEASE.value} {version}"] += 1
        with self._noted(FaultKind.RELEASE.value, name):
            engine.release(name, version, time.time_ns() // NANOSECONDS_IN_MS)
            proxy.reset_all()

    async def _answer_without_length(self, duration_s: float) -> None:
        """Have all engines answer without a length for a while; every second answer is cut."""
        self.counts[FaultKind.WITHOUT_LENGTH.value] += 1
        engines = [e for e in self._back_ends if isinstance(e, StandInEngine)]
        with self._noted(FaultKind.WITHOUT_LENGTH.value, ENGINES):
            for engine in engines:
                engine.lacks_length = True
            await anyio.sleep(duration_s)
            for engine in engines:
                engine.lacks_length = False

    async def _answer_without_end(self, service: str) -> None:
        """Have a back end of a service send bytes without end for a while."""
        self.counts[f"{FaultKind.ENDLESS.value} {service}"] += 1
        struck = next(back_end for back_end in self._back_ends if back_end.service == service)
        with self._noted(FaultKind.ENDLESS.value, struck.instance_id):
            struck.is_endless = True
            await anyio.sleep(BROKEN_S)
            struck.is_endless = False

    async def _send_crowd(self, crowd: Crowd, duration_s: float) -> None:
        """Have clients that don't behave at one address for a while."""
        self.counts[f"{FaultKind.CLIENTS.value} {crowd.kind}"] += 1
        with self._noted(FaultKind.CLIENTS.value, crowd.name):
            await run_crowd(crowd, duration_s)

    async def _add_bad_entries(self, duration_s: float) -> None:
        """Have the list hold entries of another writer for a while."""
        self.counts[FaultKind.BAD_ENTRIES.value] += 1
        with self._noted(FaultKind.BAD_ENTRIES.value, "list"):
            self._listing.has_bad_entries = True
            await anyio.sleep(duration_s)
            self._listing.has_bad_entries = False

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

    async def replace(self, machine: Machine, daemon: tuple[str, ...]) -> None:
        """Stop a process and start it anew as one of another build, as in an upgrade."""
        await self._wait_until_calm(machine)
        self.counts[f"{UPGRADE} {machine.role.value}"] += 1
        with self._noted(UPGRADE, machine.name), self._held([machine]):
            machine.daemon = daemon
            await self._stop(machine, 0.0)

    async def restart_leader(self, machine: Machine) -> None:
        """Stop a process as planned and start it again, as one of a series."""
        await self._wait_until_calm(machine)
        self.counts[f"{RESTART_LEADER} {machine.role.value}"] += 1
        # A process that was stopped is started again also when the series is cancelled.
        with anyio.CancelScope(shield=True):
            with self._noted(RESTART_LEADER, machine.name), self._held([machine]):
                await self._stop(machine, 0.0)

    async def _wait_until_calm(self, machine: Machine) -> None:
        """Wait until no process of the machine's role is disturbed."""
        while self._are_disturbed(self._machines.of_role(machine.role)):
            await self._released.wait()

    async def _break_answers(self, service: str) -> None:
        self.counts[f"{FaultKind.BREAK_ANSWERS.value} {service}"] += 1
        struck = [back_end for back_end in self._back_ends if back_end.service == service]
        with self._noted(FaultKind.BREAK_ANSWERS.value, service):
            for back_end in struck:
                back_end.breaks_off = True
            await anyio.sleep(BROKEN_S)
            for back_end in struck:
                back_end.breaks_off = False
