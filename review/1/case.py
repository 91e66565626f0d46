"""Large turns are kept, all processes are killed and come back; are the conversations still there?

``TROUBLE=0`` leaves out the kill.
"""

import asyncio
import os
import random
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
LARGE_TURNS = 20
LARGE_BYTES = 3_300_000
"""Below the configuration's max_body_bytes of 4,194,304."""
SMALL_TURNS = 2_700
"""Turns of other programs, at the rate at which a small site has them."""
SMALL_TURNS_PER_S = 110.0
"""The rate of all turns of a small site."""
DIALOGUES = 10
RECOVERY_S = fleets.BOUNDS["recovery_s"]
ASK_S = 4.0


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
        self, path: str, program: str, body: bytes, previous: str | None = None
    ) -> tuple[str, wire.Answer]:
        """Send one turn to a node."""
        attempt_id = wire.new_id()
        headers = wire.turn_headers(attempt_id, program, previous=previous)
        node = self.random.choice(self.nodes)
        answer = await wire.request(node, fleets.FRONT_PORT, "POST", path, headers, body)
        return attempt_id, answer

    async def turn_answered(
        self, path: str, program: str, body: bytes, previous: str | None = None
    ) -> str:
        """Send a turn, up to three times, until it is answered whole; return its id."""
        for _ in range(3):
            attempt_id, answer = await self.turn(path, program, body, previous)
            if answer.status == 200 and answer.is_whole:
                return attempt_id
            await asyncio.sleep(0.3)
        raise RuntimeError(f"no answer before the fault: {answer.status} {answer.body[:80]!r}")

    async def bring_up(self) -> None:
        """Start everything and put a configuration in force."""
        for engine in self.engines:
            await engine.server.start()
        await self.platform.server.start()
        self.fleet.start_all()
        document = wire.configuration(
            3,
            [
                wire.stream_route("kept", "/kept/", retained=True, resumable=False),
                wire.stream_route("plain", "/plain/", retained=False, resumable=True),
            ],
        )
        if not await wire.put_configuration(self.controls, fleets.CONTROL_PORT, document):
            raise RuntimeError("the configuration was not taken")
        if not await wire.wait_ready(self.nodes, fleets.READINESS_PORT, 20.0):
            raise RuntimeError("the nodes are not ready")
        self.fleet.keep_running(self.record)
        self.record.write("all nodes are ready")

    async def small_turns(self) -> None:
        """Send the turns of other programs."""
        served = 0

        async def send(number: int) -> None:
            nonlocal served
            _, answer = await self.turn("/plain/x", f"small-{number}", b"question")
            served += answer.status == 200

        began_at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for number in range(SMALL_TURNS):
                await asyncio.sleep(began_at + number / SMALL_TURNS_PER_S - time.monotonic())
                tasks.create_task(send(number))
        self.record.write(f"small turns: sent {SMALL_TURNS}, answered whole {served}")

    async def run(self) -> int:
        """Run the case; return the exit status."""
        await self.bring_up()
        for number in range(LARGE_TURNS):
            body = self.random.randbytes(LARGE_BYTES // 2).hex().encode()
            await self.turn_answered("/kept/x", f"large-{number}", body)
        self.record.write(f"{LARGE_TURNS} turns of {LARGE_BYTES} bytes were answered whole")
        await self.small_turns()
        dialogues = {
            f"dialogue-{n}": await self.turn_answered("/kept/x", f"dialogue-{n}", b"first question")
            for n in range(DIALOGUES)
        }
        answered_at = time.monotonic()
        self.record.write(f"first turns of {DIALOGUES} dialogues were answered whole")
        peak = [f"{m.name} {m.peak_memory_mb():.0f} MB" for m in self.fleet.of("store")]
        self.record.write("largest memory: " + ", ".join(peak))
        if TROUBLE:
            await self.fleet.stop_restarting()
            self.fleet.kill_all()
            self.record.write("all processes were killed")
            await asyncio.sleep(0.7)
            self.fleet.start_all()
            self.fleet.keep_running(self.record)
            self.record.write("all processes were started again; disks are as they were")
        back_at = time.monotonic()
        return await self.ask(dialogues, back_at, answered_at)

    async def ask(self, dialogues: dict[str, str], back_at: float, answered_at: float) -> int:
        """Go on with the dialogues until the recovery time is over and for some seconds more."""
        judged: dict[str, int] = {}
        reached = dict.fromkeys(dialogues, 0)
        while time.monotonic() < back_at + RECOVERY_S + ASK_S:
            is_judged = time.monotonic() >= back_at + RECOVERY_S
            for program, previous in dialogues.items():
                attempt_id, answer = await self.turn("/kept/x", program, b"second", previous)
                ran = [
                    run for e in self.engines for run in e.runs if run.attempt_id == attempt_id
                ]
                if is_judged:
                    kind = f"{answer.status or answer.error}"
                    judged[kind] = judged.get(kind, 0) + 1
                    reached[program] += len(ran)
                    self.record.write(
                        f"{program} goes on from {previous} ({time.monotonic() - answered_at:.1f} s"
                        f" old): status {answer.status} {answer.body[:60]!r}, runs {len(ran)},"
                        f" engines busy {sum(e.busy for e in self.engines)}"
                    )
                    expected = b"first question" + self.engines[0].output_of(previous) + b"second"
                    if ran and ran[0].body != expected:
                        self.record.write(f"UNASKED: the body that ran is {ran[0].body[:200]!r}")
                        return 1
            await asyncio.sleep(0.5)
        lost = [program for program, runs in reached.items() if runs == 0]
        self.record.write(f"answers after the recovery time: {judged}")
        self.record.write(f"dialogues of which no turn reached an engine: {len(lost)}")
        return 1 if lost else 0


async def main() -> int:
    """Run the case, and end all processes that it started."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        (Path(folder) / "data").mkdir()
        case = Case(Path(folder))
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
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
