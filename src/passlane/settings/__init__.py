"""Typed settings of the processes, checked at startup."""
