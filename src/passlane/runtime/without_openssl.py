"""Keeps OpenSSL out of processes that do not use TLS, to save memory.

The event loop, HTTP and metrics libraries import ``ssl``, although they use it only for TLS,
and ``hashlib`` prefers OpenSSL to Python's own hashes. The event loop and ``hashlib`` work
without it; the other libraries import a placeholder module instead of ``ssl``.
"""

import importlib
import sys
from types import ModuleType
from typing import Any

TLS_MODULE = "ssl"
HASH_MODULE = "_hashlib"
LOOP_MODULE = "asyncio"


class TlsNotAvailableError(RuntimeError):
    """TLS was used in a process that was started without it.

    This is a programming error that never reaches a response, so it has no error code.
    """


class _PlaceholderError(Exception):
    """Placeholder for a class or constant of ``ssl`` in annotations, comparisons and handlers.

    It is an exception because some of the replaced classes are; it is never raised.
    """

    def __init__(self, *_arguments: Any, **_options: Any) -> None:
        raise TlsNotAvailableError("this process was started without TLS")


class _PlaceholderModule(ModuleType):
    """A module that creates a separate placeholder for each public name."""

    def __getattr__(self, name: str) -> type[_PlaceholderError]:
        if name.startswith("__"):
            raise AttributeError(name)
        placeholder = type(name, (_PlaceholderError,), {})
        setattr(self, name, placeholder)
        return placeholder


def leave_openssl_out() -> bool:
    """Prevent this process from loading OpenSSL; return whether that was possible.

    Must be called before ``asyncio``, ``ssl`` or ``hashlib`` is imported. Otherwise it does
    nothing and returns ``False``.
    """
    if not {TLS_MODULE, HASH_MODULE, LOOP_MODULE}.isdisjoint(sys.modules):
        return False
    # None makes the import fail, so that asyncio runs without TLS.
    sys.modules[TLS_MODULE] = sys.modules[HASH_MODULE] = None  # type: ignore[assignment]
    importlib.import_module(LOOP_MODULE)
    sys.modules[TLS_MODULE] = _PlaceholderModule(TLS_MODULE)
    return True
