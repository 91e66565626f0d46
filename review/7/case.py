"""A client resumes a kept turn after its node was killed; the next turn's prompt has a hole."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import configuration, turn  # noqa: E402
from rig import FRONT, CannotRunError, Rig, plain, run_case, streams  # noqa: E402

EVENTS = 8
MOST = 72


def data_of(body: bytes) -> bytes:
    """Return the data of the whole events of an answer, each with a line feed behind."""
    events = body.split(b"\n\n")[:-1]
    return b"".join(event.split(b"data: ", 1)[1] + b"\n" for event in events)


async def case(rig: Rig) -> bool:
    engines = [await rig.add_server("tutor", number, streams(EVENTS, 0.15)) for number in (1, 2)]
    await rig.add_server("app", 3, plain)
    await rig.up(configuration(1, chat={"resumable": True}))
    await asyncio.sleep(1)
    first, answer = await rig.request("node-2", "POST", "/chat/a", turn("p", "line", MOST), b"first ")
    expected = b"first " + data_of(answer.body)
    headers = turn("p", "line", MOST, previous=first)
    second = rig.next_attempt()
    fields = {"X-Passlane-Attempt-Id": second, "X-Passlane-Deadline-Ms": "4000", **headers}
    rig.record("send", node="node-1", attempt=second, headers=headers, body=b"second ")
    under_way = asyncio.create_task(
        rig.call(rig.hosts["node-1"], FRONT, "POST", "/chat/a", fields, b"second ")
    )
    while not any(request.attempt == second for engine in engines for request in engine.ran):
        await asyncio.sleep(0.02)
    # Some of the events, which come every 0.15 s, are out.
    await asyncio.sleep(0.55)
    if rig.with_trouble:
        rig.kill("node-1")
    begun = await under_way
    rig.record("answer", attempt=second, whole=begun.is_whole, events=begun.events, body=begun.body[-120:])
    expected += b"second " + data_of(begun.body)
    if rig.with_trouble:
        if begun.is_whole or not 0 < begun.events < EVENTS:
            raise CannotRunError("the node was not killed in the middle of the stream")
        second, rest = await rig.request(
            "node-2", "POST", "/chat/a", {**headers, "Last-Event-Id": str(begun.events)}, b"second "
        )
        if rest.status != 200 or not rest.is_whole:
            return False
        expected += data_of(rest.body)
    third, answer = await rig.request(
        "node-3", "POST", "/chat/a", turn("p", "line", MOST, previous=second), b"third "
    )
    expected += b"third "
    got = [request.body for engine in engines for request in engine.ran if request.attempt == third]
    rig.record("verdict", status=answer.status, expected=expected, got=got)
    return any(body != expected for body in got)


run_case(lambda: Rig(FOLDER, nodes=6), case)
