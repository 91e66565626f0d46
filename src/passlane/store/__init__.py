"""The store group: program records as a replicated state machine, and its service."""
