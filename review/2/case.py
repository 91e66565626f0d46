"""The leading store is restarted again and again; is a turn still kept for its retention time?

``TROUBLE=0`` leaves out the restarts.
"""

import asyncio
import os
import random
import re
import signal
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import fleet as fleets  # noqa: E402
import wire  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RETENTION_S = 60.0
"""The retention_s of the route, as on the small sites."""
LAST_ASKED_S = 58.0
"""Age up to which turns are gone on from: well below the retention time."""
DIALOGUES = 12
RESTART_AFTER_S = 1.0
"""Time for which a stopped store is down."""
CATCH_UP_S = 4.5
"""The next store is stopped once the last has been back for catch_up_s (4.4 s)."""
LEADER = re.compile(rb'^passlane_replica_leads\{group="turns"\} 1', re.MULTILINE)


class Case:
    """One run of the case."""

    def __init__(self, folder: Path) -> None:
        self.record = fleets.Record(HERE / "record.txt")
        network = fleets.loopback_network()
        self.engines = [
            wire.Engine(f"i-{n:08x}", f"{network}.{200 + n}", 8080, "models", fleets.ZONES[n % 3])
            for n in range(3)
        ]
        self.platform = wire.Platform(f"{network}.100", 8142, self.engines)
        self.fleet = fleets.Fleet(folder, network, self.platform.server.address)
        self.nodes = [machine.host for machine in self.fleet.of("node")]
        self.controls = [machine.host for machine in self.fleet.of("control")]
        self.random = random.Random(1)

    async def close(self) -> None:
        """Close the stand-ins."""
        for server in (self.platform.server, *(engine.server for engine in self.engines)):
            await server.stop()

    async def turn(
        self, program: str, body: bytes, previous: str | None = None
    ) -> tuple[str, wire.Answer]:
        """Send one turn to a node."""
        attempt_id = wire.new_id()
        headers = wire.turn_headers(attempt_id, program, previous=previous)
        node = self.random.choice(self.nodes)
        answer = await wire.request(node, fleets.FRONT_PORT, "POST", "/kept/x", headers, body)
        return attempt_id, answer

    async def bring_up(self) -> None:
        """Start everything and put a configuration in force."""
        for engine in self.engines:
            await engine.server.start()
        await self.platform.server.start()
        self.fleet.start_all()
        route = wire.stream_route("kept", "/kept/", retained=True, resumable=False)
        document = wire.configuration(3, [route | {"retention_s": RETENTION_S}])
        if not await wire.put_configuration(self.controls, fleets.CONTROL_PORT, document):
            raise RuntimeError("the configuration was not taken")
        if not await wire.wait_ready(self.nodes, fleets.READINESS_PORT, 20.0):
            raise RuntimeError("the nodes are not ready")
        self.record.write("all nodes are ready")
        self.fleet.keep_running(self.record)

    async def metrics(self, machine: fleets.Machine) -> bytes:
        """Return the metrics of a store; empty while it doesn't answer."""
        headers = {"Host": machine.host}
        answer = await wire.request(
            machine.host, fleets.METRICS_PORT, "GET", "/metrics", headers, timeout_s=1.0
        )
        return answer.body

    async def leader(self) -> fleets.Machine | None:
        """Return the store that says in its metrics that it leads."""
        for machine in self.fleet.of("store"):
            if machine.is_running and LEADER.search(await self.metrics(machine)):
                return machine
        return None

    async def restart_leaders(self) -> None:
        """Stop the leading store as planned, start it again, and go on with the next."""
        while True:
            machine = await self.leader()
            if machine is None:
                self.record.write("no store says that it leads")
                await asyncio.sleep(0.3)
                continue
            machine.is_held = True
            machine.signal(signal.SIGTERM)
            assert machine.process is not None
            while machine.is_running:
                await asyncio.sleep(0.02)
            self.record.write(
                f"{machine.name} led, got SIGTERM and ended with {machine.process.returncode}"
            )
            await asyncio.sleep(RESTART_AFTER_S)
            machine.start()
            machine.is_held = False
            while not await self.metrics(machine):
                await asyncio.sleep(0.05)
            self.record.write(f"{machine.name} was started again and is back")
            await asyncio.sleep(CATCH_UP_S)

    async def run(self) -> int:
        """Run the case; return the exit status."""
        await self.bring_up()
        restarts = asyncio.create_task(self.restart_leaders()) if TROUBLE else None
        await asyncio.sleep(2.0)
        turns: dict[str, tuple[str, float]] = {}
        for number in range(DIALOGUES):
            program = f"dialogue-{number}"
            for _ in range(20):
                attempt_id, answer = await self.turn(program, b"first question")
                if answer.status == 200 and answer.is_whole:
                    turns[program] = (attempt_id, time.monotonic())
                    break
                await asyncio.sleep(0.2)
            else:
                raise RuntimeError(f"no first answer: {answer.status} {answer.body[:80]!r}")
            await asyncio.sleep(0.25)
        self.record.write(f"{len(turns)} first turns were answered whole")
        status = await self.go_on(turns)
        if restarts is not None:
            restarts.cancel()
        return status

    async def go_on(self, turns: dict[str, tuple[str, float]]) -> int:
        """Go on from each turn once, at an age between 40 s and nearly the retention time."""
        lost = 0
        for number, (program, (previous, answered_at)) in enumerate(turns.items()):
            age_s = 40.0 + (LAST_ASKED_S - 40.0) * number / (DIALOGUES - 1)
            await asyncio.sleep(max(0.0, answered_at + age_s - time.monotonic()))
            for _ in range(4):
                sent_at = time.monotonic()
                attempt_id, answer = await self.turn(program, b"second question", previous)
                ran = sum(r.attempt_id == attempt_id for e in self.engines for r in e.runs)
                self.record.write(
                    f"{program} goes on from {previous}, answered whole {sent_at - answered_at:.2f}"
                    f" s before: status {answer.status} {answer.error} {answer.body[:60]!r},"
                    f" runs {ran}"
                )
                if answer.status != 503 and answer.status != 0:
                    break
                await asyncio.sleep(0.3)
            lost += answer.status in (404, 410) and sent_at - answered_at < RETENTION_S
        self.record.write(f"turns below {RETENTION_S:.0f} s of age that got 404 or 410: {lost}")
        return 1 if lost else 0


async def main() -> int:
    """Run the case, and end all processes that it started."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        (Path(folder) / "data").mkdir()
        case = Case(Path(folder))
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await case.run()
        except Exception as error:
            case.record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            await case.fleet.stop_restarting()
            case.fleet.end()
            await case.close()


if __name__ == "__main__":
    # A fault of this script itself would end it with 1, so run.sh expects 10 for a broken rule.
    sys.exit({0: 0, 1: 10}.get(asyncio.run(main()), 2))
