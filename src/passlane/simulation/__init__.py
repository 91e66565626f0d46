"""Deterministic simulation: clock, network, disk, faults, scenarios, invariants."""
