"""Releases of new software versions in a fleet of processes, and streams that are taken up then.

Each release has a route and a service of its own, so that what the fleet knows of the versions of
one says nothing of another.
"""

import json
from collections import Counter
from dataclasses import dataclass

import anyio

from passlane.messages.fleet import FleetRole
from processes.back_end import streams
from processes.fleet import ANSWER_TIMEOUT_S, configuration, turn

OLD, NEW = "v1", "v2"
EVENTS = 20
PAUSE_S = 0.05
TAKEN_UP_EVENTS = 4
"""Events that a client reads of a stream that it takes up."""
BEGIN_LIMIT_S = 6.0
"""Time in which streams begin at a new version: it is listed, read, announced and chosen."""
DEADLINE_MS = 8_000
JOINED = "joined"
WENT_ON = "went on"
SETTLED_S = 1.5
"""Seconds after which all nodes have a list."""


def release_configuration(count, *, kept=(), timeout_ms=DEADLINE_MS):
    """Return a configuration with routes and services for some releases.

    The routes of those in ``kept`` keep their turns.
    """
    document = configuration()
    route = {r["name"]: r for r in document["routes"]}["streams"]
    service = document["services"][0]
    for number in range(count):
        name = f"release-{number}"
        own = {"name": name, "path_prefix": f"/{name}/", "service": name}
        own |= {"timeout_ms": timeout_ms, "retained": number in kept}
        document["routes"].append(route | own)
        document["services"].append(service | {"name": name})
    return document


@dataclass
class BegunStream:
    """A stream that its client no longer has a connection for.

    Attributes
    ----------
    version
        Software version of its pieces.
    """

    attempt: str
    version: str
    events: int
    headers: dict
    body: bytes


class Release:
    """One service, whose engines of the new version join while the test disturbs the fleet."""

    def __init__(self, fleet, number, *, keeps_turns=False):
        self._fleet = fleet
        self._name = f"release-{number}"
        self._keeps_turns = keeps_turns
        self.path = f"/{self._name}/x"
        self.begun = []
        self.seen = Counter()
        self.mixed = []

    def add_engine(self, version, events=EVENTS, pause_s=PAUSE_S):
        return self._fleet.add_back_end(self._name, streams(events, pause_s), version=version)

    def replace(self, old, *new):
        """List versions in place of an old one, whose engines serve on."""
        for version in new:
            self.add_engine(version)
        self.set_listed(old, is_listed=False)

    def set_listed(self, version, *, is_listed):
        """List the engines of a version or not; they serve in any case."""
        for engine in self._fleet.back_ends:
            if engine.service == self._name and engine.version == version:
                engine.is_listed = is_listed

    async def open(self, node, events=1, *, deadline_ms=DEADLINE_MS):
        """Begin a stream and read events; return it, and what has begun (``None`` if refused)."""
        body = b"%d" % len(self.begun)
        headers = turn(f"{self._name}-{len(self.begun)}") if self._keeps_turns else {}
        stream, attempt = await self._fleet.begin(
            node, self.path, headers, body, deadline_ms=deadline_ms
        )
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            answer = await stream.read_events(events)
        if answer.status != 200 or not answer.events:
            return stream, None
        version = versions_of(answer.body)[0]
        begun = BegunStream(attempt, version, answer.events, headers, body)
        self.begun.append(begun)
        return stream, begun

    async def begin(self, node, events=2):
        """Begin a stream at a node and lose its connection; return it, ``None`` if refused."""
        stream, begun = await self.open(node, events)
        await stream.close()
        return begun

    async def begin_at(self, version, nodes, count):
        """Begin streams until so many have begun at a version, or for ``BEGIN_LIMIT_S``."""
        at_version = []
        with anyio.move_on_after(BEGIN_LIMIT_S):
            while len(at_version) < count:
                for node in nodes:
                    begun = await self.begin(node)
                    if begun is not None and begun.version == version:
                        at_version.append(begun)
                await anyio.sleep(PAUSE_S)
        return at_version

    async def take_up(self, node, begun, *, names_stream):
        """Take a stream up at a node, and count what its client gets."""
        headers = begun.headers | {"Last-Event-Id": str(begun.events)}
        if names_stream:
            headers["Resumes"] = begun.attempt
        stream, attempt = await self._fleet.begin(
            node, self.path, headers, begun.body, deadline_ms=DEADLINE_MS
        )
        with anyio.fail_after(DEADLINE_MS / 1_000 + 1.0):
            answer = await stream.read_events(TAKEN_UP_EVENTS)
        await stream.close()
        self._count(begun, attempt, answer)

    async def take_all_up(self, node, begun, naming=(True, False)):
        """Take streams up at once, each with its name and without."""
        async with anyio.create_task_group() as tasks:
            for stream in begun:
                for names_stream in naming:
                    tasks.start_soon(self._take_up, node, stream, names_stream)

    async def _take_up(self, node, begun, names_stream):
        await self.take_up(node, begun, names_stream=names_stream)

    def _count(self, begun, attempt, answer):
        if answer.status != 200:
            assert not self._fleet.ran(attempt), (answer.status, attempt)
            self.seen[answer.status] += 1
            return
        if set(versions_of(answer.body)) == {begun.version}:
            self.seen[WENT_ON] += 1
            return
        self.seen[JOINED] += 1
        self.mixed.append((begun.version, begun.attempt, attempt, answer.body[:40]))


def versions_of(body):
    """Return the software versions of the events of a body, in order."""
    parts = body.split(b"data: ")[1:]
    return [part.partition(b"-")[0].decode() for part in parts]


def log_lines(fleet, name, event):
    """Return the log lines of a process that have an event."""
    lines = [line for line in fleet.output_of(name).splitlines() if f'"event":"{event}"' in line]
    return [json.loads(line) for line in lines]


def leader_of(fleet, role):
    """Return the machine of a role that leads its group, by the newest line that says so."""
    newest = {}
    for machine in fleet.machines.of_role(role):
        own = [line for line in log_lines(fleet, machine.name, "leadership") if line["own"]]
        if own:
            newest[own[-1]["term"]] = machine
    return newest[max(newest)]


def reader_of(fleet):
    """Return the name of the node that reads the platform's list for all."""
    chosen = []
    for machine in fleet.machines.of_role(FleetRole.CONTROL):
        chosen += log_lines(fleet, machine.name, "backends_reader_chosen")
    return max(chosen, key=lambda line: line["unix_time_s"])["name"]
