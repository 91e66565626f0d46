"""The back ends that the platform lists, as nodes tell one another."""

import enum
from typing import NewType

import msgspec

from passlane.messages.base import Message
from passlane.messages.common import Address

IncarnationId = NewType("IncarnationId", str)
"""One start of a back end: its id, and behind ``@`` the Unix time of its start in ms if the
platform tells it. Compared whole; not the id that back ends are addressed by."""


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

    @property
    def incarnation(self) -> IncarnationId:
        """Names this start of the back end; what is known of it is known of this start alone."""
        if self.born_ms is None:
            return IncarnationId(self.instance_id)
        return IncarnationId(f"{self.instance_id}@{self.born_ms}")

    def is_older_than(self, other: "BackendRecord") -> bool:
        """Whether this tells of an earlier start of the same back end."""
        if self.instance_id != other.instance_id or self.born_ms is None or other.born_ms is None:
            return False
        return self.born_ms < other.born_ms


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
