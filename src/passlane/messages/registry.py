"""The decoder for all message classes that this process has imported.

The classes are those derived from ``Message`` in the imported modules of this package. The
decoder is built on first use, to keep the start of a process fast. It is rebuilt when a message
of an unknown class arrives after further modules were imported. The class name is the tag on
the wire, so two classes with the same name are an error.
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
    """The message classes of the imported modules, and their decoder."""

    def __init__(self) -> None:
        self._modules: frozenset[str] = frozenset()
        self._decoder = message_decoder(RaftMessage)

    def decode(self, body: bytes) -> Any:
        """Return the message encoded in ``body``; see ``decode_any_message``."""
        try:
            return self._decoder.decode(body)
        except msgspec.ValidationError:
            if not self._load_new_modules():
                raise
        return self._decoder.decode(body)

    def _load_new_modules(self) -> bool:
        """Rebuild the decoder if more modules were imported; return whether it was rebuilt."""
        modules = frozenset(name for name in sys.modules if name.startswith(_PREFIX))
        if modules == self._modules:
            return False
        classes = [found for name in sorted(modules) for found in _classes_in(sys.modules[name])]
        self._decoder = message_decoder(functools.reduce(operator.or_, classes))
        self._modules = modules
        return True


def _classes_in(module: ModuleType) -> list[type[Message]]:
    """Return the message classes that are defined in ``module``."""
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
    """Return the message encoded in ``body``, which may be of any imported class.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        When the bytes are not a valid message of an imported class.
    """
    return _registry.decode(body)
