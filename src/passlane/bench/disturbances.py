"""Kills, freezes and restarts of a fleet's processes, one after the other, seeded."""

import enum
import random
from dataclasses import dataclass

import anyio
import anyio.to_thread

from passlane.bench.fleet import Fleet
from passlane.bench.fleet_files import ProcessKind


class DisturbanceKind(enum.StrEnum):
    """What is done to a process."""

    KILL_NODE = "kill_node"
    FREEZE_NODE = "freeze_node"
    RESTART_NODE = "restart_node"
    KILL_STORE = "kill_store"
    FREEZE_STORE = "freeze_store"
    RESTART_STORE = "restart_store"
    KILL_ENGINE = "kill_engine"
    FREEZE_ENGINE = "freeze_engine"


@dataclass(frozen=True)
class Disturbance:
    """One disturbance as it was done; times are seconds since the load began."""

    kind: DisturbanceKind
    target: str
    at_s: float
    healed_at_s: float


@dataclass(frozen=True)
class DisturbanceSettings:
    """How often and how long.

    ``quiet_s`` passes before each disturbance, ``outage_s`` until it is healed.
    """

    kinds: tuple[DisturbanceKind, ...] = tuple(DisturbanceKind)
    quiet_s: float = 4.0
    outage_s: float = 3.0


class Disturber:
    """Disturbs one process at a time, so that a quorum of the store always runs."""

    def __init__(self, fleet: Fleet, settings: DisturbanceSettings, seed: int) -> None:
        self._fleet = fleet
        self._settings = settings
        self._random = random.Random(seed)
        self.done: list[Disturbance] = []

    async def run(self, until_s: float) -> None:
        """Disturb the fleet until so many seconds from now; leave it healed."""
        began = anyio.current_time()
        kinds: list[DisturbanceKind] = []
        while anyio.current_time() - began + self._settings.quiet_s < until_s:
            await anyio.sleep(self._settings.quiet_s)
            if not kinds:
                kinds = list(self._settings.kinds)
                self._random.shuffle(kinds)
            kind = kinds.pop()
            target = self._random.choice(self._targets(kind))
            at_s = anyio.current_time() - began
            await self._disturb(kind, target)
            healed_at_s = anyio.current_time() - began
            self.done.append(Disturbance(kind, target, at_s, healed_at_s))

    def _targets(self, kind: DisturbanceKind) -> list[str]:
        """Return the processes that a kind of disturbance may hit."""
        what = kind.value.rpartition("_")[2]
        if what == "engine":
            return self._fleet.names(ProcessKind.ENGINE)
        return self._fleet.names(ProcessKind.DAEMON, what)

    async def _disturb(self, kind: DisturbanceKind, target: str) -> None:
        """Do it, wait, and heal it."""
        action = kind.value.partition("_")[0]
        if action == "freeze":
            self._fleet.freeze(target)
            await anyio.sleep(self._settings.outage_s)
            self._fleet.thaw(target)
            return
        if action == "kill":
            self._fleet.kill(target)
            await anyio.sleep(self._settings.outage_s)
        else:
            await anyio.to_thread.run_sync(self._fleet.stop, target)
        self._fleet.start(target)
        await anyio.to_thread.run_sync(self._fleet.wait_ready, [target])
