"""What stand-ins answer: each answer follows from its request's id."""

ENDLESS_PART = b"data: " + b"x" * 50_000
"""What an answer without an end consists of."""
PLAIN_BODY_REPEATS = 200
"""Makes a plain body of some kilobytes, which can break off in its middle."""


def events_of(request_id: str, count: int) -> list[bytes]:
    """Return the events that an engine sends for a request."""
    numbers = range(1, count + 1)
    return [f"id: {n}\ndata: {request_id}.{n}\n\n".encode() for n in numbers]


def stream_event(version: str, request_id: str, number: int) -> bytes:
    """Return an event of a resumable stream, with the version of the engine that made it."""
    return f"id: {number}\ndata: {version} {request_id}.{number}\n\n".encode()


def kept_output(request_id: str, count: int) -> bytes:
    """Return what a turn's events add to its history."""
    return "".join(f"{request_id}.{n}\n" for n in range(1, count + 1)).encode()


def plain_output(request_id: str) -> bytes:
    """Return the body that a plain back end answers with."""
    return f"<{request_id}>".encode() * PLAIN_BODY_REPEATS


def output_of(request_id: str, events: int) -> bytes:
    """Return a whole answer: a stream of so many events, or without any a plain body."""
    return b"".join(events_of(request_id, events)) if events else plain_output(request_id)


def is_endless_beginning(body: bytes) -> bool:
    """Return whether a body is a beginning of an answer without an end."""
    repeats = len(body) // len(ENDLESS_PART) + 1
    return (ENDLESS_PART * repeats).startswith(body)
