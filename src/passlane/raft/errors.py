"""Errors of the Raft state machine."""


class RaftInvariantError(RuntimeError):
    """A rule that Raft's safety rests on was broken; the replica must stop.

    This never happens with replicas that keep their durable state. The shell lets it end
    the replica, so that a damaged one stops rather than spreads its state. It has no code,
    because it answers no request: who handles coded errors must not take it for a refusal.
    """
