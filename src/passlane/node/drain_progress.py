"""Reports how many calls this node has in flight at each target that operators are draining."""

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
    """Return the number of calls in flight at each drained target, without targets that have none.

    Parameters
    ----------
    own_requests
        Number of callers' requests that this node has not answered yet; counted if the node
        itself is being drained.
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
