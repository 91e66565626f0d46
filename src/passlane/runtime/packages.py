"""Imports modules of packages without running the packages' ``__init__``."""

import importlib.util
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType


def skip_initialization(package: str) -> ModuleType:
    """Register a package so that its modules can be imported without its ``__init__``.

    Returns
    -------
    ModuleType
        The package, without the names that its ``__init__`` defines, unless it was
        imported before.
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
    """Skip the ``__init__`` of packages for imports inside the context.

    A later import of such a package runs its ``__init__`` and reuses the loaded modules.
    """
    skipped = [package for package in packages if package not in sys.modules]
    for package in skipped:
        skip_initialization(package)
    try:
        yield
    finally:
        for package in skipped:
            del sys.modules[package]
