"""The identity file: which replica a data folder belongs to.

A replica's identity is valid only together with its files. A folder that was wiped or
whose files are damaged gets a new identity, so that the replica cannot contradict votes
or acknowledged entries that it gave under the old one.
"""

import random

import msgspec

from passlane.errors import PasslaneError
from passlane.identifiers import ReplicaId
from passlane.messages.raft import GroupMember
from passlane.runtime.interfaces import Disk
from passlane.storage.formats import Identity, decode_payload, storage_corrupt
from passlane.storage.records import FORMAT_VERSION, RecordKind, encode_record, read_record

IDENTITY_NAME = "identity"
_RANDOM_BITS = 48
_SUFFIX_SEPARATOR = "-"


def process_name_from_replica_id(replica_id: ReplicaId) -> str:
    """Return the name of the process that a replica id was created for."""
    name, _, _ = replica_id.rpartition(_SUFFIX_SEPARATOR)
    return name or replica_id


class IdentityFile:
    """The file ``identity`` in a group's folder, and the numbered generation folders next to it."""

    def __init__(self, disk: Disk, folder: str, group: str, own_name: str) -> None:
        self._disk = disk
        self._folder = folder
        self._name = f"{folder}/{IDENTITY_NAME}"
        self._group = group
        self._own_name = own_name

    def generation_folder(self, generation: int) -> str:
        """Return the path of the folder with the log and snapshot of a generation."""
        return f"{self._folder}/{generation:04d}"

    def load(self) -> Identity | None:
        """Return the stored identity; ``None`` if the folder has never had one.

        Raises
        ------
        PasslaneError
            ``STORAGE_CORRUPT`` when the file is damaged, has another group or format, or
            is missing although there is a log.
        """
        try:
            content = memoryview(self._disk.read(self._name))
        except FileNotFoundError:
            if self._next_generation() > 1:
                raise storage_corrupt(
                    f"{self._name} is missing, but its folder has a log"
                ) from None
            return None
        record = read_record(content, 0)
        if record is None or record.kind is not RecordKind.IDENTITY:
            raise storage_corrupt(f"{self._name}: the identity record is damaged")
        identity = decode_payload(Identity, record.payload, self._name)
        if identity.format_version != FORMAT_VERSION or identity.group != self._group:
            raise storage_corrupt(
                f"{self._name}: expected group {self._group}, format {FORMAT_VERSION};"
                f" found {identity}"
            )
        return identity

    async def create(self, source: random.Random, *, may_found: bool) -> Identity:
        """Create and store a new identity for the next unused generation."""
        suffix = f"{source.getrandbits(_RANDOM_BITS):012x}"
        identity = Identity(
            format_version=FORMAT_VERSION,
            group=self._group,
            replica_id=ReplicaId(f"{self._own_name}{_SUFFIX_SEPARATOR}{suffix}"),
            generation=self._next_generation(),
            may_found=may_found,
        )
        await self._save(identity)
        return identity

    async def record_founding(
        self, identity: Identity, founders: tuple[GroupMember, ...]
    ) -> Identity:
        """Store that this replica founds its group together with ``founders``."""
        founder = msgspec.structs.replace(identity, is_member=True, founders=founders)
        await self._save(founder)
        return founder

    async def record_joining(self, identity: Identity) -> Identity:
        """Store that a leader has added this replica to its group."""
        member = msgspec.structs.replace(identity, is_member=True, may_found=False)
        await self._save(member)
        return member

    async def remove_older_generations(self, identity: Identity) -> None:
        """Remove the files of older generations, kept until this replica is a member again."""
        for generation in range(1, identity.generation):
            folder = self.generation_folder(generation)
            for name in self._disk.list_files(folder):
                await self._disk.remove(f"{folder}/{name}")

    def _next_generation(self) -> int:
        """Return the number after the last generation that has files."""
        generation = self._stored_generation()
        while self._disk.list_files(self.generation_folder(generation + 1)):
            generation += 1
        return generation + 1

    def _stored_generation(self) -> int:
        """Return the generation in the identity file; 0 if the file cannot be read."""
        try:
            record = read_record(memoryview(self._disk.read(self._name)), 0)
            if record is None:
                return 0
            return decode_payload(Identity, record.payload, self._name).generation
        except (OSError, PasslaneError):
            # Without a valid file, the generation is found from the folders alone.
            return 0

    async def _save(self, identity: Identity) -> None:
        """Replace the file atomically and durably."""
        content = encode_record(RecordKind.IDENTITY, msgspec.msgpack.encode(identity))
        await self._disk.replace(self._name, content)
