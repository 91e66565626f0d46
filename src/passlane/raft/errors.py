"""Errors of the Raft state machine."""


class RaftInvariantError(RuntimeError):
    """A rule that Raft's safety rests on was broken; the replica must stop.

    This never happens with replicas that keep their durable state. The shell lets it end
    the replica, so that a damaged one stops rather than spreads its state.
    """
