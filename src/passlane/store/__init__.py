"""The store group: a replicated state machine of program records, and its service."""
