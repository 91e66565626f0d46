"""What processes of a fleet and those of ``passlaned`` have in common."""
