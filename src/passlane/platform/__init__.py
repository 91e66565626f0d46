"""Names, formats and calls of the platform that passlane runs on; nothing here decides."""
