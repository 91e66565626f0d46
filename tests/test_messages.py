"""Messages survive their codec, and foreign bytes are refused."""

import unittest

import msgspec

from passlane.errors import ErrorCode, Verdict
from passlane.identifiers import CallId, Epoch, Partition, ProgramId
from passlane.messages.base import encode_message, message_decoder
from passlane.messages.common import Address, Amounts, ErrorReply
from passlane.messages.store import CallOutcome, FinishCall, StoreCommand, Turn


class CodecTest(unittest.TestCase):
    def test_command_survives_encoding(self) -> None:
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

    def test_message_of_another_union_is_refused(self) -> None:
        reply = ErrorReply(code=ErrorCode.TIMEOUT, message="late", verdict=Verdict.NOT_RUN)
        with self.assertRaises(msgspec.ValidationError):
            message_decoder(StoreCommand).decode(encode_message(reply))

    def test_address_parses_its_own_text(self) -> None:
        address = Address(host="127.0.0.1", port=7001)
        self.assertEqual(Address.parse(str(address)), address)

    def test_amounts_fit_only_when_each_part_fits(self) -> None:
        limit = Amounts(tokens=10, calls=1, money_micros=5)
        self.assertTrue(Amounts(tokens=10, calls=1, money_micros=5).fits_within(limit))
        self.assertFalse(Amounts(tokens=1, calls=2).fits_within(limit))


if __name__ == "__main__":
    unittest.main()
