"""What is known of a call when its turn comes, and what the scheduler is told of it."""

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
class CallSetUp:
    """What is known of a call when its turn comes.

    Attributes
    ----------
    sequence
        The number under which it is recorded.
    deadline
        Local monotonic time in seconds by which the caller gives up.
    offer
        The tool, for a tool call.
    reopened
        The open call that this request repeats, if it does.
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


def arrival_of(
    services: CallServices, program: LedProgram, set_up: CallSetUp, failed: frozenset[str]
) -> CallArrived:
    """Return the event that asks for a place; engines that ``failed`` the call are avoided."""
    plan = set_up.plan
    facts = call_facts(program, plan.target, set_up.sequence, plan.max_tokens)
    decision = services.policies.classify(facts)
    return CallArrived(
        call_id=plan.call_id,
        program_id=program.program_id,
        tenant_id=program.tenant_id,
        model=plan.target,
        prompt_tokens=program.prompt_tokens,
        max_tokens=plan.max_tokens,
        deadline=set_up.deadline,
        service_class=decision.service_class,
        weight=decision.weight,
        excluded=_engines_to_exclude(services, plan.target, failed),
        is_sub_agent=program.parent_id is not None,
    )


def _engines_to_exclude(
    services: CallServices, model: str, failed: frozenset[str]
) -> frozenset[EngineId]:
    """Return the engines that failed this call, unless there is no other one.

    When all of them have failed it, the breakers decide which is tried again.
    """
    if failed.issuperset(services.configuration().engines_with(model)):
        return frozenset()
    return frozenset(EngineId(backend) for backend in failed)
