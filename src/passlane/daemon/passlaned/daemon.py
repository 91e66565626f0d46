"""Builds a daemon from its settings and a real or simulated environment.

For: ``main``, which runs it in the real environment, and simulations.
Owns: the supervisor tree, the connections to other processes, the HTTP server for operators, and
the planned stop.
Relies on: one part for each role (``parts``).
"""

from collections.abc import Mapping

import anyio

from passlane.api.operators import build_operator_application
from passlane.daemon.passlaned.parts import ControlPart, NodePart, Part, PartContext, StorePart
from passlane.observability.health import HealthApplication, ReadinessCheck
from passlane.observability.logging import get_logger
from passlane.observability.metrics import Metrics
from passlane.observability.ring import RingLog
from passlane.replication.client import GroupClient
from passlane.runtime.interfaces import Environment
from passlane.settings.model import Role, Settings
from passlane.supervision.specification import ChildSpecification
from passlane.supervision.supervisor import Supervisor
from passlane.transport.client import ConnectionPool
from passlane.transport.router import MessageRouter
from passlane.transport.server import MessageServer

DRAIN_MARGIN_S = 5.0
"""Time beyond the node's drain timeout after which the daemon stops without waiting further."""

_log = get_logger("daemon")

_PART_OF_ROLE: Mapping[Role, type[ControlPart] | type[StorePart] | type[NodePart]] = {
    Role.CONTROL: ControlPart,
    Role.STORE: StorePart,
    Role.NODE: NodePart,
}


class Daemon:
    """One process of passlane: its supervisor tree and its planned stop.

    Parameters
    ----------
    settings
        Checked settings.
    environment
        Clock, network, disk and randomness.
    ring
        The process's log, written to ``observability.dump_folder`` when a part exceeds its
        restart limit.
    """

    def __init__(self, settings: Settings, environment: Environment, ring: RingLog) -> None:
        self._settings = settings
        self._environment = environment
        self._ring = ring
        self.metrics = Metrics()
        self._router = MessageRouter()
        self._pool = ConnectionPool(environment)
        self._parts = self._build_parts()
        self._scope = anyio.CancelScope()
        self._is_draining = False

    def _build_parts(self) -> list[Part]:
        context = PartContext(
            self._settings, self._environment, self._pool, self._router, self.metrics
        )
        # The order of the table, not of the settings: nodes depend on the groups.
        ordered = [role for role in _PART_OF_ROLE if role in self._settings.process.roles]
        return [_PART_OF_ROLE[role](context) for role in ordered]

    async def run(self) -> None:
        """Run until stopped.

        Raises
        ------
        TooManyRestartsError
            When a part exceeded its restart limit; the log has been dumped by then.
        """
        supervisor = Supervisor("daemon", self._children(), on_failure=self._dump_log)
        with self._scope:
            await supervisor.run()

    def _children(self) -> list[ChildSpecification]:
        server = MessageServer(self._environment, self._settings.addresses.internal, self._router)
        children = [
            ChildSpecification("connections", self._pool.run),
            ChildSpecification("messages", server.run),
            ChildSpecification("operators", self._serve_operators),
        ]
        children += [ChildSpecification(part.name, part.run) for part in self._parts]
        return children

    async def _serve_operators(self) -> None:
        settings = self._settings
        random = self._environment.random
        application = build_operator_application(
            settings,
            control=GroupClient(self._pool, settings.control_addresses, random),
            store=GroupClient(self._pool, settings.store_addresses, random),
            ring=self._ring,
            random=random,
            caller=self._pool,
        )
        checks: dict[str, ReadinessCheck] = {part.name: part.is_ready for part in self._parts}
        checks["not_draining"] = lambda: not self._is_draining
        await self._environment.http_server.serve(
            settings.addresses.operators,
            HealthApplication(self.metrics, checks, application),
        )

    async def _dump_log(self, child: str) -> None:
        try:
            name = await self._ring.write_out(
                self._environment.disk, self._settings.observability.dump_folder, child
            )
        except OSError:
            _log.exception("log_not_written_out")
        else:
            _log.info("log_written_out", file=name)

    def leads(self, group: str) -> bool:
        """Whether this process leads the group named ``group``, ``control`` or ``store``."""
        return any(part.name == group and part.is_leader() for part in self._parts)

    async def drain_and_stop(self) -> None:
        """Refuse new work, let the work in flight finish, then stop."""
        self._is_draining = True
        timeout_s = self._settings.node.drain_timeout_s + DRAIN_MARGIN_S
        with anyio.move_on_after(timeout_s) as scope:
            async with anyio.create_task_group() as tasks:
                for part in self._parts:
                    tasks.start_soon(self._drain_part, part)
        if scope.cancelled_caught:
            _log.warning("drain_cut_short", limit_s=timeout_s)
        self._scope.cancel()

    @staticmethod
    async def _drain_part(part: Part) -> None:
        try:
            await part.drain()
        except Exception:
            # A part that fails to drain must not prevent the others from draining.
            _log.exception("drain_failed", part=part.name)
