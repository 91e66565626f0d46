"""The inputs of a call that starts, and the event that requests its placement."""

from dataclasses import dataclass

from passlane.configuration.view import ToolOffer
from passlane.decisions.inputs.call_events import CallArrived
from passlane.identifiers import EngineId
from passlane.messages.node import CallRequest
from passlane.node.call_services import CallServices
from passlane.node.led_program import LedProgram, OpenCall
from passlane.node.policy_facts import call_facts
from passlane.programs.call_plan import CallPlan


@dataclass(frozen=True)
class CallContext:
    """Inputs of a call that starts.

    Attributes
    ----------
    sequence
        Sequence number of the call in its program.
    deadline
        The caller's deadline, as local monotonic time in seconds.
    offer
        The application's offer of the tool; ``None`` for a model call.
    reopened
        The open call that this request repeats, if any.
    """

    request: CallRequest
    plan: CallPlan
    sequence: int
    deadline: float
    arrived_at: float
    attempt_prefix: str
    offer: ToolOffer | None = None
    reopened: OpenCall | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an earlier request for the same call may have run it."""
        return self.reopened is not None and not self.reopened.proved_not_run


def arrival_event(
    services: CallServices,
    program: LedProgram,
    context: CallContext,
    failed_backends: frozenset[str],
) -> CallArrived:
    """Return the event that requests placement, excluding ``failed_backends`` where possible."""
    plan = context.plan
    facts = call_facts(program, plan.target, context.sequence, plan.max_tokens)
    decision = services.policies.classify(facts)
    return CallArrived(
        call_id=plan.call_id,
        program_id=program.program_id,
        tenant_id=program.tenant_id,
        model=plan.target,
        prompt_tokens=program.prompt_tokens,
        max_tokens=plan.max_tokens,
        deadline=context.deadline,
        service_class=decision.service_class,
        weight=decision.weight,
        excluded=_engines_to_exclude(services, plan.target, failed_backends),
        is_sub_agent=program.parent_id is not None,
    )


def _engines_to_exclude(
    services: CallServices, model: str, failed_backends: frozenset[str]
) -> frozenset[EngineId]:
    """Return the engines that failed this call, or none if no other engine has the model.

    In that case the circuit breakers decide which engine is tried again.
    """
    if failed_backends.issuperset(services.configuration().engines_with(model)):
        return frozenset()
    return frozenset(EngineId(backend) for backend in failed_backends)
