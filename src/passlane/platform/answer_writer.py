"""Writes answers to the platform's clients over ASGI."""

from collections.abc import Callable, Sequence

import msgspec

from passlane.api.asgi import Send
from passlane.decisions.inputs.relayed_call import Header
from passlane.relay.backends import CLIENT_LEFT

_encoder = msgspec.json.Encoder()


class _Refusal(msgspec.Struct, frozen=True):
    """Body of an answer that passlane generates itself."""

    reason: str


class AsgiAnswerWriter:
    """Implements ``relay.backends.AnswerWriter``.

    Attributes
    ----------
    is_abandoned
        Whether the client's connection has ended.
    abandon_reason
        Reason for its end; meaningful only if ``is_abandoned``.

    Parameters
    ----------
    must_close
        Returns whether answers must close the connection, so that the client reconnects.
    """

    def __init__(self, send: Send, must_close: Callable[[], bool]) -> None:
        self._send = send
        self._must_close = must_close
        self._is_finished = False
        self._status = 0
        self.is_abandoned = False
        self.abandon_reason = CLIENT_LEFT

    @property
    def has_started(self) -> bool:
        """Whether the head has been written."""
        return self._status != 0

    @property
    def status(self) -> int:
        """Status of the head; 0 before it is written."""
        return self._status

    @property
    def is_finished(self) -> bool:
        """Whether the whole answer has been written."""
        return self._is_finished

    async def start(self, status: int, headers: Sequence[Header], length: int | None) -> None:
        """Write the head; without a length the body is sent in chunks."""
        encoded = [
            (header.name.encode("latin-1"), header.value.encode("latin-1")) for header in headers
        ]
        if length is not None:
            encoded.append((b"content-length", str(length).encode("ascii")))
        if self._must_close():
            encoded.append((b"connection", b"close"))
        self._status = status
        await self._send({"type": "http.response.start", "status": status, "headers": encoded})

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if data:
            await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self) -> None:
        """End the body."""
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})
        self._is_finished = True

    async def refuse(self, status: int, reason: str, retry_after_s: float | None) -> None:
        """Write a complete answer that passlane generates itself.

        ``retry_after_s`` is in seconds.
        """
        body = _encoder.encode(_Refusal(reason))
        headers = [Header("content-type", "application/json")]
        if retry_after_s is not None:
            headers.append(Header("retry-after", f"{retry_after_s:g}"))
        await self.start(status, headers, len(body))
        await self.write(body)
        await self.finish()
