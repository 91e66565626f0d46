"""The one decoder that knows all message classes which this process has imported.

A process can only handle messages of classes that it imports, so no list of them is kept:
every class derived from ``Message`` in an imported module of this package is found by
itself. The decoder is made when it is first used, and made anew when a message of an
unknown class arrives after further modules were imported. So a process that starts pays
for no message that it never sees. The class name is the tag on the wire; two classes with
one name are refused.
"""

import functools
import operator
import sys
from types import ModuleType
from typing import Any

import msgspec

import passlane.messages
from passlane.messages.base import Message, message_decoder
from passlane.messages.raft import RaftMessage

_ABSTRACT_CLASSES = frozenset({Message, RaftMessage})
_PREFIX = f"{passlane.messages.__name__}."


class MessageRegistry:
    """Message classes of the modules imported so far, and their decoder."""

    def __init__(self) -> None:
        self._modules: frozenset[str] = frozenset()
        self._decoder = message_decoder(RaftMessage)

    def decode(self, body: bytes) -> Any:
        """Return the message that ``body`` holds; see ``decode_any_message``."""
        try:
            return self._decoder.decode(body)
        except msgspec.ValidationError:
            if not self._take_in_new_modules():
                raise
        return self._decoder.decode(body)

    def _take_in_new_modules(self) -> bool:
        """Make the decoder anew if modules were imported since; return whether it was."""
        modules = frozenset(name for name in sys.modules if name.startswith(_PREFIX))
        if modules == self._modules:
            return False
        classes = [found for name in sorted(modules) for found in _classes_in(sys.modules[name])]
        self._decoder = message_decoder(functools.reduce(operator.or_, classes))
        self._modules = modules
        return True


def _classes_in(module: ModuleType) -> list[type[Message]]:
    """Return the message classes that ``module`` itself defines."""
    return [
        value
        for value in vars(module).values()
        if isinstance(value, type)
        and issubclass(value, Message)
        and value not in _ABSTRACT_CLASSES
        and value.__module__ == module.__name__
    ]


_registry = MessageRegistry()


def decode_any_message(body: bytes) -> Any:
    """Return the message that ``body`` holds, of whichever imported class.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        When the bytes hold no known message.
    """
    return _registry.decode(body)
