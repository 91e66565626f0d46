"""The control group: versioned configuration and its acceptance by the fleet."""
