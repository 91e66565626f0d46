"""Names, kinds and labels of metrics, as the source makes them and a node shows them."""

import ast

import anyio
import msgspec
import trio.testing
from prometheus_client.parser import text_string_to_metric_families

from outside.product_source import constant_text, method_calls
from passlane.daemon.fleet.node_bounds import NodeBounds
from passlane.observability.metrics import Metrics
from passlane.settings.fleet import FleetSettings

KINDS = frozenset({"counter", "gauge", "histogram"})
COMPUTED = "(computed)"
LABELS_PLACE = 2
SAMPLED_S = 3.0
"""Virtual seconds after which a node has read all that it shows."""
NODE_SETTINGS = {
    "process": {"name": "n", "role": "node", "zone": "a"},
    "addresses": {"internal": {"host": "10.0.0.1", "port": 1}},
    "seeds": [{"host": "10.0.0.2", "port": 1}],
    "backend_list": {"address": {"host": "10.0.0.3", "port": 1}, "rate_per_s": 1.0},
}


def metric_forms() -> list[str]:
    """Return ``KIND NAME LABELS`` of every metric that the source makes."""
    found = set()
    for tree, call, called in method_calls(KINDS):
        if call.args:
            name = constant_text(call.args[0]) or COMPUTED
            found.add(f"{called.attr} {name} {_labels(tree, call)}")
    return sorted(found)


def _labels(tree: ast.Module, call: ast.Call) -> str:
    given = call.args[LABELS_PLACE] if len(call.args) > LABELS_PLACE else None
    for keyword in call.keywords:
        if keyword.arg == "labels":
            given = keyword.value
    if given is None:
        return "()"
    if isinstance(given, ast.Name):
        given = _assigned(tree, given.id) or given
    is_plain = isinstance(given, ast.Tuple) and all(map(constant_text, given.elts))
    return ast.unparse(given) if is_plain else COMPUTED


def _assigned(tree: ast.Module, name: str) -> ast.expr | None:
    for node in ast.walk(tree):
        if isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) == name:
            return node.value
    return None


def node_metric_forms() -> list[str]:
    """Return ``KIND NAME LABELS`` of the metrics of a node's bounds, whose names are computed."""
    metrics = Metrics()
    bounds = NodeBounds(msgspec.convert(NODE_SETTINGS, FleetSettings), metrics)
    _run_for(bounds, SAMPLED_S)
    bounds.unread_answers.ended["reason"] = 1
    bounds.admission.refused["state"] = 1
    found = set()
    for family in text_string_to_metric_families(metrics.expose().decode()):
        for sample in family.samples:
            found.add(f"{family.type} {sample.name} {sorted(sample.labels)}")
    return sorted(line for line in found if "_created" not in line)


def _run_for(bounds: NodeBounds, seconds: float) -> None:
    async def main() -> None:
        with anyio.move_on_after(seconds):
            await bounds.run()

    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(main, backend="trio", backend_options={"clock": clock})
