"""Counts this node's calls in flight at what operators are draining."""

from passlane.configuration.documents import DrainKind
from passlane.configuration.view import ConfigurationView, DrainTarget
from passlane.identifiers import ApplicationId, EngineId, NodeId
from passlane.messages.control import TargetInFlight
from passlane.node.model_dispatcher import ModelDispatcher
from passlane.node.tool_dispatcher import ToolDispatcher


def in_flight_at_drained(
    configuration: ConfigurationView,
    models: ModelDispatcher,
    tools: ToolDispatcher,
    node_id: NodeId,
    own_requests: int,
) -> tuple[TargetInFlight, ...]:
    """Return the calls in flight at each drained target; targets without any are left out.

    Parameters
    ----------
    own_requests
        Callers' requests that this node has not answered yet; they count where the node
        itself is drained.
    """

    def count(target: DrainTarget) -> int:
        match target.kind:
            case DrainKind.ENGINE:
                return models.in_flight_at(EngineId(target.name))
            case DrainKind.APPLICATION:
                return tools.in_flight_at(ApplicationId(target.name))
            case _:
                return own_requests if target.name == node_id else 0

    targets = sorted(configuration.draining, key=lambda target: (target.kind, target.name))
    counted = ((target, count(target)) for target in targets)
    return tuple(
        TargetInFlight(target.kind, target.name, calls) for target, calls in counted if calls
    )
