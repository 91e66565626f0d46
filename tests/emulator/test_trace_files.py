"""Traces are read line by line, played in the order of their times, and only as far as known."""

import tempfile
import unittest
from pathlib import Path

from passlane.emulator.replay_schedule import dependent_chains, played_times
from passlane.emulator.trace_files import Trace, read_trace, without_partial_programs
from passlane.errors import PasslaneError

START = '{"type": "TraceStart", "format": 1, "name": "n", "deployment": "d"}'


def created(program: str, at_s: float, parent: str | None = None) -> str:
    extra = "" if parent is None else f', "parent": "{parent}"'
    return (
        f'{{"type": "ProgramCreated", "at_s": {at_s}, "tenant": "t",'
        f' "program": "{program}"{extra}}}'
    )


def called(program: str, at_s: float, sequence: int) -> str:
    return (
        f'{{"type": "CallMade", "at_s": {at_s}, "program": "{program}", "sequence": {sequence},'
        f' "kind": "tool", "target": "charge", "arguments": "{{}}"}}'
    )


def stated(program: str, sequence: int) -> str:
    return (
        f'{{"type": "CallOutcomeStated", "program": "{program}", "sequence": {sequence},'
        f' "verdict": "ran"}}'
    )


class TraceFilesTest(unittest.TestCase):
    def read(self, *lines: str) -> Trace:
        with tempfile.TemporaryDirectory(prefix="passlane-traces-") as folder:
            path = Path(folder) / "trace.jsonl"
            path.write_text("\n".join((START, *lines)))
            return read_trace(path)

    def test_programs_without_a_start_are_left_out_with_their_outcomes(self) -> None:
        trace = without_partial_programs(
            self.read(
                created("a", 0.0),
                called("a", 0.1, 0),
                called("b", 0.2, 7),
                stated("a", 0),
                stated("b", 7),
                '{"type": "MemoryStated", "held_programs": 0}',
            )
        )
        self.assertEqual([numbered.number for numbered in trace.actions], [2, 3])
        self.assertEqual([numbered.number for numbered in trace.outcomes], [5, 7])

    def test_program_and_sub_agent_are_one_chain_in_the_order_of_times(self) -> None:
        trace = self.read(
            created("a", 0.0),
            called("a", 0.5, 1),
            created("a-sub", 0.2, parent="a"),
            created("b", 0.0),
            called("a-sub", 0.3, 0),
        )
        chains = [[numbered.number for numbered in chain] for chain in self.chains(trace)]
        self.assertEqual(sorted(chains), [[2, 4, 6, 3], [5]])

    def test_sub_agent_of_an_unknown_parent_is_a_chain_of_its_own(self) -> None:
        trace = self.read(created("a-sub", 0.0, parent="a"), called("a-sub", 0.1, 0))
        self.assertEqual(len(self.chains(trace)), 1)

    def test_long_gaps_are_cut_and_short_ones_kept(self) -> None:
        trace = self.read(created("a", 0.0), called("a", 1.0, 0), called("a", 500.0, 1))
        self.assertEqual(played_times(trace.actions, 2.0), {2: 0.0, 3: 1.0, 4: 3.0})

    def test_fault_in_a_line_is_named_with_its_number(self) -> None:
        with self.assertRaisesRegex(PasslaneError, r"trace.jsonl:3: "):
            self.read(created("a", 0.0), '{"type": "CallMade"}')

    def test_file_of_another_format_is_refused(self) -> None:
        with tempfile.TemporaryDirectory(prefix="passlane-traces-") as folder:
            path = Path(folder) / "trace.jsonl"
            path.write_text(START.replace('"format": 1', '"format": 99'))
            with self.assertRaisesRegex(PasslaneError, "expected a TraceStart of format 1"):
                read_trace(path)

    def chains(self, trace: Trace) -> list:
        return dependent_chains(trace.actions)


if __name__ == "__main__":
    unittest.main()
