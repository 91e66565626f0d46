"""Tests of allocating the disk reserve at a start."""

import random
import unittest

import anyio

from passlane.simulation.disk import SimulatedDisk
from passlane.storage.reserve import DiskReserve

SIZE_BYTES = 10_000


class CountingDisk(SimulatedDisk):
    """Counts the bytes read by ``read``, which reads whole files."""

    read_bytes = 0

    def read(self, name):
        content = super().read(name)
        self.read_bytes += len(content)
        return content


class ReserveTest(unittest.TestCase):
    def setUp(self):
        self.disk = CountingDisk(random.Random(0))
        self.reserve = DiskReserve(self.disk, "group", SIZE_BYTES)

    def test_allocated_reserve_is_not_read_at_a_restart(self):
        async def main():
            self.assertTrue(await self.reserve.allocate())
            again = DiskReserve(self.disk, "group", SIZE_BYTES)
            self.assertTrue(await again.allocate())

        anyio.run(main)
        self.assertEqual(self.disk.read_bytes, 0)
        self.assertEqual(self.disk.open_read("group/reserve").size, SIZE_BYTES)

    def test_reserve_of_another_size_is_allocated_again(self):
        async def main():
            self.assertTrue(await DiskReserve(self.disk, "group", 77).allocate())
            self.assertTrue(await self.reserve.allocate())

        anyio.run(main)
        self.assertEqual(self.disk.open_read("group/reserve").size, SIZE_BYTES)


if __name__ == "__main__":
    unittest.main()
