"""Replaces parts of the product for the length of one run, to seed a defect."""

from collections.abc import Iterable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock


@dataclass(frozen=True)
class Replacement:
    """A class's or module's attribute, and what is put in its place."""

    owner: Any
    attribute: str
    value: Any


@contextmanager
def replaced(replacements: Iterable[Replacement]) -> Iterator[None]:
    """Put all replacements in place, and the originals back on leaving."""
    with ExitStack() as stack:
        for one in replacements:
            # A name that the product no longer has raises AttributeError.
            stack.enter_context(mock.patch.object(one.owner, one.attribute, one.value))
        yield
