"""The environment of one simulated process: its host's network, HTTP, disk and randomness."""

import random

from passlane.emulator.http_server import ByteStreamHttpServer
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.interfaces import Environment
from passlane.simulation.disk import SimulatedDisk
from passlane.simulation.network import HostNetwork


def build_simulated_environment(
    network: HostNetwork, disk: SimulatedDisk, random_source: random.Random
) -> Environment:
    """Return the environment of a process.

    The HTTP client is the product's own, over the simulated network; only its server
    differs, because uvicorn runs on asyncio alone.
    """
    return Environment(
        network=network,
        http_client=SingleConnectionHttpClient(network),
        http_server=ByteStreamHttpServer(network),
        disk=disk,
        random=random_source,
    )
