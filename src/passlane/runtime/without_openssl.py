"""Keeps OpenSSL out of processes that neither speak TLS nor hash by it.

The libraries of HTTP, metrics and the loop import ``ssl`` though they use it for TLS only, and
``hashlib`` prefers OpenSSL to what Python brings itself. Together that is a sixth of a node's
memory. The loop and ``hashlib`` can do without; for the others a module with the names
of ``ssl`` stands in.
"""

import importlib
import sys
from types import ModuleType
from typing import Any

TLS_MODULE = "ssl"
HASH_MODULE = "_hashlib"
LOOP_MODULE = "asyncio"


class TlsNotAvailableError(RuntimeError):
    """Something asked for TLS in a process that was started without it.

    A fault of the code, which no request is answered with: it has no code of the errors.
    """


class _PlaceholderError(Exception):
    """Stands for a class or constant: may be named in annotations, compared and caught.

    An exception only because some of the names that it stands for are; it is never raised.
    """

    def __init__(self, *_arguments: Any, **_options: Any) -> None:
        raise TlsNotAvailableError("this process was started without TLS")


class _NoTls(ModuleType):
    """A module of which each public name is a placeholder of its own."""

    def __getattr__(self, name: str) -> type[_PlaceholderError]:
        if name.startswith("__"):
            raise AttributeError(name)
        made = type(name, (_PlaceholderError,), {})
        setattr(self, name, made)
        return made


def leave_openssl_out() -> bool:
    """Have this process run without OpenSSL; return whether that was possible.

    To be called before anything imports the loop, ``ssl`` or ``hashlib``; once one of them is
    there, nothing is done.
    """
    if not {TLS_MODULE, HASH_MODULE, LOOP_MODULE}.isdisjoint(sys.modules):
        return False
    # None stands for what can't be imported: the loop then knows that there is no TLS.
    sys.modules[TLS_MODULE] = sys.modules[HASH_MODULE] = None  # type: ignore[assignment]
    importlib.import_module(LOOP_MODULE)
    sys.modules[TLS_MODULE] = _NoTls(TLS_MODULE)
    return True
