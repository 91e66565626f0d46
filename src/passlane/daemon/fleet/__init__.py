"""The processes of a fleet, one role each. Any node can relay any turn."""
