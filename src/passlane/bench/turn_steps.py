"""Steps of a turn at the store's leader, by where its processor time was sampled."""

REST = "event loop, timers"

STEPS = (
    ("receive, decode", ("transport.frames:feed", "transport.frames:_check", "messages.registry")),
    ("receive, decode", ("transport.channel:frames", "transport.channel:decode_frame_body")),
    ("receive, decode", ("transport.server_connection:_rec", "transport.server_connection:_read")),
    ("receive, decode", ("runtime.accepted_stream:receive", "runtime.accepted_stream:data_")),
    ("answer requests: tasks, scopes", ("transport.server_connection",)),
    ("answer requests: tasks, scopes", ("transport.request_workers",)),
    ("send: encode, frame, write", ("transport.", "replication.peer_sender", "messages.base")),
    ("send: encode, frame, write", ("runtime.accepted_stream",)),
    ("apply", ("turns.state.",)),
    ("service", ("turns.service", "turns.accounts", "turns.leadership", "turns.slot_waits")),
    ("quota draw", ("turns.quota_grants", "decisions.limits.")),
    ("propose, wake callers", ("replication.proposal_batch", "replication.pending")),
    ("propose, wake callers", ("replication.replica_host:propose",)),
    ("sync", ("replication.durable_writes:sync", "runtime.disk:sync", "runtime.disk:_sync")),
    ("sync", ("runtime.worker_thread",)),
    ("sync", ("storage.log:sync", "storage.segments:sync", "storage.segments:write_synced")),
    ("append to the log", ("storage.", "runtime.disk")),
    ("append to the log", ("replication.durable_writes:append",)),
    ("replicate", ("raft.", "replication.")),
)
"""Steps of a turn by the beginnings of the places that belong to them; the first one counts."""


def step_of(place: str) -> str:
    """Return the step that a sampled place belongs to."""
    for step, beginnings in STEPS:
        if place.startswith(beginnings):
            return step
    return REST
