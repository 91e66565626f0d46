"""The process of ``passlaned``, with one or several roles. Its nodes lead programs."""
