"""The processes that passlane starts, each built here from the other packages.

``fleet_start`` is the program that the platform starts: one process of a fleet, built in
``fleet/``, in which any node relays a turn. ``main`` is the command ``passlaned``: one process,
built in ``passlaned/``, in which a node leads programs. ``shared/`` serves both. The paths of
the two programs are known outside: ``deploy/system.toml`` and ``pyproject.toml`` name them.
"""
