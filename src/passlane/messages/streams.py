"""Where streams began, as nodes and the store group tell each other."""

import msgspec


class StreamOrigin(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The engine that began a stream.

    Attributes
    ----------
    stream_id
        The caller's attempt that brought the first event; identifies the stream over all attempts.
    service
        Name of the engine's service in the configuration.
    instance
        Incarnation of the engine; empty if it is not known which engine of the version it was.
    software_version
        Version of the engine's software; empty if unknown.
    """

    stream_id: str
    service: str
    instance: str = ""
    software_version: str = ""


class ServedVersion(msgspec.Struct, frozen=True, kw_only=True):
    """A software version of whose engines streams of a route may have begun.

    Attributes
    ----------
    address
        Host and path prefix of the route.
    service
        Name of the engines' service in the configuration.
    software_version
        Version of their software; empty if unknown.
    """

    address: str
    service: str
    software_version: str

    def __str__(self) -> str:
        return f"{self.address} {self.service} {self.software_version}"
