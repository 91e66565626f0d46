"""Replicated state of the store group about programs and their turns; no I/O."""
