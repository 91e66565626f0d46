"""Identifier types shared by all packages, distinct from plain ``str`` and ``int``."""

from typing import NewType

ProgramId = NewType("ProgramId", str)
"""A program: a sequence of calls that run in order and share a history and a budget."""

TenantId = NewType("TenantId", str)
"""An organisation or person on whose behalf programs run."""

CallId = NewType("CallId", str)
"""One call of a program; all attempts of a call share it."""

NodeId = NewType("NodeId", str)
"""Configured name of a node process."""

ReplicaId = NewType("ReplicaId", str)
"""A replica of a Raft group; stored in its data folder, so a wiped replica gets a new one."""

EngineId = NewType("EngineId", str)
"""Configured name of a model engine."""

ApplicationId = NewType("ApplicationId", str)
"""An application that provides tools such as charging or booking."""

Partition = NewType("Partition", int)
"""Number of a partition of programs; derived from a hash of the program."""

Epoch = NewType("Epoch", int)
"""Leadership epoch of a partition; increases with each new leader."""

Revision = NewType("Revision", int)
"""Sequence number of a configuration change, counted across all documents."""
