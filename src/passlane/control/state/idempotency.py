"""Idempotency keys of commands and their results, as part of the replicated state.

A repeated command gets the result of the first one.
"""

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

MAX_RETAINED_KEYS = 20_000
"""Maximum number of retained commands."""

KeyedCommand = PutDocument | WithdrawChange
KeyedResult = PutResult | VersionConflict | ControlRefusal


class RetainedCommand(msgspec.Struct, frozen=True, gc=False):
    """An applied command: its key, a digest of the request, and its result."""

    key: str
    digest: bytes
    result: KeyedResult


class IdempotencyTable:
    """The newest commands by key; beyond ``retained_keys`` the oldest is evicted.

    The limit is a number of commands, not a time, so that all replicas evict the same ones.
    """

    def __init__(self, retained_keys: int = MAX_RETAINED_KEYS) -> None:
        self._retained_keys = retained_keys
        self._commands: dict[str, RetainedCommand] = {}

    def find(self, key: str) -> RetainedCommand | None:
        """Return the command with ``key``, or ``None`` if it is not retained."""
        return self._commands.get(key)

    def record(self, command: KeyedCommand, result: KeyedResult) -> None:
        """Record the result of a command.

        The body of a document is omitted, because a resend contains it.
        """
        if isinstance(command, PutDocument):
            result = _without_body(result)
        retained = RetainedCommand(command.idempotency_key, digest_of(command), result)
        self._commands[command.idempotency_key] = retained
        while len(self._commands) > self._retained_keys:
            del self._commands[next(iter(self._commands))]

    def dump(self) -> tuple[RetainedCommand, ...]:
        """Return all retained commands, oldest first."""
        return tuple(self._commands.values())

    def load(self, commands: tuple[RetainedCommand, ...]) -> None:
        """Replace the retained commands with ``commands``, a result of ``dump``."""
        self._commands = {command.key: command for command in commands}


def digest_of(command: KeyedCommand) -> bytes:
    """Return a digest of the encoded command."""
    return xxhash.xxh3_128_digest(encode_message(command))


def repeated_result(retained: RetainedCommand, command: KeyedCommand) -> KeyedResult:
    """Return the first result for the repeated ``command``."""
    result = retained.result
    if isinstance(command, PutDocument) and isinstance(result, PutResult):
        return PutResult(document=msgspec.structs.replace(result.document, body=command.body))
    return result


def _without_body(result: KeyedResult) -> KeyedResult:
    if isinstance(result, PutResult):
        return PutResult(document=_strip_body(result.document))
    if isinstance(result, VersionConflict):
        return msgspec.structs.replace(result, current=None)
    return result


def _strip_body(document: Document) -> Document:
    return msgspec.structs.replace(document, body=None)
