"""The packed form of a configuration for nodes: without the operator's document, and compressed.

For: a change is sent to all nodes at the same time. Encoding tens of kilobytes for each node would
delay the leader's heartbeats in the group on a small machine, so each version is encoded once.
Owns: the packed form of the newest configuration.
Relies on: nothing; no I/O.
"""

import zlib

import msgspec

from passlane.messages.routes import RouteConfiguration

_COMPRESSION_LEVEL = 6
"""Default level of zlib."""
_decoder = msgspec.msgpack.Decoder(RouteConfiguration)


def pack(configuration: RouteConfiguration) -> bytes:
    """Return the packed form of a configuration."""
    without_source = msgspec.structs.replace(configuration, source=b"")
    return zlib.compress(msgspec.msgpack.encode(without_source), _COMPRESSION_LEVEL)


def unpack(data: bytes) -> RouteConfiguration:
    """Return the unpacked configuration; its ``source`` is empty.

    Raises
    ------
    zlib.error, msgspec.DecodeError
        When the bytes cannot be decoded.
    """
    return _decoder.decode(zlib.decompress(data))


class PackedConfigurations:
    """Caches the packed form of the newest configuration."""

    def __init__(self) -> None:
        self._version = 0
        self._packed = b""

    def of(self, configuration: RouteConfiguration) -> bytes:
        """Return the packed form of a configuration, from the cache if the version is the same."""
        if configuration.version != self._version or not self._packed:
            self._packed = pack(configuration)
            self._version = configuration.version
        return self._packed
