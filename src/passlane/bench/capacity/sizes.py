"""The size that is designed for, and the bounds that hold there."""

import msgspec

SECONDS_PER_DAY = 86_400
BYTES_PER_TOKEN = 4
"""Text of one token, roughly, in English and Spanish."""


class DesignSize(msgspec.Struct, frozen=True):
    """Numbers of the fleet and of the load at its peak.

    Attributes
    ----------
    requests_per_s, tokens_per_s
        Calls that arrive and tokens that are generated, in the whole fleet.
    turns_per_program, tokens_per_program
        The longest history of a program.
    failures_per_day, restarts_per_day
        Machines that fail, and processes that are restarted or replaced.
    """

    nodes: int = 400
    engines: int = 2_200
    requests_per_s: float = 820.0
    tokens_per_s: float = 370_000.0
    programs: int = 10_000
    turns_per_program: int = 470
    tokens_per_program: int = 200_000
    tenants: int = 39_000
    models: int = 33
    regions: int = 5
    zones: int = 11
    changes_per_day: float = 9_500.0
    failures_per_day: float = 26.0
    restarts_per_day: float = 1_000.0

    @property
    def documents(self) -> int:
        """Documents of the configuration: one for each tenant and each engine."""
        return self.tenants + self.engines

    @property
    def requests_per_node_s(self) -> float:
        """Calls a second that one node leads."""
        return self.requests_per_s / self.nodes

    @property
    def tokens_per_node_s(self) -> float:
        """Tokens a second that one node passes on."""
        return self.tokens_per_s / self.nodes

    @property
    def programs_per_node(self) -> float:
        """Programs that one node leads."""
        return self.programs / self.nodes

    @property
    def nodes_per_region(self) -> float:
        """Nodes that hold leases from one store leader."""
        return self.nodes / self.regions

    @property
    def requests_per_region_s(self) -> float:
        """Calls a second whose records one store group keeps."""
        return self.requests_per_s / self.regions

    @property
    def programs_per_region(self) -> float:
        """Programs whose records one store group keeps."""
        return self.programs / self.regions

    @property
    def changes_per_s(self) -> float:
        """Changes of configuration a second, spread over the day."""
        return self.changes_per_day / SECONDS_PER_DAY

    @property
    def longest_history_bytes(self) -> float:
        """Text of the longest history."""
        return self.tokens_per_program * BYTES_PER_TOKEN


class Bounds(msgspec.Struct, frozen=True):
    """What control may cost a node, and what callers may wait.

    ``control_core`` is a share of one core, ``control_memory_bytes`` resident memory.
    """

    control_core: float = 0.013
    control_memory_bytes: float = 256e6
    control_bytes_per_s: float = 6_000.0
    change_in_force_s: float = 12.0
    first_token_s: float = 2.0
    between_tokens_s: float = 0.044
    control_machines: int = 7
