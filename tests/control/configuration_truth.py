"""What a control group has answered, and the promises that are checked against it."""

import msgspec

from passlane.configuration.ledger import key_of
from passlane.configuration.parsing import encode_body
from passlane.messages.base import message_decoder
from passlane.messages.control import (
    AcceptRevision,
    ControlCommand,
    ControlResult,
    PutDocument,
    PutResult,
    VersionConflict,
    WithdrawChange,
)

decode_command = message_decoder(ControlCommand).decode
decode_result = message_decoder(ControlResult).decode


class BrokenPromiseError(AssertionError):
    """One of the promises about the configuration did not hold."""

    def __init__(self, promise, *details):
        super().__init__(promise, *details)
        self.promise = promise


def require(holds, promise, *details):
    if not holds:
        raise BrokenPromiseError(promise, *details)


class ConfigurationTruth:
    """Keeps its own record of each change, in the order of the log.

    ``regions`` are asked which revision their nodes hold when one is accepted.
    """

    def __init__(self):
        self.history = []
        self.answers = {}
        self.accepted = 0
        self.restored_by = {}
        self.regions = {}

    def take_applied(self, encoded_command, encoded_result, machine):
        """Check the result of the next command of the log, which ``machine`` has applied."""
        command, result = decode_command(encoded_command), decode_result(encoded_result)
        if isinstance(command, PutDocument | WithdrawChange):
            self._take_answer(command, result)
        if isinstance(command, AcceptRevision):
            self._take_accepted(machine)
        require(machine.ledger.accepted_revision == self.accepted, "accepted never reverts")

    def check_view(self, before, view):
        """A node acts on exactly what was accepted, and never goes back."""
        revision = view.revision_in_force
        require(before.revision_in_force <= revision, "in force never goes back", revision)
        require(revision <= self.accepted, "only what is accepted is in force", revision)
        if revision == before.revision_in_force:
            return
        held = {("policy", name): encode_body(body) for name, body in view.policies.items()}
        undone = {self.history[withdrawn - 1].body for withdrawn in self.restored_by}
        require(undone.isdisjoint(held.values()), "what is withdrawn is never in force")
        held |= {("service", name): encode_body(body) for name, body in view.services.items()}
        require(held == self._documents_at(revision), "a revision means the same everywhere")
        used = {body.policy for body in view.services.values()} - {None}
        require(used <= set(view.policies), "references hold", used)

    def _take_answer(self, command, result):
        if isinstance(result, VersionConflict):
            # The document as it stands is not kept for resends; see docs/design/configuration.md.
            result = msgspec.structs.replace(result, current=None)
        first = self.answers.setdefault(command.idempotency_key, result)
        require(first == result, "a resend gets the first answer", command, first, result)
        if isinstance(result, PutResult) and result.document.revision > len(self.history):
            self._take_change(command, result.document)

    def _take_change(self, command, document):
        require(document.revision == len(self.history) + 1, "revisions are consecutive")
        if isinstance(command, WithdrawChange):
            require(command.revision > self.accepted, "what is accepted is not withdrawn")
            self.restored_by[command.revision] = document.revision
        else:
            expected = command.expected_version
            require(expected == self._current_version(document), "one winner per version")
        versions = [change.version for change in self._changes_of(document)]
        require(document.version > max(versions, default=0), "versions grow", document)
        self.history.append(document)

    def _take_accepted(self, machine):
        newest = machine.ledger.accepted_revision
        require(newest >= self.accepted, "accepted never reverts", self.accepted, newest)
        if newest == self.accepted:
            return
        self.accepted = newest
        for name in machine.regions:
            region = self.regions[name]
            region.must_hold = newest
            region.check_leases()

    def _changes_of(self, document):
        return [change for change in self.history if key_of(change) == key_of(document)]

    def _current_version(self, document):
        changes = self._changes_of(document)
        return changes[-1].version if changes and changes[-1].body is not None else 0

    def _documents_at(self, revision):
        documents = {key_of(change): change.body for change in self.history[:revision]}
        return {key: body for key, body in documents.items() if body is not None}
