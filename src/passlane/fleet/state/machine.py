"""The control group's replicated state of the fleet.

For: state that must survive restarts of all processes: the current configuration, the initial
members of the store group, and the retired store machines.
Owns: ``FleetState``, stored in snapshots with its field names.
Relies on: commands alone; no I/O.
"""

from collections.abc import Iterable, Iterator

import msgspec

from passlane.messages.base import Message, encode_message, message_decoder
from passlane.messages.fleet import (
    ForbidReplica,
    FoundStoreGroup,
    NamedAddress,
    ReplicaForbidden,
    StoreGroupFounded,
)
from passlane.messages.routes import (
    ConfigurationReplaced,
    ReplaceConfiguration,
    RouteConfiguration,
)

FleetCommand = ReplaceConfiguration | FoundStoreGroup | ForbidReplica

_command_decoder = message_decoder(FleetCommand)


class FleetState(msgspec.Struct, frozen=True):
    """All replicated state of the fleet; snapshots store the field names.

    Attributes
    ----------
    store_founders
        The initial members of the store group; empty before the group is formed.
    retired
        Names of the replicas of retired store machines, by machine name.
    """

    configuration: RouteConfiguration | None = None
    store_founders: tuple[NamedAddress, ...] = ()
    retired: dict[str, str] = {}


_state_decoder = msgspec.msgpack.Decoder(FleetState)


class FleetStateMachine:
    """Applies commands to the fleet's state (a ``StateMachine``)."""

    def __init__(self) -> None:
        self.state = FleetState()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command and return its encoded result."""
        return encode_message(self.execute(_command_decoder.decode(command)))

    def execute(self, command: FleetCommand) -> Message:
        """Apply one command and return its result."""
        if isinstance(command, ReplaceConfiguration):
            return self._replace_configuration(command.configuration)
        if isinstance(command, ForbidReplica):
            retired = {**self.state.retired, command.name: command.replica_name}
            self.state = msgspec.structs.replace(self.state, retired=retired)
            return ReplicaForbidden(name=command.name)
        return self._set_initial_members(command)

    def _replace_configuration(self, configuration: RouteConfiguration) -> ConfigurationReplaced:
        current = self.state.configuration
        if current is not None and configuration.version <= current.version:
            return ConfigurationReplaced(version=current.version, is_new=False)
        self.state = msgspec.structs.replace(self.state, configuration=configuration)
        return ConfigurationReplaced(version=configuration.version, is_new=True)

    def _set_initial_members(self, command: FoundStoreGroup) -> StoreGroupFounded:
        if not self.state.store_founders:
            self.state = msgspec.structs.replace(self.state, store_founders=command.members)
        return StoreGroupFounded(members=self.state.store_founders)

    def snapshot_parts(self) -> Iterator[bytes]:
        """Return the state at the time of this call, encoded in one part."""
        return iter((msgspec.msgpack.encode(self.state),))

    def restore_parts(self, parts: Iterable[bytes]) -> Iterator[None]:
        """Replace the state by that of a snapshot; yields after each part is decoded."""
        for part in parts:
            state = _state_decoder.decode(part)
            yield
            self.state = state
