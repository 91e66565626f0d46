"""Decision rules of passlane, with no I/O, clock or randomness of their own."""
