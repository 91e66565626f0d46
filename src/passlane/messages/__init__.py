"""Typed messages exchanged between passlane's own processes."""
