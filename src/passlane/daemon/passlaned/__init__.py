"""The process of ``passlaned``, with one or several roles. A node leads programs."""
