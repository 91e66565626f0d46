"""The state machine that the simulated Raft group replicates."""

import google_crc32c
import msgspec


class CommandLog:
    """State machine of the simulation: each command once, in order, and a digest."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []
        self.known: set[bytes] = set()
        self.digest = 0

    def apply(self, command: bytes) -> None:
        """Add a command unless it is there already."""
        if command in self.known:
            return
        self.known.add(command)
        self.commands.append(command)
        self.digest = google_crc32c.extend(self.digest, command)

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(self.commands)

    @classmethod
    def from_snapshot(cls, data: bytes) -> "CommandLog":
        """Return the state that a snapshot holds."""
        machine = cls()
        for command in msgspec.msgpack.decode(data, type=list[bytes]):
            machine.apply(command)
        return machine
