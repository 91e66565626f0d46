"""Recorded runs of the decision state machines.

The digests guard refactorings of these machines: equal inputs must produce equal instructions.
"""
