"""Raft as a pure state machine: events and time in, instructions out."""
