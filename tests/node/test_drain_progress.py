"""Calls in flight at drained targets, as a node reports them in its heartbeats."""

import unittest
from types import SimpleNamespace

from passlane.configuration.view import ConfigurationView, DrainTarget
from passlane.messages.control import TargetInFlight
from passlane.node.drain_progress import in_flight_at_drained
from passlane.node.model_dispatcher import ModelDispatcher
from passlane.node.tool_dispatcher import ToolDispatcher


class DrainProgressTest(unittest.TestCase):
    def test_only_drained_targets_with_calls_are_reported(self):
        engines = {"busy": 2, "not-drained": 5}
        models = ModelDispatcher(SimpleNamespace(in_flight_at=lambda name: engines.get(name, 0)))
        tools = ToolDispatcher()
        tools.start("sales", 10, 0.0)
        drained = (
            ("engine", "busy"),
            ("engine", "idle"),
            ("application", "sales"),
            ("application", "unused"),
            ("node", "self"),
            ("node", "other"),
        )
        view = ConfigurationView(draining=frozenset(DrainTarget(*names) for names in drained))
        expected = (
            TargetInFlight("application", "sales", 1),
            TargetInFlight("engine", "busy", 2),
            TargetInFlight("node", "self", 3),
        )
        self.assertEqual(in_flight_at_drained(view, models, tools, "self", 3), expected)
        tools.finish("sales", healthy=True, now=1.0)
        engines["busy"] = 0
        self.assertEqual(in_flight_at_drained(view, models, tools, "self", 0), ())


if __name__ == "__main__":
    unittest.main()
