"""Remembers commands by their idempotency keys, as part of the replicated state."""

import msgspec
import xxhash

from passlane.messages.base import encode_message
from passlane.messages.control import (
    ControlRefusal,
    Document,
    PutDocument,
    PutResult,
    VersionConflict,
    WithdrawChange,
)

RETAINED_KEYS = 20_000
"""Commands remembered; two days' worth at 9,500 changes a day."""

KeyedCommand = PutDocument | WithdrawChange
KeyedResult = PutResult | VersionConflict | ControlRefusal


class RememberedCommand(msgspec.Struct, frozen=True, gc=False):
    """A command that was answered: its key, what it asked for, and the answer."""

    key: str
    digest: bytes
    result: KeyedResult


class IdempotencyTable:
    """The newest commands by key; the oldest is forgotten beyond ``retained_keys``.

    The bound counts commands, not seconds, so that every replica forgets the same ones.
    """

    def __init__(self, retained_keys: int = RETAINED_KEYS) -> None:
        self._retained_keys = retained_keys
        self._commands: dict[str, RememberedCommand] = {}

    def find(self, key: str) -> RememberedCommand | None:
        """Return the command that carried ``key``, if it is still remembered."""
        return self._commands.get(key)

    def remember(self, command: KeyedCommand, result: KeyedResult) -> None:
        """Record the answer to a command.

        The body of a put is left out; a resend brings it along.
        """
        if isinstance(command, PutDocument):
            result = _without_body(result)
        remembered = RememberedCommand(command.idempotency_key, digest_of(command), result)
        self._commands[command.idempotency_key] = remembered
        while len(self._commands) > self._retained_keys:
            del self._commands[next(iter(self._commands))]

    def dump(self) -> tuple[RememberedCommand, ...]:
        """Return all that is remembered, oldest first."""
        return tuple(self._commands.values())

    def load(self, commands: tuple[RememberedCommand, ...]) -> None:
        """Replace everything by what ``dump`` returned."""
        self._commands = {command.key: command for command in commands}


def digest_of(command: KeyedCommand) -> bytes:
    """Return a digest of what a command asks for."""
    return xxhash.xxh3_128_digest(encode_message(command))


def answer_again(remembered: RememberedCommand, command: KeyedCommand) -> KeyedResult:
    """Return the first answer to ``command``, which was sent again."""
    result = remembered.result
    if isinstance(command, PutDocument) and isinstance(result, PutResult):
        return PutResult(document=msgspec.structs.replace(result.document, body=command.body))
    return result


def _without_body(result: KeyedResult) -> KeyedResult:
    if isinstance(result, PutResult):
        return PutResult(document=_strip(result.document))
    if isinstance(result, VersionConflict):
        return msgspec.structs.replace(result, current=None)
    return result


def _strip(document: Document) -> Document:
    return msgspec.structs.replace(document, body=None)
