"""Configuration documents of operators: parsing, references, replication and lookups."""
