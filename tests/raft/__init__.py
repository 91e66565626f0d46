"""Tests of the Raft state machine and of the simulated group."""
