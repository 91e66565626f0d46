"""Packages of which a process uses some modules, but not what their ``__init__`` imports."""

import importlib.util
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType


def skip_initialization(package: str) -> ModuleType:
    """Let modules of a package be imported without running its ``__init__``.

    Returns
    -------
    ModuleType
        The package. Names that its ``__init__`` would have offered are missing, unless it
        had been imported before.
    """
    if package in sys.modules:
        return sys.modules[package]
    specification = importlib.util.find_spec(package)
    if specification is None:
        raise ModuleNotFoundError(package)
    sys.modules[package] = importlib.util.module_from_spec(specification)
    return sys.modules[package]


@contextmanager
def initialization_skipped(*packages: str) -> Iterator[None]:
    """Let modules of packages be imported inside without running what these import.

    Whoever imports such a package itself later gets it whole, with the same modules.
    """
    skipped = [package for package in packages if package not in sys.modules]
    for package in skipped:
        skip_initialization(package)
    try:
        yield
    finally:
        for package in skipped:
            del sys.modules[package]
