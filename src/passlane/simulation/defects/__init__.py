"""Deliberate faults, which prove that the invariants notice; none is in the product."""
