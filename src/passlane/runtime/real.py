"""The real environment of a daemon: TCP, HTTP, disk and a random generator."""

import random
from pathlib import Path

from passlane.runtime.disk import RealDisk
from passlane.runtime.http_client import SingleConnectionHttpClient
from passlane.runtime.http_server import UvicornHttpServer
from passlane.runtime.interfaces import Environment, Network
from passlane.runtime.network import TcpNetwork


def build_environment(
    data_folder: Path, seed: int | None, network: Network | None = None
) -> Environment:
    """Return the real environment.

    Parameters
    ----------
    data_folder
        Holds all files of the process.
    seed
        Seed of the random generator; ``None`` takes one from the operating system.
    network
        In place of plain TCP, such as one that adds delays between zones.
    """
    network = network or TcpNetwork()
    return Environment(
        network=network,
        http_client=SingleConnectionHttpClient(network),
        http_server=UvicornHttpServer(),
        disk=RealDisk(data_folder),
        random=random.Random(seed),
    )
