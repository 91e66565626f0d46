"""Checks results of a control group and views of nodes against the configuration invariants.

Keeps an independent history of all changes.
"""

import msgspec

from passlane.configuration.ledger import document_key
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


class InvariantViolationError(AssertionError):
    """An invariant of the configuration does not hold."""

    def __init__(self, invariant, *details):
        super().__init__(invariant, *details)
        self.invariant = invariant


def require(holds, invariant, *details):
    if not holds:
        raise InvariantViolationError(invariant, *details)


class ConfigurationChecker:
    """Records each change in the order of the log and checks the invariants.

    When a revision is accepted, the leases of ``regions`` are checked.
    """

    def __init__(self):
        self.history = []
        self.results = {}
        self.accepted = 0
        self.restored_by = {}
        self.regions = {}

    def check_applied(self, encoded_command, encoded_result, machine):
        """Check the result of the next command of the log, which ``machine`` has applied."""
        command, result = decode_command(encoded_command), decode_result(encoded_result)
        if isinstance(command, PutDocument | WithdrawChange):
            self._check_result(command, result)
        if isinstance(command, AcceptRevision):
            self._check_accepted(machine)
        require(
            machine.ledger.accepted_revision == self.accepted,
            "the accepted revision never decreases",
        )

    def check_view(self, before, view):
        """Check that a node acts only on accepted documents and its revision never decreases."""
        revision = view.revision_in_force
        require(
            before.revision_in_force <= revision, "the revision in force never decreases", revision
        )
        require(revision <= self.accepted, "only accepted changes are in force", revision)
        if revision == before.revision_in_force:
            return
        in_force = {("policy", name): encode_body(body) for name, body in view.policies.items()}
        withdrawn_bodies = {self.history[withdrawn - 1].body for withdrawn in self.restored_by}
        require(
            withdrawn_bodies.isdisjoint(in_force.values()), "withdrawn changes are never in force"
        )
        in_force |= {("service", name): encode_body(body) for name, body in view.services.items()}
        require(
            in_force == self._documents_at(revision), "a revision has the same contents everywhere"
        )
        used = {body.policy for body in view.services.values()} - {None}
        require(used <= set(view.policies), "references are valid", used)

    def _check_result(self, command, result):
        if isinstance(result, VersionConflict):
            # The current document is not part of the retained result.
            result = msgspec.structs.replace(result, current=None)
        first = self.results.setdefault(command.idempotency_key, result)
        require(first == result, "a resend gets the first result", command, first, result)
        if isinstance(result, PutResult) and result.document.revision > len(self.history):
            self._check_change(command, result.document)

    def _check_change(self, command, document):
        require(document.revision == len(self.history) + 1, "revisions are consecutive")
        if isinstance(command, WithdrawChange):
            require(command.revision > self.accepted, "accepted changes are not withdrawn")
            self.restored_by[command.revision] = document.revision
        else:
            expected = command.expected_version
            require(expected == self._current_version(document), "one change per version")
        versions = [change.version for change in self._changes_of(document)]
        require(document.version > max(versions, default=0), "versions increase", document)
        self.history.append(document)

    def _check_accepted(self, machine):
        newest = machine.ledger.accepted_revision
        require(
            newest >= self.accepted, "the accepted revision never decreases", self.accepted, newest
        )
        if newest == self.accepted:
            return
        self.accepted = newest
        for name in machine.regions:
            region = self.regions[name]
            region.required_revision = newest
            region.check_leases()

    def _changes_of(self, document):
        return [change for change in self.history if document_key(change) == document_key(document)]

    def _current_version(self, document):
        changes = self._changes_of(document)
        return changes[-1].version if changes and changes[-1].body is not None else 0

    def _documents_at(self, revision):
        documents = {document_key(change): change.body for change in self.history[:revision]}
        return {key: body for key, body in documents.items() if body is not None}
