"""Routes requests to handlers by method and path."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar
from urllib.parse import unquote

from passlane.errors import ErrorCode, PasslaneError

HandlerType = TypeVar("HandlerType")


@dataclass(frozen=True)
class RouteMatch(Generic[HandlerType]):
    """The handler of a request and its path parameters by name."""

    handler: HandlerType
    parameters: Mapping[str, str]


class PathRouter(Generic[HandlerType]):
    """Finds handlers by method and path.

    A pattern such as ``/v1/programs/{id}`` has path parameters in braces.
    """

    def __init__(self) -> None:
        self._routes: list[tuple[str, tuple[str, ...], HandlerType]] = []

    def add(self, method: str, pattern: str, handler: HandlerType) -> None:
        """Route requests of ``method`` whose path matches ``pattern`` to ``handler``."""
        self._routes.append((method, _parts(pattern), handler))

    def find(self, method: str, path: str) -> RouteMatch[HandlerType]:
        """Return the handler for a request; ``path`` is percent-encoded.

        The path parameters of the result are decoded.

        Raises
        ------
        PasslaneError
            ``NOT_FOUND`` if no pattern matches the path, ``METHOD_NOT_ALLOWED`` if a pattern
            matches but only with other methods.
        """
        path_matches = False
        for route_method, pattern, handler in self._routes:
            parameters = _match(pattern, _parts(path))
            if parameters is None:
                continue
            if route_method == method:
                return RouteMatch(handler=handler, parameters=parameters)
            path_matches = True
        if path_matches:
            raise PasslaneError(ErrorCode.METHOD_NOT_ALLOWED, f"{method} is not allowed here")
        raise PasslaneError(ErrorCode.NOT_FOUND, "no route matches this path")


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
