"""The message codec: round trips, the registry of classes, and refusal of invalid bytes."""

import importlib
import pkgutil
import subprocess
import sys
import unittest

import msgspec

import passlane.messages
from passlane.errors import ErrorCode, PasslaneError, Verdict
from passlane.identifiers import CallId, Epoch, Partition, ProgramId
from passlane.messages.base import encode_message, message_decoder
from passlane.messages.common import Address, Amounts, ErrorReply, NotLeaderError
from passlane.messages.fleet import ReadRetirement
from passlane.messages.registry import MessageRegistry
from passlane.messages.store import CallOutcome, FinishCall, StoreCommand, Turn
from passlane.messages.turns import FindTurnStore

RUNS_ALONE = "starts processes"


class CodecTest(unittest.TestCase):
    def test_decoded_command_equals_the_encoded_one(self) -> None:
        command = FinishCall(
            program_id=ProgramId("p"),
            partition=Partition(3),
            epoch=Epoch(7),
            call_id=CallId("c"),
            outcome=CallOutcome(verdict=Verdict.RAN, body="ok", spent=Amounts(tokens=4)),
            turns=(Turn(role="assistant", content="ok"),),
        )
        decoded = message_decoder(StoreCommand).decode(encode_message(command))
        self.assertEqual(decoded, command)

    def test_a_value_without_an_encoding_is_an_error_of_the_project(self) -> None:
        deep: object = []
        for _ in range(100_000):
            deep = [deep]
        values = (2**64, -(2**63) - 1, 10**400, "\ud800", object(), deep)
        for value in values:
            reply = ErrorReply(code=ErrorCode.TIMEOUT, message="", verdict=Verdict.NOT_RUN)
            odd = msgspec.structs.replace(reply, message=value)
            with self.subTest(type(value)), self.assertRaises(PasslaneError) as raised:
                encode_message(odd)
            self.assertIs(raised.exception.code, ErrorCode.INTERNAL)
            self.assertIn("ErrorReply can't be encoded: expected", raised.exception.message)
            self.assertLess(len(raised.exception.message), 300)

    def test_message_of_another_union_is_refused(self) -> None:
        reply = ErrorReply(code=ErrorCode.TIMEOUT, message="late", verdict=Verdict.NOT_RUN)
        with self.assertRaises(msgspec.ValidationError):
            message_decoder(StoreCommand).decode(encode_message(reply))

    def test_error_reply_keeps_the_verdict_and_the_leader(self) -> None:
        leader = Address("10.0.0.1", 7000)
        for verdict in Verdict:
            error = NotLeaderError("moved", leader, verdict=verdict)
            reply = ErrorReply.from_exception(error)
            decoded = message_decoder(ErrorReply).decode(encode_message(reply)).to_exception()
            assert isinstance(decoded, NotLeaderError)
            self.assertEqual((decoded.verdict, decoded.leader), (verdict, leader))

    def test_address_parses_its_own_text(self) -> None:
        address = Address(host="127.0.0.1", port=7001)
        self.assertEqual(Address.parse(str(address)), address)

    def test_amounts_fit_only_when_each_part_fits(self) -> None:
        limit = Amounts(tokens=10, calls=1, money_micros=5)
        self.assertTrue(Amounts(tokens=10, calls=1, money_micros=5).fits_within(limit))
        self.assertFalse(Amounts(tokens=1, calls=2).fits_within(limit))


class RegistryTest(unittest.TestCase):
    def test_every_message_class_of_the_package_has_a_unique_name_and_is_registered(self) -> None:
        for entry in pkgutil.iter_modules(passlane.messages.__path__):
            importlib.import_module(f"{passlane.messages.__name__}.{entry.name}")
        # Building the decoder fails if two classes have the same name.
        registry = MessageRegistry()
        for message in (FindTurnStore(), ReadRetirement("a")):
            self.assertEqual(registry.decode(encode_message(message)), message)

    def test_classes_that_are_imported_later_are_registered(self) -> None:
        script = """
from passlane.messages.registry import decode_any_message
from passlane.messages.base import encode_message
from passlane.messages.turns import FindTurnStore
assert decode_any_message(encode_message(FindTurnStore())) == FindTurnStore()
from passlane.messages.fleet import ReadRetirement
message = ReadRetirement("a")
assert decode_any_message(encode_message(message)) == message
"""
        subprocess.run([sys.executable, "-c", script], check=True)

    def test_bytes_without_a_registered_message_are_refused(self) -> None:
        registry = MessageRegistry()
        for body in (b"", b"\xc1", msgspec.msgpack.encode({"type": "NoSuchMessage"})):
            with self.subTest(body=body), self.assertRaises(msgspec.DecodeError):
                registry.decode(body)


if __name__ == "__main__":
    unittest.main()
