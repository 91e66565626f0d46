"""A proxy of bytes on loopback before a back end: passes, delays, resets, stands still."""

import socket
import struct
from enum import StrEnum

import anyio
from anyio.abc import SocketAttribute, SocketStream

from passlane.messages.common import Address
from passlane.observability.logging import get_logger

DELAY_S = 0.15
BUFFER_BYTES = 65_536
"""Bytes of an answer that the kernel may hold on each part of its way, about."""
_RESET_AT_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with no time: closing the socket resets its connection."""

_log = get_logger(__name__)


class ProxyMode(StrEnum):
    """What becomes of bytes.

    ``SILENT`` takes them and holds them; ``NOT_READING`` leaves what the caller sends in the
    connection's buffers. Both let go of all bytes when the mode ends.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    NOT_READING = "not_reading"


class FaultyProxy:
    """Passes connections on to a target.

    Attributes
    ----------
    name, address
        What it stands before, and where it listens.

    Parameters
    ----------
    target
        Where connections lead.
    """

    def __init__(self, name: str, address: Address, target: Address) -> None:
        self.name = name
        self.address = address
        self._target = target
        self._mode = ProxyMode.PASS
        self._mode_ended = anyio.Event()
        self._connections: dict[SocketStream, anyio.CancelScope] = {}
        self._may_listen = anyio.Event()
        self._may_listen.set()
        self._listening: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Serve until cancelled, but for times in which connections are refused."""
        while True:
            await self._may_listen.wait()
            listener = await anyio.create_tcp_listener(
                local_host=self.address.host, local_port=self.address.port
            )
            async with anyio.create_task_group() as connections:
                async with listener:
                    with anyio.CancelScope() as self._listening:
                        await listener.serve(self._serve, connections)
                connections.cancel_scope.cancel()

    def stop_listening(self) -> None:
        """Refuse new connections and close all others, as if the back end's process had ended."""
        self._may_listen = anyio.Event()
        if self._listening is not None:
            self._listening.cancel()

    def listen_again(self) -> None:
        """Accept connections again."""
        self._may_listen.set()

    def set_mode(self, mode: ProxyMode) -> None:
        """Treat all bytes from now on by a mode."""
        self._mode = mode
        self._mode_ended.set()
        self._mode_ended = anyio.Event()

    def reset_all(self) -> None:
        """Reset the connections that are open now."""
        for connection, scope in self._connections.items():
            raw = connection.extra(SocketAttribute.raw_socket)
            # One that has been closed stays here until its task ends.
            if raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
            scope.cancel()

    async def _serve(self, caller: SocketStream) -> None:
        try:
            target = await anyio.connect_tcp(self._target.host, self._target.port)
        except OSError as error:
            _log.info("proxy_target_not_reached", target=str(self._target), error=str(error))
            await anyio.aclose_forcefully(caller)
            return
        _bound_buffer(target, socket.SO_RCVBUF)
        _bound_buffer(caller, socket.SO_SNDBUF)
        try:
            async with anyio.create_task_group() as tasks:
                self._connections[caller] = tasks.cancel_scope
                tasks.start_soon(self._pump, caller, target, True)
                await self._pump(target, caller, False)
                tasks.cancel_scope.cancel()
        finally:
            self._connections.pop(caller, None)
            # A cancelled scope would end the first of these before the second.
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(target)
                await anyio.aclose_forcefully(caller)

    async def _pump(self, source: SocketStream, sink: SocketStream, is_request: bool) -> None:
        """Pass bytes on in one direction until either side has closed."""
        try:
            while True:
                while is_request and self._mode is ProxyMode.NOT_READING:
                    await self._mode_ended.wait()
                try:
                    data = await source.receive()
                except anyio.EndOfStream:
                    await sink.send_eof()
                    return
                await self._hold()
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
            _log.info("proxy_connection_ended", target=str(self._target), error=repr(error))

    async def _hold(self) -> None:
        if self._mode is ProxyMode.DELAY:
            await anyio.sleep(DELAY_S)
        while self._mode is ProxyMode.SILENT:
            await self._mode_ended.wait()


def _bound_buffer(stream: SocketStream, direction: int) -> None:
    """Let the kernel hold few bytes, so that what a back end has sent is what its caller has."""
    raw = stream.extra(SocketAttribute.raw_socket)
    if raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, direction, BUFFER_BYTES)
