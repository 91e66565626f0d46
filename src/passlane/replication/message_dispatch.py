"""Hands messages of Raft groups to the right group of this process.

A router takes one handler for each class of message, but several groups may share a
process; their messages name the group.
"""

from collections.abc import Awaitable, Callable
from typing import get_args
from weakref import WeakKeyDictionary

import msgspec

from passlane.errors import ErrorCode, PasslaneError
from passlane.messages.raft import AnyRaftMessage, RaftMessage
from passlane.messages.replication import (
    GroupStatus,
    GroupStatusRequest,
    JoinReply,
    JoinRequest,
)
from passlane.transport.interfaces import Router

_RETRY_AFTER_S = 0.5


class GroupHandlers(msgspec.Struct, frozen=True):
    """What one group does with its messages."""

    on_raft_message: Callable[[RaftMessage], None]
    on_status_request: Callable[[GroupStatusRequest], Awaitable[GroupStatus]]
    on_join_request: Callable[[JoinRequest], Awaitable[JoinReply]]


class MessageDispatch:
    """The groups of one router, by name."""

    def __init__(self, router: Router) -> None:
        self._groups: dict[str, GroupHandlers] = {}
        for message_class in get_args(AnyRaftMessage):
            router.add_one_way(message_class, self._handle_raft_message)
        router.add_unary(GroupStatusRequest, self._handle_status_request)
        router.add_unary(JoinRequest, self._handle_join_request)

    def add_group(self, group: str, handlers: GroupHandlers) -> None:
        """Hand the messages of ``group`` to ``handlers`` from now on."""
        self._groups[group] = handlers

    async def _handle_raft_message(self, message: RaftMessage) -> None:
        """Hand on a Raft message; one for a group that is not here is dropped."""
        handlers = self._groups.get(message.group)
        if handlers is not None:
            handlers.on_raft_message(message)

    async def _handle_status_request(self, request: GroupStatusRequest) -> GroupStatus:
        return await self._handlers_of(request.group).on_status_request(request)

    async def _handle_join_request(self, request: JoinRequest) -> JoinReply:
        return await self._handlers_of(request.group).on_join_request(request)

    def _handlers_of(self, group: str) -> GroupHandlers:
        """Return the handlers of ``group``; refuse a group that is not here."""
        handlers = self._groups.get(group)
        if handlers is None:
            raise PasslaneError(
                ErrorCode.UNAVAILABLE,
                f"group {group} does not run in this process",
                retry_after_s=_RETRY_AFTER_S,
            )
        return handlers


_dispatch_of_router: "WeakKeyDictionary[Router, MessageDispatch]" = WeakKeyDictionary()


def dispatch_for(router: Router) -> MessageDispatch:
    """Return the one dispatch of ``router``, registered with it on first use."""
    dispatch = _dispatch_of_router.get(router)
    if dispatch is None:
        dispatch = MessageDispatch(router)
        _dispatch_of_router[router] = dispatch
    return dispatch
