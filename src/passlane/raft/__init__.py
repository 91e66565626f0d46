"""Raft as a pure state machine: it takes events and returns instructions."""
