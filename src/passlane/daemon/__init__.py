"""Entry points: ``fleet_start`` runs a process of a fleet (``fleet/``), ``main`` ``passlaned``."""
