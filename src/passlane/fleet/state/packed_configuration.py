"""A configuration as it travels to nodes: without the operator's document, and compressed.

For: a change goes to every node at the same moment. Encoding it for each of them, at some
tens of kilobytes, kept the leader on a small machine from its heartbeats in the group.
Owns: the packed form of the newest configuration.
Relies on: nothing; no I/O.
"""

import zlib

import msgspec

from passlane.messages.routes import RouteConfiguration

_COMPRESSION_LEVEL = 6
"""Level of zlib, its default. Figures of one large document: ``docs/design/tenant-quotas.md``."""
_decoder = msgspec.msgpack.Decoder(RouteConfiguration)


def pack(configuration: RouteConfiguration) -> bytes:
    """Return the packed form of a configuration."""
    without_source = msgspec.structs.replace(configuration, source=b"")
    return zlib.compress(msgspec.msgpack.encode(without_source), _COMPRESSION_LEVEL)


def unpack(data: bytes) -> RouteConfiguration:
    """Return a packed configuration; its ``source`` is empty.

    Raises
    ------
    zlib.error, msgspec.DecodeError
        When the bytes hold none.
    """
    return _decoder.decode(zlib.decompress(data))


class PackedConfigurations:
    """Packs each configuration once."""

    def __init__(self) -> None:
        self._version = 0
        self._packed = b""

    def of(self, configuration: RouteConfiguration) -> bytes:
        """Return the packed form of a configuration."""
        if configuration.version != self._version or not self._packed:
            self._packed = pack(configuration)
            self._version = configuration.version
        return self._packed
