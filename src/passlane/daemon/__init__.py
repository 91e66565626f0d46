"""The entry point of passlaned: builds the supervisor tree for the configured roles."""
