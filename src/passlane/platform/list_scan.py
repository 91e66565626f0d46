"""Separates the parts of a JSON text without decoding them.

A part that no decoder accepts, because it is malformed, nested too deep or no text, then costs
itself alone. The scan knows strings, brackets and commas only, doesn't recurse, takes time in
proportion to the text, and lets other tasks run between its steps.
"""

import re
from collections.abc import AsyncIterator
from typing import NamedTuple, NoReturn

import anyio.lowlevel
import msgspec

from passlane.errors import ErrorCode, PasslaneError

TOKENS_PER_STEP = 1_000
BYTES_PER_STEP = 65_536
"""A step, of a few milliseconds, ends at so many tokens or bytes."""
MAX_PIECES = (128, 16, 32, 8)
"""Strings, brackets and text between them that a token of brackets may hold, by its levels. It
covers an entry as the platform writes it; what holds more consists of several tokens."""
MAX_REPETITIONS = 200
"""Equal parts that one token may consist of."""

_TEXT = rb'[^"\[\]{}]'
_CHARACTERS = rb'[^"\\]*+(?:\\.[^"\\]*+){0,%d}+' % MAX_REPETITIONS
_STRING = rb'"' + _CHARACTERS + rb'"'


def _brackets(max_pieces: tuple[int, ...]) -> bytes:
    """Return the pattern of a pair of brackets and what is in it, level by level."""
    piece = _TEXT + rb"++|" + _STRING
    if len(max_pieces) > 1:
        piece += b"|" + _brackets(max_pieces[1:])
    return rb"[\[{](?:" + piece + rb"){0,%d}+[\]}]" % max_pieces[0]


def _run(bracket: bytes) -> bytes:
    """Return the pattern of brackets of one kind with only text between them."""
    return bracket + b"(?:" + _TEXT + b"*+" + bracket + rb"){0,%d}+" % MAX_REPETITIONS


_BRACKETS = _brackets(MAX_PIECES)
_SKIPPED = rb"(?:%s++|%s|%s){1,%d}+" % (_TEXT, _STRING, _BRACKETS, MAX_REPETITIONS)
_SINGLE = rb'(?P<quote>")|(?P<opening>%s)|(?P<closing>%s)' % (_run(rb"[\[{]"), _run(rb"[\]}]"))
_TOKEN = re.compile(rb"(?P<brackets>%s)|(?P<comma>,)|%s" % (_BRACKETS, _SINGLE), re.DOTALL)
_TOKEN_IN_BRACKETS = re.compile(rb"(?P<skipped>%s)|%s" % (_SKIPPED, _SINGLE), re.DOTALL)
_QUOTE = re.compile(rb'"')
_IN_STRING = re.compile(_CHARACTERS, re.DOTALL)
_SPACES = re.compile(rb"\s*+")
_NAME = re.compile(rb'\s*+"(%s)"\s*+:' % _CHARACTERS, re.DOTALL)
_END_AND_START = re.compile(rb"[\]}]\s*+,\s*+[\[{]")


class Span(NamedTuple):
    """A part of a text, from byte ``start`` to before byte ``end``."""

    start: int
    end: int

    def of(self, text: bytes) -> bytes:
        """Return the bytes of this part."""
        return text[self.start : self.end]


class _Pace:
    """Tells when a step is over.

    Parameters
    ----------
    position
        Position at which the scan starts.
    """

    def __init__(self, position: int) -> None:
        self._step_at = position
        self._tokens = 0

    def is_step_over(self, position: int) -> bool:
        """Count a token that ends at ``position``; return whether other tasks should run."""
        self._tokens += 1
        if self._tokens < TOKENS_PER_STEP and position - self._step_at < BYTES_PER_STEP:
            return False
        self._tokens = 0
        self._step_at = position
        return True


class Member(NamedTuple):
    """A member of an object; its value is not decoded."""

    name: bytes
    value: Span


