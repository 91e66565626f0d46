"""An HTTP client that answers each request with the next scripted response."""

from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, field

import anyio

from passlane.runtime.interfaces import HttpConnectionError, HttpRequest


@dataclass
class ScriptedResponse:
    """A response of ``parts``: bytes to send, seconds to wait, or an error to raise.

    ``was_read_to_end`` tells whether the body was read to its end.
    """

    parts: list[bytes | float | HttpConnectionError]
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    was_read_to_end: bool = False

    async def chunks(self) -> AsyncIterator[bytes]:
        for part in self.parts:
            if isinstance(part, HttpConnectionError):
                raise part
            if isinstance(part, float):
                await anyio.sleep(part)
            else:
                yield part
        self.was_read_to_end = True


@dataclass
class ScriptedHttp:
    """Answers requests from ``script``, in order; an error in it is raised on connect."""

    script: list[ScriptedResponse | HttpConnectionError]
    requests: list[HttpRequest] = field(default_factory=list)

    @asynccontextmanager
    async def exchange(self, request: HttpRequest) -> AsyncIterator[ScriptedResponse]:
        self.requests.append(request)
        answer = self.script.pop(0)
        if isinstance(answer, HttpConnectionError):
            raise answer
        async with aclosing(answer.chunks()) as parts:
            answer.chunks = lambda: parts  # type: ignore[method-assign]
            yield answer
