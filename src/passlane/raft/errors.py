"""Errors of the Raft state machine."""


class RaftInvariantError(RuntimeError):
    """A safety invariant of Raft was violated; the replica must stop.

    This cannot happen while all replicas keep their durable state. The error ends the
    replica, so that a damaged replica does not replicate its state. It has no error code
    because it is never the reply to a request; handlers of ``PasslaneError`` ignore it.
    """
