"""Finds the handler of a request by its method and path."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar
from urllib.parse import unquote

from passlane.errors import ErrorCode, PasslaneError

HandlerType = TypeVar("HandlerType")


@dataclass(frozen=True)
class RouteMatch(Generic[HandlerType]):
    """The handler of a request and the variable parts of its path, by name."""

    handler: HandlerType
    parameters: Mapping[str, str]


class PathRouter(Generic[HandlerType]):
    """Finds handlers by method and path. Patterns look like ``/v1/programs/{id}``."""

    def __init__(self) -> None:
        self._routes: list[tuple[str, tuple[str, ...], HandlerType]] = []

    def add(self, method: str, pattern: str, handler: HandlerType) -> None:
        """Route requests of ``method`` whose path fits ``pattern`` to ``handler``."""
        self._routes.append((method, _parts(pattern), handler))

    def find(self, method: str, path: str) -> RouteMatch[HandlerType]:
        """Return the handler for a request whose ``path`` is as ``request_path`` gives it.

        Parameters come decoded.

        Raises
        ------
        PasslaneError
            ``NOT_FOUND`` for an unknown path, ``METHOD_NOT_ALLOWED`` for a known one.
        """
        path_is_known = False
        for route_method, pattern, handler in self._routes:
            parameters = _match(pattern, _parts(path))
            if parameters is None:
                continue
            if route_method == method:
                return RouteMatch(handler=handler, parameters=parameters)
            path_is_known = True
        if path_is_known:
            raise PasslaneError(ErrorCode.METHOD_NOT_ALLOWED, f"{method} is not offered here")
        raise PasslaneError(ErrorCode.NOT_FOUND, "there is nothing at this path")


def _parts(path: str) -> tuple[str, ...]:
    return tuple(path.strip("/").split("/"))


def _match(pattern: tuple[str, ...], parts: tuple[str, ...]) -> dict[str, str] | None:
    if len(pattern) != len(parts):
        return None
    parameters: dict[str, str] = {}
    for expected, part in zip(pattern, parts, strict=True):
        if expected.startswith("{"):
            parameters[expected[1:-1]] = unquote(part)
        elif expected != part:
            return None
    return parameters
