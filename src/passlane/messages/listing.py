"""The platform's list of backends, as it is sent between nodes and the control group."""

import enum
from typing import NewType

import msgspec

from passlane.messages.base import Message
from passlane.messages.common import Address

IncarnationId = NewType("IncarnationId", str)
"""Identifies one start of a backend: its instance id, followed by ``@`` and the Unix time of
the start in ms if the platform reports it. Requests are not addressed by it."""


class BackendState(enum.StrEnum):
    """Whether a backend accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


class BackendRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A backend as the platform lists it.

    Attributes
    ----------
    born_ms
        Unix time of its start, in ms; ``None`` if the platform does not report it. Each start
        then has its own ``instance_id``.
    software_version
        Version of the software that it runs, not of a model's weights; empty if unknown.
    """

    instance_id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: BackendState
    born_ms: int | None = None
    software_version: str = ""

    @property
    def incarnation(self) -> IncarnationId:
        """Identifies this start of the backend; observations of another start do not apply."""
        if self.born_ms is None:
            return IncarnationId(self.instance_id)
        return IncarnationId(f"{self.instance_id}@{self.born_ms}")

    def is_older_than(self, other: "BackendRecord") -> bool:
        """Return whether this is an earlier start of the same backend."""
        if self.instance_id != other.instance_id or self.born_ms is None or other.born_ms is None:
            return False
        return self.born_ms < other.born_ms


class BackendChanges(msgspec.Struct, frozen=True):
    """Difference of a list of backends to an earlier one.

    Attributes
    ----------
    changed
        Backends that are new or whose record has changed.
    gone
        Instances that are no longer listed.
    """

    changed: tuple[BackendRecord, ...]
    gone: tuple[str, ...]


class ReportBackends(Message, frozen=True, kw_only=True):
    """Reports the platform's current list to the leader of the control group.

    Attributes
    ----------
    name
        Name of the node that read the list.
    number
        Number under which the leader has stored the same list; 0 for none.
    records
        The list; ``None`` if it equals the list of that number.
    """

    name: str
    number: int
    records: tuple[BackendRecord, ...] | None


class BackendsReported(Message, frozen=True):
    """Answers ``ReportBackends`` with the number of the leader's current list.

    If the report had no records and this number differs from the report's, the report had no
    effect and the sender must send the whole list.
    """

    number: int
