"""All scenarios by name."""

from passlane.simulation.scenarios.back_ends import BACK_END_SCENARIOS
from passlane.simulation.scenarios.base import Scenario
from passlane.simulation.scenarios.groups import GROUP_SCENARIOS
from passlane.simulation.scenarios.mixed import MIXED_SCENARIOS
from passlane.simulation.scenarios.nodes import NODE_SCENARIOS

SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in NODE_SCENARIOS + GROUP_SCENARIOS + BACK_END_SCENARIOS + MIXED_SCENARIOS
}
"""Every scenario, in the order in which they are listed and run."""
