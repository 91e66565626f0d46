"""All message classes, and the one decoder that knows them.

Every class derived from ``Message`` in a module of this package is found by
itself, so a new message needs no entry in a list. The class name is the tag on the
wire; two classes with one name are refused when this module is imported.
"""

import functools
import importlib
import operator
import pkgutil
from types import ModuleType
from typing import Any

import passlane.messages
from passlane.messages.base import Message, message_decoder
from passlane.messages.raft import RaftMessage

_ABSTRACT_CLASSES = frozenset({Message, RaftMessage})
_THIS_MODULE = __name__


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


def _all_classes() -> tuple[type[Message], ...]:
    """Return the message classes of every module in ``passlane.messages``."""
    classes: list[type[Message]] = []
    for entry in pkgutil.iter_modules(passlane.messages.__path__):
        name = f"{passlane.messages.__name__}.{entry.name}"
        if name != _THIS_MODULE:
            classes.extend(_classes_in(importlib.import_module(name)))
    return tuple(classes)


MESSAGE_CLASSES: tuple[type[Message], ...] = _all_classes()
"""Every concrete message class."""

_decoder = message_decoder(functools.reduce(operator.or_, MESSAGE_CLASSES))


def decode_any_message(body: bytes) -> Any:
    """Return the message that ``body`` holds, of whichever class.

    Raises
    ------
    msgspec.ValidationError, msgspec.DecodeError
        When the bytes hold no known message.
    """
    return _decoder.decode(body)
