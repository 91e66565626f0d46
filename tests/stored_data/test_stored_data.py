"""What earlier replicas have on their disks is read, and means what it meant.

The files in ``kept`` are never made anew: a failure here means that replicas which are
updated would lose or misread what they hold. See ``write_files.py``.
"""

import shutil
import tempfile
import unittest
from pathlib import Path
from typing import Any

import anyio
import msgspec
from structlog.testing import capture_logs

from stored_data.replicas import (
    FILES,
    KEPT,
    KINDS,
    Expectation,
    ReplicaKind,
    read_expectation,
    running,
)


def decoded(parts: list[bytes]) -> list[Any]:
    """Return encoded values as data, which shows a difference better than bytes."""
    return [msgspec.msgpack.decode(part) for part in parts]


class KeptFilesTest(unittest.TestCase):
    """Replicas that start on the kept files."""

    maxDiff = None

    def test_a_replica_recovers_the_state_that_was_stored(self) -> None:
        for kind in KINDS:
            with self.subTest(kind.name), self._copy(kind) as folder:
                anyio.run(self._check_start, kind, folder, read_expectation(kind).heard)

    def test_a_replica_that_has_written_on_recovers_it_again(self) -> None:
        for kind in KINDS:
            with self.subTest(kind.name), self._copy(kind) as folder:
                heard = read_expectation(kind).heard
                anyio.run(self._check_start, kind, folder, heard)
                anyio.run(self._check_start, kind, folder, heard)

    def test_each_kind_of_command_is_in_the_log_behind_the_snapshot(self) -> None:
        for kind in KINDS:
            with self.subTest(kind.name):
                folder = KEPT / kind.name / FILES / kind.folder / "0001"
                self.assertTrue((folder / "snapshot").is_file())
                self.assertFalse((folder / "segment-0000000001").exists())
                log = b"".join(path.read_bytes() for path in folder.glob("segment-*"))
                commands = read_expectation(kind).commands
                logged = [command for command in commands if command in log]
                self.assertEqual(_tags(commands), _tags(logged))

    def _copy(self, kind: ReplicaKind) -> "tempfile.TemporaryDirectory[str]":
        folder = tempfile.TemporaryDirectory()
        shutil.copytree(KEPT / kind.name / FILES, folder.name, dirs_exist_ok=True)
        return folder

    async def _check_start(self, kind: ReplicaKind, folder: str, heard: list[bytes]) -> None:
        expected = read_expectation(kind)
        with capture_logs():
            async with running(kind, Path(folder)) as replica:
                self.assertEqual(decoded(expected.state), decoded(replica.state()))
                self.assertEqual(expected.state, replica.state())
                self.assertEqual(decoded(heard), decoded(replica.heard))
                self.assertEqual(expected.replica_id, replica.host.replica_id)
                members = msgspec.to_builtins(replica.host.members)
                self.assertEqual(expected.members, list(members))


class KeptCommandsTest(unittest.TestCase):
    """Machines that apply all kept commands from the beginning."""

    maxDiff = None

    def test_each_command_has_the_result_that_it_had(self) -> None:
        for kind in KINDS:
            with self.subTest(kind.name):
                self._check_commands(kind, read_expectation(kind))

    def _check_commands(self, kind: ReplicaKind, expected: Expectation) -> None:
        machine = kind.make_machine([])
        pairs = zip(expected.commands, expected.results, strict=True)
        for index, (command, result) in enumerate(pairs, start=1):
            given = machine.apply(index, command)
            self.assertEqual(decoded([result]), decoded([given]), f"command {index}")
            self.assertEqual(result, given, f"command {index}")
        self.assertEqual(expected.state, list(machine.snapshot_parts()))


def _tags(commands: list[bytes]) -> set[str]:
    return {command["type"] for command in decoded(commands)}


if __name__ == "__main__":
    unittest.main()
