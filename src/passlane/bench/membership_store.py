"""The store process of the membership experiment: real service and transport, no Raft.

Answers each line on its standard input with the processor time it has used so far, in
seconds, and ends with the input.
"""

import sys
import time
from pathlib import Path

import anyio
import anyio.to_thread

from passlane.bench.hollow import HollowGroup, hollow_settings
from passlane.messages.common import Address
from passlane.observability.logging import configure_logging
from passlane.observability.ring import RingLog
from passlane.runtime.real import build_environment
from passlane.store.machine import StoreStateMachine
from passlane.store.service import StoreService
from passlane.transport.router import MessageRouter
from passlane.transport.server import MessageServer

RING_LINES = 1_000


async def serve(address: Address, partitions: int) -> None:
    """Serve heartbeats at ``address`` until the input ends."""
    environment = build_environment(Path("unused"), seed=1)
    router = MessageRouter()
    machine = StoreStateMachine()
    settings = hollow_settings("store", "region", partitions)
    service = StoreService(HollowGroup(machine), machine, settings, environment, router, None)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(service.run)
        tasks.start_soon(MessageServer(environment, address, router).run)
        while await anyio.to_thread.run_sync(sys.stdin.readline):
            print(time.process_time(), flush=True)
        tasks.cancel_scope.cancel()


def main() -> None:
    """Serve at the address and with the number of partitions given as arguments."""
    configure_logging(RingLog(RING_LINES))
    anyio.run(serve, Address.parse(sys.argv[1]), int(sys.argv[2]))


if __name__ == "__main__":
    main()
