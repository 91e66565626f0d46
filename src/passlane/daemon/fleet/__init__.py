"""The processes of a fleet, one role each. Any node relays a turn."""