async def members(text: bytes) -> AsyncIterator[Member]:
    """Yield the members of an object.

    Raises
    ------
    PasslaneError
        ``PROTOCOL_ERROR`` when the text is no object whose members can be separated.
    """
    async for part in _parts(text, _inside(text, Span(0, len(text)), b"{", b"}")):
        name = _NAME.match(text, part.start, part.end)
        if name is None:
            _refuse("expected a name and a value", part.start)
        yield Member(_decoded_name(name[1]), Span(name.end(), part.end))


def _decoded_name(name: bytes) -> bytes:
    """Return the name that stands between two quotes; as it is, if it is no valid text."""
    if b"\\" not in name:
        return name
    try:
        return msgspec.json.decode(b'"' + name + b'"', type=str).encode()
    except ValueError:
        return name


async def elements(text: bytes, array: Span) -> AsyncIterator[Span]:
    """Yield the elements of an array that is a part of a text.

    Raises
    ------
    PasslaneError
        ``PROTOCOL_ERROR`` when the part is no array whose elements can be separated.
    """
    async for part in _parts(text, _inside(text, array, b"[", b"]")):
        yield part


async def hides_elements(part: bytes) -> bool:
    """Return whether a string of a part holds an end of an element and the start of another.

    In a malformed part it shows that the strings begin and end at other quotes than scanned.
    """
    position, pace = 0, _Pace(0)
    while (quote := _QUOTE.search(part, position)) is not None:
        position = await _end_of_string(part, Span(quote.end(), len(part)))
        if _END_AND_START.search(part, quote.end(), position):
            return True
        if pace.is_step_over(position):
            await anyio.lowlevel.checkpoint()
    return False


async def _parts(text: bytes, span: Span) -> AsyncIterator[Span]:
    """Yield the parts that commas outside of brackets and strings separate."""
    start = position = span.start
    pace = _Pace(position)
    depth, has_brackets = 0, False
    while token := (_TOKEN_IN_BRACKETS if depth else _TOKEN).search(text, position, span.end):
        kind, position = token.lastgroup, token.end()
        if kind == "quote":
            position = await _end_of_string(text, Span(position, span.end))
        elif kind == "comma":
            yield Span(start, token.start())
            start, has_brackets = position, False
        elif kind == "closing":
            depth -= _bracket_count(token[0])
            if depth < 0:
                _refuse("a bracket closes nothing", token.start())
        elif kind != "skipped":
            if depth == 0 and has_brackets:
                _refuse("expected a comma", token.start())
            has_brackets = True
            depth += _bracket_count(token[0]) if kind == "opening" else 0
        if pace.is_step_over(position):
            await anyio.lowlevel.checkpoint()
    if depth > 0:
        _refuse("a bracket is not closed", span.end)
    if start > span.start or _first_byte(text, span) < span.end:
        yield Span(start, span.end)


def _bracket_count(run: bytes) -> int:
    return sum(map(run.count, (b"[", b"{", b"]", b"}")))


async def _end_of_string(text: bytes, span: Span) -> int:
    """Return the position behind a string, of which ``span`` holds all behind its first quote."""
    position = span.start
    while True:
        characters = _IN_STRING.match(text, position, span.end)
        assert characters is not None
        if text[characters.end() : characters.end() + 1] == b'"' and characters.end() < span.end:
            return characters.end() + 1
        if characters.end() == position:
            _refuse("a string doesn't end", span.start)
        position = characters.end()
        await anyio.lowlevel.checkpoint()


def _inside(text: bytes, span: Span, opening: bytes, closing: bytes) -> Span:
    """Return what is between a pair of brackets, around which there are only spaces."""
    first = _first_byte(text, span)
    last = text.rfind(closing, first + 1, span.end)
    if last < 0 or text[first : first + 1] != opening or text[last + 1 : span.end].strip():
        _refuse(f"expected {opening.decode()}...{closing.decode()}", first)
    return Span(first + 1, last)


def _first_byte(text: bytes, span: Span) -> int:
    """Return the position behind the spaces at the start of a part."""
    spaces = _SPACES.match(text, span.start, span.end)
    assert spaces is not None
    return spaces.end()


def _refuse(reason: str, position: int) -> NoReturn:
    raise PasslaneError(ErrorCode.PROTOCOL_ERROR, f"list of engines: {reason} at byte {position}")
