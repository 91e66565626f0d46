"""Wrote the files in ``kept``; runs on the source of one commit only, and never overwrites.

    .venv/bin/python tests/stored_data/write_files.py

The files are never made anew, not even when a test of stored data fails: they are what
replicas have on their disks. To add a kind of replica or command, add a folder beside them.
"""

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import anyio
import msgspec

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from passlane.messages.base import encode_message
from passlane.messages.control import ControlCommand
from passlane.messages.fleet import ForbidReplica, FoundStoreGroup
from passlane.messages.routes import ReplaceConfiguration
from passlane.messages.store import StoreCommand
from passlane.messages.turns import TurnCommand
from stored_data.commands import ROUNDS, Command
from stored_data.replicas import (
    EXPECTATION,
    FILES,
    KEPT,
    Expectation,
    ReplicaKind,
    running,
    until,
)
from stored_data.replicas import KINDS as REPLICA_KINDS

WRITER = "b665123"
"""The commit whose source may write."""
REPOSITORY = Path(__file__).resolve().parents[2]
MOST_SEGMENTS_BEHIND_SNAPSHOT = 2
NOT_STORED = frozenset({"quota", "demand", "outcome"})
"""Fields of the commands of turns that are dropped before a command is replicated."""

COMMANDS: dict[str, Any] = {
    "led_control": ControlCommand,
    "led_store": StoreCommand,
    "relayed_control": ReplaceConfiguration | FoundStoreGroup | ForbidReplica,
    "relayed_store": TurnCommand,
}


def require_source_of_writer() -> None:
    """Leave unless the source is that of ``WRITER``."""
    changed = subprocess.run(["git", "diff", "--quiet", WRITER, "--", "src"], cwd=REPOSITORY)
    if changed.returncode != 0:
        sys.exit(f"nothing written: the source is not that of {WRITER}")


def encode_commands(kind: ReplicaKind, commands: list[Command]) -> list[bytes]:
    """Return the commands as the product encodes them."""
    decoder = msgspec.msgpack.Decoder(COMMANDS[kind.name])
    return [encode_message(decoder.decode(msgspec.msgpack.encode(data))) for data in commands]


def require_all_kinds(kind: ReplicaKind, commands: list[bytes]) -> None:
    """Leave unless each command and each of its stored fields is there."""
    seen: dict[str, set[str]] = {}
    for data in map(msgspec.msgpack.decode, commands):
        seen.setdefault(data.pop("type"), set()).update(data)
    for wanted in msgspec.inspect.type_info(COMMANDS[kind.name]).types:
        fields = {field.encode_name for field in wanted.fields}
        is_turn = kind.name == "relayed_store"
        missing = fields - seen.get(wanted.tag, set()) - (NOT_STORED if is_turn else set())
        if wanted.tag not in seen or missing:
            sys.exit(f"{kind.name}: {wanted.tag} lacks {missing or 'everything'}")


def is_compacted(files: Path) -> bool:
    """Whether there is a snapshot, and the log before it is gone."""
    has_snapshot = bool(list(files.glob("*/*/snapshot")))
    return has_snapshot and len(list(files.glob("*/*/segment-*"))) <= MOST_SEGMENTS_BEHIND_SNAPSHOT


async def write_files(kind: ReplicaKind, folder: Path) -> None:
    """Write the files of one kind of replica, and what is to be expected of them."""
    first, second = (encode_commands(kind, commands) for commands in ROUNDS[kind.name])
    for commands in (first, second):
        require_all_kinds(kind, commands)
    files = folder / FILES
    async with running(kind, files, snapshot_every=len(first)) as replica:
        results = [await replica.host.propose(command) for command in first]
        await until(lambda: is_compacted(files))
    async with running(kind, files) as replica:
        results += [await replica.host.propose(command) for command in second]
        state = replica.state()
    remove_reserves(files)
    await write_expectation(kind, folder, first + second, results, state)


async def write_expectation(
    kind: ReplicaKind,
    folder: Path,
    commands: list[bytes],
    results: list[bytes],
    state: list[bytes],
) -> None:
    """Write what a replica says that starts on the files."""
    with tempfile.TemporaryDirectory() as copy:
        shutil.copytree(folder / FILES, copy, dirs_exist_ok=True)
        async with running(kind, Path(copy)) as replica:
            if replica.state() != state:
                sys.exit(f"{kind.name}: the recovered state differs")
            expectation = Expectation(
                replica_id=str(replica.host.replica_id),
                members=msgspec.to_builtins(replica.host.members),
                commands=commands,
                results=results,
                state=state,
                heard=replica.heard,
            )
    text = msgspec.json.format(msgspec.json.encode(expectation), indent=1)
    (folder / EXPECTATION).write_bytes(text + b"\n")


def remove_reserves(folder: Path) -> None:
    """Remove the files that only set space aside; a replica makes them again."""
    for reserve in folder.glob("*/*/reserve"):
        reserve.unlink()


def main() -> None:
    """Write the files of all kinds of replicas."""
    require_source_of_writer()
    if KEPT.exists():
        sys.exit(f"nothing written: {KEPT} is there, and kept files are never made anew")
    for kind in REPLICA_KINDS:
        anyio.run(write_files, kind, KEPT / kind.name)


if __name__ == "__main__":
    main()
