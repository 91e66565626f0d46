"""What stands around the fleet of a soak: its back ends, and a proxy before each of them."""

import itertools
from collections.abc import Sequence

from passlane.messages.common import Address
from passlane.soak.back_ends import StandIn, StandInEngine, StandInPlain
from passlane.soak.configuration import ENGINES, SOFTWARE_VERSIONS, TOOLS
from passlane.soak.ledger import Ledger
from passlane.soak.proxy import FaultyProxy

FIRST_BACK_END_HOST = 201
FIRST_PROXY_HOST = 221
PLATFORM_PORT = 8080
ENGINE_PACES = (0.7, 1.0, 1.4, 2.0)
ENGINE_PLACES = (2, 2, 1, 1)
PLAIN_PLACES = (3, 3)


def stand_ins(network: str, ledger: Ledger) -> tuple[list[StandInEngine], list[StandIn]]:
    """Return the engines, and all back ends."""
    hosts = (f"{network}.{number}" for number in itertools.count(FIRST_BACK_END_HOST))
    engines: list[StandInEngine] = []
    for number, (pace, places) in enumerate(zip(ENGINE_PACES, ENGINE_PLACES, strict=True), 1):
        address = Address(next(hosts), PLATFORM_PORT)
        engine = StandInEngine(f"engine-{number}", address, ENGINES, places, ledger)
        engine.pace = pace
        engines.append(engine)
    plain: list[StandIn] = []
    for number, places in enumerate(PLAIN_PLACES, 1):
        address = Address(next(hosts), PLATFORM_PORT)
        plain.append(StandInPlain(f"plain-{number}", address, TOOLS, places, ledger))
    return engines, [*engines, *plain]


def set_versions(engines: Sequence[StandInEngine]) -> None:
    """Let the engines run the software versions in turn."""
    for engine, version in zip(engines, itertools.cycle(SOFTWARE_VERSIONS), strict=False):
        engine.software_version = version


def proxies_before(network: str, back_ends: Sequence[StandIn]) -> list[FaultyProxy]:
    """Return a proxy before each back end."""
    return [
        FaultyProxy(
            back_end.instance_id,
            Address(f"{network}.{FIRST_PROXY_HOST + number}", PLATFORM_PORT),
            back_end.address,
        )
        for number, back_end in enumerate(back_ends)
    ]
