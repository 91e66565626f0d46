"""Dispatches messages of Raft groups to the groups in this process.

A router has one handler for each class of message, but several groups may share a
process. Each message contains the name of its group.
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
    """Message handlers of one group."""

    on_raft_message: Callable[[RaftMessage], None]
    on_status_request: Callable[[GroupStatusRequest], Awaitable[GroupStatus]]
    on_join_request: Callable[[JoinRequest], Awaitable[JoinReply]]


class MessageDispatch:
    """Dispatches the messages of one router to groups by name."""

    def __init__(self, router: Router) -> None:
        self._groups: dict[str, GroupHandlers] = {}
        for message_class in get_args(AnyRaftMessage):
            router.add_one_way(message_class, self._handle_raft_message)
        router.add_unary(GroupStatusRequest, self._handle_status_request)
        router.add_unary(JoinRequest, self._handle_join_request)

    def add_group(self, group: str, handlers: GroupHandlers) -> None:
        """Register the handlers of ``group``; they replace earlier ones."""
        self._groups[group] = handlers

    async def _handle_raft_message(self, message: RaftMessage) -> None:
        """Forward a Raft message to its group; drop it if the group is not in this process."""
        handlers = self._groups.get(message.group)
        if handlers is not None:
            handlers.on_raft_message(message)

    async def _handle_status_request(self, request: GroupStatusRequest) -> GroupStatus:
        return await self._handlers_of(request.group).on_status_request(request)

    async def _handle_join_request(self, request: JoinRequest) -> JoinReply:
        return await self._handlers_of(request.group).on_join_request(request)

    def _handlers_of(self, group: str) -> GroupHandlers:
        """Return the handlers of ``group``; raise if the group is not in this process."""
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
    """Return the dispatch of ``router``, creating and registering it on first use."""
    dispatch = _dispatch_of_router.get(router)
    if dispatch is None:
        dispatch = MessageDispatch(router)
        _dispatch_of_router[router] = dispatch
    return dispatch
