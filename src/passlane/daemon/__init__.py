"""The processes: ``fleet_start`` runs one of a fleet (``fleet/``), ``main`` is ``passlaned``."""
