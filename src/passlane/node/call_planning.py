"""Checks a call request against the configuration and returns the plan of the call."""

from dataclasses import dataclass

from passlane.configuration.documents import DrainKind
from passlane.configuration.view import ConfigurationView, ToolOffer
from passlane.errors import ErrorCode, PasslaneError
from passlane.identifiers import ApplicationId
from passlane.messages.common import Amounts
from passlane.messages.node import CallRequest
from passlane.messages.store import CallKind, CallRecord
from passlane.programs.call_identity import call_id_of
from passlane.programs.call_plan import CallPlan
from passlane.programs.token_estimate import estimate_tokens

DRAINING_RETRY_AFTER_S = 5.0
"""Retry-after when all applications that offer the tool are draining."""


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """A call's plan and, for a tool call, the application's offer that it uses."""

    plan: CallPlan
    offer: ToolOffer | None = None


def plan_call(
    request: CallRequest,
    configuration: ConfigurationView,
    application_id: ApplicationId | None = None,
) -> PlannedCall:
    """Return the plan of a call.

    Parameters
    ----------
    application_id
        Application that the call is already recorded for, if it repeats a tool call.

    Raises
    ------
    PasslaneError
        ``UNKNOWN_MODEL`` or ``UNKNOWN_TOOL`` when nothing offers the target or the tenant's
        service does not include it; ``DRAINING`` when all applications with the tool drain.
    """
    if request.kind is CallKind.MODEL:
        return _plan_model(request, configuration)
    return _plan_tool(request, configuration, application_id)


def _plan_model(request: CallRequest, configuration: ConfigurationView) -> PlannedCall:
    model = request.target
    is_served = any(model in engine.models for engine in configuration.engines.values())
    service = configuration.service_of(request.tenant_id)
    if not is_served or (service is not None and model not in service.models):
        raise PasslaneError(
            ErrorCode.UNKNOWN_MODEL, f"model {model!r} is not served or not allowed"
        )
    new_prompt_tokens = estimate_tokens(request.turns)
    plan = CallPlan(
        call_id=call_id_of(request),
        kind=CallKind.MODEL,
        target=model,
        repeatable=True,
        max_tokens=request.max_tokens,
        reserve=Amounts(tokens=new_prompt_tokens + request.max_tokens, calls=1),
        new_prompt_tokens=new_prompt_tokens,
        is_named=request.is_named,
        resume_texts=_resume_texts(request),
        resume_version=request.resume_version,
    )
    return PlannedCall(plan)


def _resume_texts(request: CallRequest) -> tuple[str, ...]:
    """Return one text per token that the caller has; the first contains the whole text."""
    if request.resume_from == 0:
        return ()
    return (request.resume_text,) + ("",) * (request.resume_from - 1)


def _plan_tool(
    request: CallRequest, configuration: ConfigurationView, application_id: ApplicationId | None
) -> PlannedCall:
    tool = request.target
    service = configuration.service_of(request.tenant_id)
    is_allowed = service is None or tool in service.tools
    offers = configuration.tool_offers(tool) if is_allowed else ()
    if not offers:
        raise PasslaneError(ErrorCode.UNKNOWN_TOOL, f"tool {tool!r} is not offered or not allowed")
    offer = _choose_offer(offers, configuration, application_id)
    plan = CallPlan(
        call_id=call_id_of(request),
        kind=CallKind.TOOL,
        target=tool,
        repeatable=offer.tool.repeatable,
        max_tokens=0,
        reserve=Amounts(calls=1, money_micros=offer.tool.price_micros),
        price_micros=offer.tool.price_micros,
        offers_status=offer.tool.offers_status,
        is_named=request.is_named,
    )
    return PlannedCall(plan, offer)


def _choose_offer(
    offers: tuple[ToolOffer, ...],
    configuration: ConfigurationView,
    application_id: ApplicationId | None,
) -> ToolOffer:
    """Return the offer of ``application_id``, else the first whose application is not draining.

    Raises
    ------
    PasslaneError
        ``DRAINING`` when all applications are draining.
    """
    for offer in offers:
        if application_id == offer.application_id:
            return offer
    for offer in offers:
        if not configuration.is_draining(DrainKind.APPLICATION, offer.application_id):
            return offer
    raise PasslaneError(
        ErrorCode.DRAINING,
        "all applications that offer this tool are draining",
        retry_after_s=DRAINING_RETRY_AFTER_S,
    )


def plan_recovery(call: CallRecord, configuration: ConfigurationView) -> PlannedCall:
    """Return the plan for resolving a recorded tool call whose outcome is unknown."""
    offers = configuration.tool_offers(call.target)
    offer = next((one for one in offers if one.application_id == call.application_id), None)
    plan = CallPlan(
        call_id=call.call_id,
        kind=call.kind,
        target=call.target,
        repeatable=call.repeatable,
        max_tokens=0,
        reserve=call.reserved,
        price_micros=call.reserved.money_micros,
        offers_status=offer is not None and offer.tool.offers_status,
        is_named=True,
    )
    return PlannedCall(plan, offer)
