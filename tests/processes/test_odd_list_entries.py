"""Odd entries beside good ones in the platform's list, against real processes.

Guards against an entry that ends processes, that hides the other entries, or that keeps nodes
from becoming ready.
"""

import json
import unittest
from collections import Counter
from contextlib import ExitStack
from itertools import product

import anyio
from anyio.from_thread import start_blocking_portal

from passlane.messages.fleet import FleetRole
from processes.back_end import plain, streams, write_answer
from processes.fleet import (
    BACK_END_PORT,
    MODELS,
    TOOLS,
    configuration,
    process_fleet,
    turn,
)

RUNS_ALONE = "starts processes and listens on real sockets"

PROCESSES = {FleetRole.CONTROL: 3, FleetRole.STORE: 3, FleetRole.NODE: 2}
SETTLED_S = 3.0
"""A list is read every 0.9 s; a node whose own is 2 s old reads for itself."""
START_TIMEOUT_S = 30.0
REQUESTS = 10
"""Requests of each kind in a check."""
NOWHERE_HOST = 250
MARK = '"@@"'
UNREAD = "note"
SERVICES = (TOOLS, MODELS)

NUMBERS = {
    "2^63": str(2**63),
    "2^64": str(2**64),
    "20 digits": "9" * 20,
    "310 digits": "9" * 310,
    "5,000 digits": "9" * 5_000,
    "1e999": "1e999",
    "below -2^63": str(-(2**63) - 1),
}
NAMES = {
    "300,000 characters": '"' + "x" * 300_000 + '"',
    "no text": '"\udcff\udcfe"',
    "lone surrogate": '"\\ud800"',
}
MALFORMED = ('{"a" 1}', "{,,}", "[1 2]", '{"a":[}]', "{1:2}", "tru", '{"a":1,}')
NESTED = {
    "3,000 brackets": "[" * 3_000 + "]" * 3_000,
    "100,000 brackets": "[" * 100_000 + "]" * 100_000,
    "3,000 objects": '{"a":' * 3_000 + "1" + "}" * 3_000,
}
ODD_TOKENS = (
    "7",
    "{}",
    "9" * 5_000,
    "1e999",
    *NESTED.values(),
    *NAMES.values(),
    '"\\u0000\\r\\n"',
)

NUMBER_ENTRIES = [
    *product(("slots", "born", "cold_left_ms"), NUMBERS.values()),
    *(("models", f'[{{"name":"m","version":{number}}}]') for number in NUMBERS.values()),
]
NAME_ENTRIES = list(product(("id", "service", "zone", "version"), NAMES.values()))
MALFORMED_ENTRIES = list(product(("slots", "id"), MALFORMED))
NESTED_ENTRIES = list(product(("slots", "id", "models"), NESTED.values()))


def entry(number, field, value, service, address):
    """Return an entry with a value written as it is; nothing listens at its address."""
    fields = {
        "id": f"i-odd-{number}",
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        field: "@@",
    }
    return encoded(json.dumps(fields).replace(MARK, value))


def encoded(text):
    """Return the bytes of a text whose surrogates stand for bytes that are no text."""
    return text.encode("utf-8", "surrogateescape")


def odd_entries(pairs, address):
    """Return an entry for each pair of a field and its value."""
    return [
        entry(number, field, value, SERVICES[number % 2], address)
        for number, (field, value) in enumerate(pairs)
    ]


