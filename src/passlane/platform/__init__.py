"""Wire names, formats and HTTP of the platform that passlane runs on; contains no decisions."""
