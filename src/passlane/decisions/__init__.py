"""Every rule by which passlane decides, without I/O, clock or randomness of its own."""
