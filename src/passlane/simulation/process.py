"""One simulated daemon process, which can be killed, frozen, stopped and started again."""

import random

import anyio
import structlog
from anyio.abc import TaskGroup

from passlane.daemon.assembly import Daemon
from passlane.observability.logging import get_logger
from passlane.observability.ring import RingLog
from passlane.settings.model import Settings
from passlane.simulation.disk import SimulatedDisk
from passlane.simulation.environment import build_simulated_environment
from passlane.simulation.event_log import EventLog
from passlane.simulation.network import SimulatedNetwork

RESTART_LIMIT_S = 60.0
_log = get_logger("simulation")


class SimulatedProcess:
    """A daemon on a host of its own.

    Parameters
    ----------
    settings
        Settings of the daemon.
    network, disk
        The network of the fleet, and this process's disk, which outlives it.
    seed
        Seeds the random generator of each life of the process.
    """

    def __init__(
        self,
        settings: Settings,
        network: SimulatedNetwork,
        disk: SimulatedDisk,
        seed: int,
        event_log: EventLog,
    ) -> None:
        self.settings = settings
        self.disk = disk
        self._network = network
        self._seed = seed
        self._event_log = event_log
        self._lives = 0
        self._scope: anyio.CancelScope | None = None
        self._ended = anyio.Event()
        self.daemon: Daemon | None = None
        self.failure: BaseException | None = None

    @property
    def name(self) -> str:
        """Name from the settings."""
        return self.settings.process.name

    @property
    def host(self) -> str:
        """IP number of the process's host."""
        return self.settings.addresses.internal.host

    @property
    def is_running(self) -> bool:
        """Whether the process lives (it may be frozen or cut off)."""
        return self._scope is not None

    def start(self, tasks: TaskGroup) -> None:
        """Start a new life of the process on what its disk holds."""
        if self.is_running:
            raise RuntimeError(f"{self.name} is running")
        self._lives += 1
        self._scope = anyio.CancelScope()
        self._ended = anyio.Event()
        self._network.reconnect(self.host)
        self._event_log.record("start", f"{self.name} life {self._lives}")
        tasks.start_soon(self._live, self._scope, self._ended)

    async def _live(self, scope: anyio.CancelScope, ended: anyio.Event) -> None:
        structlog.contextvars.bind_contextvars(process=self.name)
        environment = build_simulated_environment(
            self._network.host(self.host),
            self.disk,
            random.Random(f"{self._seed} {self.name} {self._lives}"),
        )
        self.daemon = Daemon(self.settings, environment, RingLog(1_000))
        try:
            with scope:
                await self.daemon.run()
        except Exception as error:
            self.failure = error
            _log.exception("daemon_failed")
            self._event_log.record("failed", f"{self.name} {error}")
        finally:
            if self._scope is scope:
                self._forget(power_lost=False)
            ended.set()

    def kill(self, *, power_lost: bool = False, in_silence: bool = False) -> None:
        """End the process at once.

        Parameters
        ----------
        power_lost
            What was not synced is lost, as when the whole machine stops.
        in_silence
            Peers see no reset; the host just says nothing more until it starts again.
        """
        if self._scope is None:
            return
        self._event_log.record("kill", f"{self.name} power_lost={power_lost} silent={in_silence}")
        scope = self._scope
        self._forget(power_lost=power_lost, in_silence=in_silence)
        scope.cancel()

    def _forget(self, *, power_lost: bool, in_silence: bool = False) -> None:
        self._scope = None
        self.daemon = None
        self._network.remove_listeners(self.host)
        if in_silence:
            self._network.isolate(self.host)
        self._network.drop_connections(self.host, reset_peers=not in_silence)
        if power_lost:
            self.disk.lose_power()
        else:
            self.disk.kill_process()

    def freeze(self) -> None:
        """Stop the process without ending it: nothing reaches it or leaves it.

        Its timers go on, so what it decides while frozen stands for what it decided just
        before and did not get to send.
        """
        self._event_log.record("freeze", self.name)
        self._network.isolate(self.host)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self._event_log.record("thaw", self.name)
        self._network.reconnect(self.host)

    async def stop(self) -> None:
        """Stop as SIGTERM does: drain, then end."""
        if self.daemon is None:
            return
        self._event_log.record("stop", self.name)
        ended = self._ended
        await self.daemon.drain_and_stop()
        with anyio.move_on_after(RESTART_LIMIT_S):
            await ended.wait()
        self._event_log.record("stopped", self.name)
