"""Steps of a turn name modules that there are."""

import pkgutil
import unittest

import passlane
from passlane.bench.turn_steps import STEPS


def modules():
    """Return the names of all modules, as sampled places begin with them."""
    found = pkgutil.walk_packages(passlane.__path__, "passlane.")
    return [module.name.removeprefix("passlane.") for module in found]


class StepModulesTest(unittest.TestCase):
    def test_each_beginning_is_that_of_a_module(self):
        names = modules()
        for step, beginnings in STEPS:
            for beginning in beginnings:
                module = beginning.partition(":")[0]
                with self.subTest(step=step, module=module):
                    self.assertTrue(any(name.startswith(module) for name in names))


if __name__ == "__main__":
    unittest.main()
