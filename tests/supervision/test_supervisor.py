"""Tests that children restart by their rule and that persistent faults escalate."""

import unittest
from collections.abc import Awaitable, Callable

import anyio

from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.simulation.runner import run_simulation
from passlane.supervision.specification import ChildSpecification, RestartRule
from passlane.supervision.supervisor import Supervisor, TooManyRestartsError


def setUpModule() -> None:
    configure_logging(RingLog(max_lines=100))


class Child:
    """Fails or ends a number of times, then runs until cancelled."""

    def __init__(self, ends: int, *, fails: bool, run_s: float = 0.1) -> None:
        self.starts = 0
        self._ends = ends
        self._fails = fails
        self._run_s = run_s

    async def start(self) -> None:
        self.starts += 1
        await anyio.sleep(self._run_s)
        if self.starts <= self._ends:
            if self._fails:
                raise ValueError("a fault")
            return
        await anyio.sleep_forever()


def run_for(seconds: float, run: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        with anyio.move_on_after(seconds):
            await run()

    run_simulation(main, seed=3)


class SupervisorTest(unittest.TestCase):
    def start_count(self, child: Child, rule: RestartRule) -> int:
        specification = ChildSpecification("child", child.start, rule, max_restarts=3)
        run_for(60.0, Supervisor("root", [specification]).run)
        return child.starts

    def test_restarts_follow_the_rule(self) -> None:
        self.assertEqual(self.start_count(Child(2, fails=True), RestartRule.PERMANENT), 3)
        self.assertEqual(self.start_count(Child(2, fails=False), RestartRule.PERMANENT), 3)
        self.assertEqual(self.start_count(Child(2, fails=True), RestartRule.TRANSIENT), 3)
        self.assertEqual(self.start_count(Child(2, fails=False), RestartRule.TRANSIENT), 1)
        self.assertEqual(self.start_count(Child(2, fails=True), RestartRule.TEMPORARY), 1)

    def test_a_child_without_a_limit_is_restarted_each_time(self) -> None:
        child = Child(50, fails=True, run_s=0.0)
        run_for(200.0, Supervisor("root", [
            ChildSpecification("child", child.start, max_restarts=None)
        ]).run)  # fmt: skip
        self.assertEqual(child.starts, 51)

    def test_persistent_fault_is_reported_and_fails_the_parent(self) -> None:
        reported: list[str] = []

        async def record_failure(child: str) -> None:
            reported.append(child)

        stable = Child(0, fails=False)
        broken = ChildSpecification("broken", Child(99, fails=True).start, max_restarts=3)
        inner = Supervisor("inner", [broken], on_failure=record_failure)
        outer = Supervisor(
            "outer",
            [
                ChildSpecification("inner", inner.run, max_restarts=1),
                ChildSpecification("stable", stable.start),
            ],
            on_failure=record_failure,
        )
        with self.assertRaises(TooManyRestartsError) as caught:
            run_for(600.0, outer.run)
        self.assertEqual(caught.exception.child, "inner")
        self.assertEqual(reported, ["broken", "broken", "inner"])
        self.assertEqual(stable.starts, 1)

    def test_faults_outside_the_window_do_not_count(self) -> None:
        child = Child(50, fails=True, run_s=20.0)
        specification = ChildSpecification("child", child.start, max_restarts=3, window_s=30.0)
        run_for(3000.0, Supervisor("root", [specification]).run)
        self.assertEqual(child.starts, 51)


if __name__ == "__main__":
    unittest.main()
