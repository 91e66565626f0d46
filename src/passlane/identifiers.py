"""Identifiers used throughout the system, as distinct types over ``str`` and ``int``."""

from typing import NewType

ProgramId = NewType("ProgramId", str)
"""A program: the unit whose calls run in order and share a history and a budget."""

TenantId = NewType("TenantId", str)
"""An organisation or person on whose behalf programs run."""

CallId = NewType("CallId", str)
"""One call of a program; the same for every attempt at it."""

NodeId = NewType("NodeId", str)
"""A node process, by its configured name."""

ReplicaId = NewType("ReplicaId", str)
"""A replica of a Raft group; bound to its data folder, new after a wipe."""

EngineId = NewType("EngineId", str)
"""A model engine, by its configured name."""

ApplicationId = NewType("ApplicationId", str)
"""An application that offers tools such as charging or booking."""

Partition = NewType("Partition", int)
"""Number of a partition of programs; a program's hash decides it."""

Epoch = NewType("Epoch", int)
"""Leadership epoch of a partition; grows with each new leader."""

Revision = NewType("Revision", int)
"""Number of a change of configuration, counted over all documents."""
