"""What simulated callers and operators have in common."""

import random
from typing import ClassVar

from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.simulation.event_log import EventLog
from passlane.simulation.fleet_plan import FleetPlan
from passlane.simulation.network import SimulatedNetwork
from passlane.simulation.observer import Observations


class SimulatedClients:
    """Base of the kinds of clients, which send requests from one host and note the answers.

    Parameters
    ----------
    plan
        Says which processes there are, and their addresses.
    network
        Carries the requests.
    observations
        Takes what the clients see.
    event_log
        Takes a line for each event.
    random_source
        Chooses the processes that are asked.

    Attributes
    ----------
    host
        The simulated host that the requests of this kind come from.
    """

    host: ClassVar[str]

    def __init__(
        self,
        plan: FleetPlan,
        network: SimulatedNetwork,
        observations: Observations,
        event_log: EventLog,
        random_source: random.Random,
    ) -> None:
        self._plan = plan
        self._client = SingleConnectionHttpClient(network.host(self.host))
        self._seen = observations
        self._event_log = event_log
        self._random = random_source
