"""The back ends that the platform lists, as nodes tell one another."""

import enum

import msgspec

from passlane.messages.base import Message
from passlane.messages.common import Address


class BackendState(enum.StrEnum):
    """Whether a back end takes new requests."""

    READY = "ready"
    DRAINING = "draining"


class BackendRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A back end as the platform lists it.

    Attributes
    ----------
    born_ms
        Unix time at which it started, in ms; ``None`` where the platform doesn't tell, and each
        start has an ``instance_id`` of its own.
    """

    instance_id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: BackendState
    born_ms: int | None = None


class BackendChanges(msgspec.Struct, frozen=True):
    """How a list of back ends differs from an earlier one.

    Attributes
    ----------
    changed
        Back ends that are new or are listed otherwise.
    gone
        Instances that are no longer listed.
    """

    changed: tuple[BackendRecord, ...]
    gone: tuple[str, ...]


class ReportBackends(Message, frozen=True, kw_only=True):
    """Tells the leader of the control group what the platform lists now.

    Attributes
    ----------
    name
        Name of the node that read the list.
    number
        Number under which the leader holds the same list; 0 for none.
    records
        The list; ``None`` if it is the one of that number.
    """

    name: str
    number: int
    records: tuple[BackendRecord, ...] | None


class BackendsReported(Message, frozen=True):
    """Answers ``ReportBackends`` with the number of the list that is held now.

    Another number than that of a report without records means that the report had no
    effect and the whole list is wanted.
    """

    number: int
