"""Each experiment that is listed can be loaded, and is found by its name."""

import unittest

from passlane.bench.registry import EXPERIMENTS, find_experiment


class RegistryTest(unittest.TestCase):
    def test_each_experiment_has_its_code(self) -> None:
        for experiment in EXPERIMENTS:
            with self.subTest(experiment.name):
                self.assertTrue(callable(experiment.load()))
                self.assertIs(experiment, find_experiment(experiment.name))

    def test_an_unknown_name_finds_nothing(self) -> None:
        self.assertIsNone(find_experiment("none"))


if __name__ == "__main__":
    unittest.main()
