"""Replicated state of the control group, and soft state of its leader; no I/O."""
