"""A configuration brings the first tenants; conversations that go on are not found any more."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from deployment import configuration, tenant, turn  # noqa: E402
from rig import CannotRunError, Rig, plain, run_case, streams  # noqa: E402

CONFIG_APPLY_S = 2.0
RETENTION_S = 60.0


async def case(rig: Rig) -> bool:
    for number in (1, 2):
        await rig.add_server("tutor", number, streams(4, 0.02))
    await rig.add_server("app", 3, plain)
    await rig.up(configuration(1))
    await asyncio.sleep(1)
    previous: str | None = None
    answered_at = 0.0
    lost = 0
    for number in range(6):
        if number == 3 and rig.with_trouble:
            if not await rig.put(configuration(2, [tenant("shop-a", "key-a"), tenant("shop-b", "key-b")])):
                raise CannotRunError("the configuration was not acknowledged")
            await asyncio.sleep(CONFIG_APPLY_S + 0.5)
        attempt, answer = await rig.request(
            f"node-{number % 2 + 1}", "POST", "/chat/a",
            turn("p", "line", 36, previous=previous, key="key-a"), f"turn {number} ".encode(),
        )
        if answer.status == 200 and answer.is_whole:
            previous, answered_at = attempt, rig.now()
        elif answer.status in (404, 410) and rig.now() - answered_at < RETENTION_S:
            lost += 1
            rig.record("lost", previous=previous, answered_s_ago=round(rig.now() - answered_at, 1))
        await asyncio.sleep(0.2)
    return lost > 0


run_case(lambda: Rig(FOLDER), case)
