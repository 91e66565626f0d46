"""Code shared by the processes of a fleet and those of ``passlaned``."""
