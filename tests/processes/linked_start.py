"""Starts a daemon whose connections to other processes lead through the relays of a test.

Relies on the file that ``links.Links`` writes beside the settings.
"""

import json
import os
import sys
from pathlib import Path

from passlane.daemon.fleet_start import main
from passlane.messages.common import Address
from passlane.platform.names import SETTINGS_VARIABLE
from passlane.runtime.network import TcpNetwork

LINKS_SUFFIX = ".links.json"


def connect_through_relays(relays):
    """Connect to an address by its relay, if it has one."""
    connect_directly = TcpNetwork.connect

    async def connect(self, address):
        host, port = relays.get(str(address), (address.host, address.port))
        return await connect_directly(self, Address(host, port))

    TcpNetwork.connect = connect


if __name__ == "__main__":
    settings = Path(os.environ[SETTINGS_VARIABLE])
    connect_through_relays(json.loads(settings.with_suffix(LINKS_SUFFIX).read_text()))
    sys.exit(main())
