"""Watches which nodes are ready, and which versions of the configuration are in force.

A node's version shows from outside: each version has one route that no other has. A request on
it without a key is answered 401 where that version is in force, 404 where another one is. No
back end is asked.
"""

import random
from collections.abc import Callable

import anyio
import msgspec

from passlane.messages.fleet import FleetRole
from passlane.platform import names
from passlane.runtime.interfaces import HttpRequest
from passlane.soak.client import SoakClient
from passlane.soak.configuration import HOST, configuration, version_path
from passlane.soak.ledger import Ledger
from passlane.soak.machines import (
    CALLERS_PORT,
    OPERATORS_PORT,
    READINESS_PORT,
    Machine,
    Machines,
)

OK = 200
NO_KEY = 401
NO_ROUTE = 404
PROBE_PERIOD_S = 0.7
PROBE_TIMEOUT_S = 0.6
OPERATOR_TIMEOUT_S = 1.5
CHANGE_PERIOD_S = 3.0
RETRY_S = 0.2
VERSIONS_LOOKED_BACK = 4
"""So many older versions are asked for where the one seen last is in force no more."""
LARGEST_VERSION_STEP = 3


class _Version(msgspec.Struct):
    """What is read of a configuration."""

    version: int


class _NodeView:
    """What is known of one life of one node's process."""

    def __init__(self) -> None:
        self.life = -1
        self.version = 0
        self.is_ready = False


class Watch:
    """Readiness and versions of all nodes, and the operator who changes the configuration.

    Attributes
    ----------
    acknowledged
        Highest version that was acknowledged.
    nodes
        All nodes, ready or not.
    """

    def __init__(self, machines: Machines, ledger: Ledger, client: SoakClient, seed: int) -> None:
        self.nodes = machines.of_role(FleetRole.NODE)
        self._controls = machines.of_role(FleetRole.CONTROL)
        self._views = {node.name: _NodeView() for node in self.nodes}
        self._ledger = ledger
        self._client = client
        self._random = random.Random(f"{seed} operator")
        self._sent: list[int] = []
        self._look = anyio.Event()
        self.acknowledged = 0

    def nodes_for_callers(self) -> list[Machine]:
        """Return the nodes that get new connections: those that are ready, else all."""
        ready = [node for node in self.nodes if self._views[node.name].is_ready]
        return ready or self.nodes

    def all_ready(self) -> bool:
        """Whether each node was ready when it was last asked."""
        return all(view.is_ready for view in self._views.values())

    def are_up_to_date(self) -> bool:
        """Whether each node has shown the newest version that was acknowledged, or a later one."""
        return all(view.version >= self.acknowledged for view in self._views.values())

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until something holds; looked at after each answer of a node."""
        while not condition():
            await self._look.wait()

    async def run(self) -> None:
        """Ask all nodes again and again."""
        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                tasks.start_soon(self._watch_node, node)

    async def change_configuration(self) -> None:
        """Put a new version and read the newest, again and again."""
        while True:
            await self.put_next()
            await self._read_newest()
            await anyio.sleep(CHANGE_PERIOD_S * self._random.uniform(0.5, 1.5))

    async def put_next(self) -> None:
        """Send one version until it is acknowledged, to any control replica."""
        newest = self._sent[-1] if self._sent else 0
        version = newest + self._random.randint(1, LARGEST_VERSION_STEP)
        self._sent.append(version)
        body = configuration(version)
        while True:
            address = self._random.choice(self._controls).address(OPERATORS_PORT)
            request = HttpRequest(
                "POST", address, names.PUT_CONFIGURATION_PATH, {}, body, fresh_connection=True
            )
            answer = await self._client.fetch(request, OPERATOR_TIMEOUT_S)
            if answer is not None and answer.status == OK:
                self.acknowledged = version
                return
            await anyio.sleep(RETRY_S)

    async def _read_newest(self) -> None:
        acknowledged = self.acknowledged
        control = self._random.choice(self._controls)
        address = control.address(OPERATORS_PORT)
        answer = await self._client.get(address, names.GET_CONFIGURATION_PATH, OPERATOR_TIMEOUT_S)
        if answer is None or answer.status != OK or not answer.is_whole:
            return
        version = msgspec.json.decode(answer.body, type=_Version).version
        detail = f"read version {version}, {acknowledged} was acknowledged"
        holds = version >= acknowledged
        self._ledger.check("accepted-stays", holds, control.name, detail, anyio.current_time())

    async def _watch_node(self, node: Machine) -> None:
        view = self._views[node.name]
        while True:
            ready = await self._client.get(
                node.address(READINESS_PORT), names.READINESS_PATH, PROBE_TIMEOUT_S
            )
            view.is_ready = ready is not None and ready.status == OK
            if view.is_ready:
                await self._look_at_version(node, view)
            self._look.set()
            self._look = anyio.Event()
            await anyio.sleep(PROBE_PERIOD_S)

    async def _look_at_version(self, node: Machine, view: _NodeView) -> None:
        """Find the version in force; one older than what this life has shown is a finding."""
        life = node.starts
        if view.life != life:
            view.life, view.version = life, 0
        newer = [version for version in self._sent if version >= view.version]
        older = [version for version in self._sent if version < view.version]
        for version in (*newer, *reversed(older[-VERSIONS_LOOKED_BACK:])):
            is_in_force = await self._has_version(node, version)
            if node.starts != life or is_in_force is None:
                return
            if is_in_force:
                self._note_version(node, view, version)
                return

    def _note_version(self, node: Machine, view: _NodeView, version: int) -> None:
        detail = f"version {version} after {view.version} in life {view.life}"
        holds = version >= view.version
        self._ledger.check("versions-rise", holds, node.name, detail, anyio.current_time())
        view.version = max(view.version, version)

    async def _has_version(self, node: Machine, version: int) -> bool | None:
        """Return whether a version is in force at a node; ``None`` if the node didn't tell."""
        request = HttpRequest(
            "GET",
            node.address(CALLERS_PORT),
            version_path(version),
            {names.ATTEMPT_ID: f"version-{version}-{self._random.getrandbits(64):016x}"},
            fresh_connection=True,
            host=HOST,
        )
        answer = await self._client.fetch(request, PROBE_TIMEOUT_S)
        if answer is None or answer.status not in (NO_KEY, NO_ROUTE):
            return None
        return answer.status == NO_KEY
