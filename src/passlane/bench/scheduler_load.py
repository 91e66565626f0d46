"""A scheduler filled to a chosen size, for measurements of its time and memory."""

import random

from passlane.configuration.documents import EngineBody
from passlane.decisions.inputs import call_events as events
from passlane.decisions.inputs import call_instructions as instructions
from passlane.decisions.inputs.call_scheduler_config import QueueConfig, SchedulerConfig
from passlane.decisions.scheduling.call_scheduler import Scheduler
from passlane.identifiers import CallId, EngineId, ProgramId, TenantId
from passlane.messages.backends import CacheEvent, CacheEventKind, CacheEvents, EngineLoad
from passlane.messages.common import Address

PROGRAMS = 500
ENGINE_MEMORY_TOKENS = 100_000


def build_scheduler(
    watched: int, max_batch: int, *, fleet: int | None = None, models: int = 1
) -> Scheduler:
    """Return a scheduler that watches up to ``watched`` engines of each model."""
    config = SchedulerConfig(
        queue=QueueConfig(max_calls=100_000), watched_engines_per_model=watched
    )
    scheduler = Scheduler("z0", random.Random(1), config, node_key="n1")
    bodies = engine_bodies(fleet or watched, max_batch, models)
    scheduler.handle(events.EnginesChanged(bodies), 0.0)
    return scheduler


def engine_bodies(count: int, max_batch: int, models: int = 1) -> dict[EngineId, EngineBody]:
    """Return engines that are spread over four zones, each with one of the models."""
    address = Address(host="127.0.0.1", port=1)
    return {
        EngineId(f"e{number}"): EngineBody(
            address=address,
            zone=f"z{number % 4}",
            models=(f"m{number % models}",),
            max_batch=max_batch,
            cache_tokens=ENGINE_MEMORY_TOKENS,
        )
        for number in range(count)
    }


def arriving_call(number: int, tenants: int) -> events.CallArrived:
    """Return a call of one of the programs, each of which belongs to one tenant."""
    program = number % max(PROGRAMS, tenants)
    return events.CallArrived(
        call_id=CallId(f"c{number}"),
        program_id=ProgramId(f"p{program}"),
        tenant_id=TenantId(f"t{program % tenants}"),
        model="m0",
        prompt_tokens=1_000,
        max_tokens=64,
        deadline=1e9,
    )


def ended_call(call_id: CallId) -> events.CallEnded:
    """Return the end of a call that found half of its prompt cached."""
    return events.CallEnded(call_id, True, 1_000, 500, 64)


def started_calls(output: list[instructions.Instruction]) -> list[CallId]:
    """Return the calls that are started by these instructions."""
    return [item.call_id for item in output if isinstance(item, instructions.StartCall)]


def load_report(engine: int) -> events.LoadReported:
    """Return a load report of an engine."""
    load = EngineLoad(EngineId(f"e{engine}"), 1, 3, 0, 50_000, 20, ("m0",), 0.25)
    return events.LoadReported(load)


def cache_events(engine: int, first_number: int, count: int) -> events.CacheEventsReported:
    """Return events of prefixes that were stored, one for each program."""
    stored = tuple(
        CacheEvent(number, CacheEventKind.STORED, ProgramId(f"p{engine}-{number}"), 2_000)
        for number in range(first_number, first_number + count)
    )
    return events.CacheEventsReported(EngineId(f"e{engine}"), CacheEvents(1, stored))
