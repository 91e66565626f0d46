"""Repair of a replica that lost its disk, followed by the loss of a second machine."""

import unittest

from passlane.raft.membership import member_of, voters_of
from passlane.simulation.raft_clients import SimulatedClient
from passlane.simulation.raft_cluster import ClusterOptions, RaftCluster
from passlane.simulation.raft_host import SimulatedReplicaHost

SEEDS = range(8)
TIMEOUT_S = 30.0


class RunningGroup:
    """A group of three replicas with active clients; ``wiped`` is the replica to repair."""

    def __init__(self, seed: int) -> None:
        self.cluster = RaftCluster(seed, ClusterOptions(hosts=3))
        self.clients = [SimulatedClient(self.cluster, f"c{n}", 0.02) for n in range(3)]
        self.cluster.start()
        for client in self.clients:
            client.start_operation()
        self.cluster.run_until(3.0)
        self.leader = self.cluster.leaders[-1]
        followers = [host for host in self.cluster.hosts if host is not self.leader]
        self.wiped, self.other_follower = followers

    @property
    def completed_commands(self) -> int:
        return sum(client.commands_done for client in self.clients)

    def is_voter(self, host: SimulatedReplicaHost) -> bool:
        return host.disk.replica_id in voters_of(self.cluster.committed_membership())

    def is_learner(self, host: SimulatedReplicaHost) -> bool:
        member = member_of(self.cluster.committed_membership(), host.disk.replica_id)
        return member is not None and not member.is_voter

    def has_all_acknowledged(self, host: SimulatedReplicaHost) -> bool:
        return self.cluster.invariants.acknowledged.keys() <= host.machine.known

    def start_repair(self) -> None:
        self.cluster.wipe(self.wiped)
        self.cluster.run_until(self.cluster.now + 0.5)
        self.wiped.start()

    def makes_progress(self, commands: int = 20) -> bool:
        before = self.completed_commands
        deadline = self.cluster.now + TIMEOUT_S
        return self.cluster.run_until_true(
            lambda: self.completed_commands >= before + commands, deadline
        )

    def wait_until(self, condition: object) -> None:
        assert callable(condition)
        assert self.cluster.run_until_true(condition, self.cluster.now + TIMEOUT_S)


class RepairTest(unittest.TestCase):
    def test_losing_a_second_machine_after_the_repair_keeps_the_group_available(self) -> None:
        for seed in SEEDS:
            for is_leader_lost in (False, True):
                with self.subTest(seed=seed, is_leader_lost=is_leader_lost):
                    group = RunningGroup(seed)
                    group.start_repair()
                    group.wait_until(lambda group=group: group.is_voter(group.wiped))

                    lost = group.leader if is_leader_lost else group.other_follower
                    lost.crash()

                    self.assertTrue(group.makes_progress())
                    group.wait_until(lambda group=group: group.has_all_acknowledged(group.wiped))

    def test_losing_a_second_machine_during_the_repair_blocks_the_group_until_it_returns(
        self,
    ) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = RunningGroup(seed)
                group.start_repair()
                group.wait_until(lambda group=group: group.is_learner(group.wiped))
                group.other_follower.crash()
                group.cluster.run_until(group.cluster.now + 1.0)
                self.assertFalse(group.makes_progress())

                group.other_follower.start()

                self.assertTrue(group.makes_progress())
                group.wait_until(lambda group=group: group.is_voter(group.wiped))


if __name__ == "__main__":
    unittest.main()
