"""A replica loses its disk, is repaired, and a second machine is lost right after."""

import unittest

from passlane.raft.membership import member_of, voters_of
from passlane.simulation.raft_clients import SimulatedClient
from passlane.simulation.raft_cluster import ClusterOptions, RaftCluster
from passlane.simulation.raft_host import SimulatedReplicaHost

SEEDS = range(8)
LIMIT_S = 30.0


class RunningGroup:
    """Three replicas with clients at work; ``wiped`` is to be repaired."""

    def __init__(self, seed: int) -> None:
        self.cluster = RaftCluster(seed, ClusterOptions(hosts=3))
        self.clients = [SimulatedClient(self.cluster, f"c{n}", 0.02) for n in range(3)]
        self.cluster.start()
        for client in self.clients:
            client.start_operation()
        self.cluster.run_until(3.0)
        self.leader = self.cluster.leaders[-1]
        followers = [host for host in self.cluster.hosts if host is not self.leader]
        self.wiped, self.other = followers

    @property
    def done(self) -> int:
        return sum(client.commands_done for client in self.clients)

    def is_voter(self, host: SimulatedReplicaHost) -> bool:
        return host.disk.replica_id in voters_of(self.cluster.committed_membership())

    def is_learner(self, host: SimulatedReplicaHost) -> bool:
        member = member_of(self.cluster.committed_membership(), host.disk.replica_id)
        return member is not None and not member.is_voter

    def has_everything(self, host: SimulatedReplicaHost) -> bool:
        return self.cluster.invariants.acknowledged.keys() <= host.machine.known

    def begin_repair(self) -> None:
        self.cluster.wipe(self.wiped)
        self.cluster.run_until(self.cluster.now + 0.5)
        self.wiped.start()

    def goes_on(self, commands: int = 20) -> bool:
        before = self.done
        deadline = self.cluster.now + LIMIT_S
        return self.cluster.run_until_true(lambda: self.done >= before + commands, deadline)

    def until(self, condition: object) -> None:
        assert callable(condition)
        assert self.cluster.run_until_true(condition, self.cluster.now + LIMIT_S)


class RepairTest(unittest.TestCase):
    def test_a_second_machine_lost_as_soon_as_the_repaired_one_votes_costs_nothing(self) -> None:
        for seed in SEEDS:
            for is_leader_lost in (False, True):
                with self.subTest(seed=seed, is_leader_lost=is_leader_lost):
                    group = RunningGroup(seed)
                    group.begin_repair()
                    group.until(lambda group=group: group.is_voter(group.wiped))

                    lost = group.leader if is_leader_lost else group.other
                    lost.crash()

                    self.assertTrue(group.goes_on())
                    group.until(lambda group=group: group.has_everything(group.wiped))

    def test_a_second_machine_lost_before_that_stops_the_group_until_it_is_back(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                group = RunningGroup(seed)
                group.begin_repair()
                group.until(lambda group=group: group.is_learner(group.wiped))
                group.other.crash()
                group.cluster.run_until(group.cluster.now + 1.0)
                self.assertFalse(group.goes_on())

                group.other.start()

                self.assertTrue(group.goes_on())
                group.until(lambda group=group: group.is_voter(group.wiped))


if __name__ == "__main__":
    unittest.main()
