"""Placement: selects the back end for a turn, a request or a call."""