class OddList:
    """Serves the list with odd entries before, between and behind the good ones."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.entries = []
        self.unread_values = []
        self.next_token = "null"

    async def answer(self, _, request, stream):
        good = [back_end for back_end in self._fleet.back_ends if back_end.is_listed]
        parts = [json.dumps(back_end.entry()).encode() for back_end in good]
        middle = len(self.entries) // 2
        parts = [*self.entries[:middle], *parts, *self.entries[middle:], *self._unread_entries()]
        body = b'{"instances":[' + b",".join(parts) + b'],"next_token":' + encoded(self.next_token)
        await write_answer(stream, request, "200 OK", body + b"}")

    def _unread_entries(self):
        """Return further entries of listed back ends, with values in a field that nothing reads."""
        listed = [back_end for back_end in self._fleet.back_ends if back_end.is_listed]
        for number, value in enumerate(self.unread_values):
            fields = listed[number % len(listed)].entry() | {UNREAD: "@@"}
            yield encoded(json.dumps(fields).replace(MARK, value))


def add_back_ends(fleet):
    """Add for each service a back end that leaves and one that joins."""
    added = [
        [fleet.add_back_end(service, answer) for service, answer in kinds]
        for kinds in [[(TOOLS, plain()), (MODELS, streams(2, 0.01))]] * 2
    ]
    fleet.leaving, fleet.joining = added
    fleet.odd = OddList(fleet)
    fleet.list_answer = fleet.odd.answer


class OddListTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        stack = ExitStack()
        cls.addClassCleanup(stack.close)
        cls.portal = stack.enter_context(start_blocking_portal())
        running = process_fleet(configuration(), add_back_ends, processes=PROCESSES)
        cls.fleet = stack.enter_context(cls.portal.wrap_async_context_manager(running))
        cls.nowhere = f"{cls.fleet._network}.{NOWHERE_HOST}:{BACK_END_PORT}"
        cls.turns = 0

    def setUp(self):
        self.portal.call(self._restore)

    async def _restore(self):
        """Bring all processes back, with good entries alone."""
        fleet = self.fleet
        fleet.odd.entries, fleet.odd.unread_values, fleet.odd.next_token = [], [], "null"
        self._list_back_ends(leaving=True)
        fleet.restart(*(machine.name for machine in fleet.machines.all if not machine.is_running))
        with anyio.fail_after(START_TIMEOUT_S):
            await fleet.wait_until_ready()
        await anyio.sleep(SETTLED_S)

    def _list_back_ends(self, *, leaving):
        for back_end in self.fleet.leaving:
            back_end.is_listed = leaving
        for back_end in self.fleet.joining:
            back_end.is_listed = not leaving

    async def _assert_held_while_running(self):
        """The back ends leave and others join while the odd entries stand there."""
        await anyio.sleep(SETTLED_S)
        self._list_back_ends(leaving=False)
        await anyio.sleep(SETTLED_S)
        for back_end in (*self.fleet.leaving, *self.fleet.joining):
            back_end.ran.clear()
        await self._assert_all_served()
        self._assert_no_process_ended()
        for back_end in self.fleet.leaving:
            self.assertEqual(back_end.ran, [], "a back end that left the list got requests")
        for back_end in self.fleet.joining:
            self.assertTrue(back_end.ran, "a back end that joined the list got no request")

    async def _assert_held_from_a_start(self):
        """All processes start while the odd entries stand there."""
        names = [machine.name for machine in self.fleet.machines.all]
        await self.fleet.kill(*names)
        self.fleet.restart(*names)
        with anyio.move_on_after(START_TIMEOUT_S):
            await self.fleet.wait_until_ready()
        self._assert_no_process_ended()
        for node in self.fleet.machines.of_role(FleetRole.NODE):
            self.assertTrue(await self.fleet.is_ready(node), f"{node.name} is not ready")
        await anyio.sleep(SETTLED_S)
        await self._assert_all_served()
        self._assert_no_process_ended()

    async def _assert_all_served(self):
        nodes = [node.name for node in self.fleet.machines.of_role(FleetRole.NODE)]
        statuses = []
        for number in range(REQUESTS):
            node = nodes[number % len(nodes)]
            type(self).turns += 1
            for path, headers in (("/safe/x", {}), ("/both/x", turn(f"line-{self.turns}"))):
                statuses.append(await self._status(node, path, headers))
        self.assertEqual(Counter(statuses), {200: len(statuses)}, self._ended())

    async def _status(self, node, path, headers):
        try:
            answer, _ = await self.fleet.request(node, path, headers, b"x")
        except (OSError, TimeoutError, anyio.BrokenResourceError) as error:
            return type(error).__name__
        return answer.status if answer.is_whole else "cut off"

    def _assert_no_process_ended(self):
        self.assertEqual(self._ended(), [])

    def _ended(self):
        """Return the names and last lines of the processes that have ended."""
        return [
            (machine.name, self.fleet.output_of(machine.name)[-500:])
            for machine in self.fleet.machines.all
            if not machine.is_running
        ]

    def check(self, entries, unread_values, check):
        self.fleet.odd.entries = odd_entries(entries, self.nowhere)
        self.fleet.odd.unread_values = unread_values
        self.portal.call(check)

    def check_running(self, entries, unread_values=()):
        self.check(entries, unread_values, self._assert_held_while_running)

    def check_start(self, entries, unread_values=()):
        self.check(entries, unread_values, self._assert_held_from_a_start)

    def test_numbers_of_any_size_while_running(self):
        self.check_running(NUMBER_ENTRIES, list(NUMBERS.values()))

    def test_numbers_of_any_size_from_a_start(self):
        self.check_start(NUMBER_ENTRIES, list(NUMBERS.values()))

    def test_long_names_and_bytes_that_are_no_text_while_running(self):
        self.check_running(NAME_ENTRIES, list(NAMES.values()))

    def test_long_names_and_bytes_that_are_no_text_from_a_start(self):
        self.check_start(NAME_ENTRIES, list(NAMES.values()))

    def test_malformed_entries_while_running(self):
        self.check_running(MALFORMED_ENTRIES, MALFORMED)

    def test_malformed_entries_from_a_start(self):
        self.check_start(MALFORMED_ENTRIES, MALFORMED)

    def test_nested_brackets_while_running(self):
        self.check_running(NESTED_ENTRIES, list(NESTED.values()))

    def test_nested_brackets_from_a_start(self):
        self.check_start(NESTED_ENTRIES, list(NESTED.values()))

    def test_odd_tokens_of_the_next_page(self):
        self.portal.call(self._assert_odd_tokens_end_nothing)

    async def _assert_odd_tokens_end_nothing(self):
        for token in ODD_TOKENS:
            self.fleet.odd.next_token = token
            await anyio.sleep(SETTLED_S)
            await self._assert_all_served()
            self._assert_no_process_ended()
        self.fleet.odd.next_token = "null"
        await self._assert_held_while_running()


if __name__ == "__main__":
    unittest.main()
