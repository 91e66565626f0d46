"""Resolves a tool operation in doubt that no caller is waiting for."""

import anyio

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.node import CallRequest
from passlane.node.call_context import CallContext
from passlane.node.call_planning import plan_recovery
from passlane.node.call_runner import CallRunner
from passlane.node.call_services import CallServices
from passlane.node.led_program import LedProgram, OpenCall

RECOVERY_TIMEOUT_S = 30.0
"""Time to resolve an operation in doubt; exceeds the delays between all status queries."""

RETRY_AFTER_S = 1.0


async def resolve_operation(
    services: CallServices, program: LedProgram, open_call: OpenCall, attempt_prefix: str
) -> None:
    """Query the application about an open call and record the outcome, without resending it.

    Raises
    ------
    PasslaneError
        ``UNAVAILABLE`` when no outcome could be recorded; the call stays open.
    """
    context = _recovery_context(services, program, open_call, attempt_prefix)
    finished = anyio.Event()
    runner = CallRunner(services, program, context, _skip_settling, lambda _: finished.set())
    runner.start()
    await finished.wait()
    if runner.store_failed or runner.left_open is not None:
        raise PasslaneError(
            ErrorCode.UNAVAILABLE,
            "the outcome of the program's last operation could not be recorded",
            retry_after_s=RETRY_AFTER_S,
        )


def _recovery_context(
    services: CallServices, program: LedProgram, open_call: OpenCall, attempt_prefix: str
) -> CallContext:
    call = open_call.call
    planned = plan_recovery(call, services.configuration())
    now = anyio.current_time()
    request = CallRequest(
        request_id=f"recovery-{call.call_id}",
        tenant_id=program.tenant_id,
        program_id=program.program_id,
        kind=call.kind,
        target=call.target,
    )
    return CallContext(
        request=request,
        plan=planned.plan,
        sequence=call.sequence,
        deadline=now + RECOVERY_TIMEOUT_S,
        arrived_at=now,
        attempt_prefix=attempt_prefix,
        offer=planned.offer,
        reopened=open_call,
    )


async def _skip_settling() -> None:
    """Do nothing: the recovered call itself is the program's open call."""
