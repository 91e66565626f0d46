"""Ring log, metrics and health."""
