"""Server-sent events as bytes: where one ends, and what it holds."""
