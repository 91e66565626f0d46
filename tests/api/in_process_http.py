"""An HTTP client that passes requests directly to an ASGI application."""

from contextlib import asynccontextmanager
from dataclasses import dataclass

from passlane.runtime.interfaces import HttpConnectionError


@dataclass
class InProcessResponse:
    status: int
    headers: dict
    body: bytes

    async def chunks(self):
        yield self.body


class InProcessHttp:
    """Client of ``application``; the next ``lose_answers`` responses are lost.

    A request whose response is lost has run.
    """

    def __init__(self, application):
        self.application = application
        self.lose_answers = 0
        self.requests = 0

    @asynccontextmanager
    async def exchange(self, request):
        response = await self.fetch(
            request.method, request.path, dict(request.headers), request.body
        )
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise HttpConnectionError("the answer was lost", bytes_left=True)
        yield response

    async def fetch(self, method, path, headers, body=b""):
        self.requests += 1
        path, _, query = path.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        }
        sent = []

        async def receive():
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(event):
            sent.append(event)

        await self.application(scope, receive, send)
        head = {k.decode(): v.decode() for k, v in sent[0]["headers"]}
        whole = b"".join(event["body"] for event in sent[1:])
        return InProcessResponse(sent[0]["status"], head, whole)
