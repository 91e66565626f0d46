"""The commands whose log is kept, as data, with the tags and fields that are stored.

Each machine gets two rounds: a snapshot holds what the first one made, the log the second.
"""

import json
from typing import Any

Command = dict[str, Any]


def command(tag: str, **fields: Any) -> Command:
    """Return a command as it is stored."""
    return {"type": tag, **fields}


def address(port: int) -> dict[str, Any]:
    """Return an address as it is stored."""
    return {"host": "10.1.0.1", "port": port}


# Way one, control: documents.


def put(kind: str, name: str, version: int, key: str, **body: Any) -> Command:
    """Return a change of a document; without a body it is deleted."""
    return command(
        "PutDocument",
        kind=kind,
        name=name,
        body=json.dumps(body) if body else None,
        expected_version=version,
        idempotency_key=key,
    )


def documents(mark: str) -> list[Command]:
    """Return the first version of a document of each kind."""
    tool = {
        "name": f"tool-{mark}",
        "repeatable": True,
        "offers_status": False,
        "timeout_s": 2.5,
        "price_micros": 7,
    }
    amounts = {"tokens": 10, "calls": 2, "money_micros": 3}
    place = {"address": address(7001), "zone": "a"}
    source = "def classify(call):\n    return 1\n"
    return [
        put("policy", f"policy-{mark}", 0, f"1{mark}", source=source, max_steps=500),
        put("engine", f"engine-{mark}", 0, f"2{mark}", models=[f"model-{mark}"], **place),
        put("application", f"application-{mark}", 0, f"3{mark}", tools=[tool], **place),
        put(
            "service",
            f"service-{mark}",
            0,
            f"4{mark}",
            models=[f"model-{mark}"],
            tools=[f"tool-{mark}"],
            policy=f"policy-{mark}",
        ),
        put(
            "tenant",
            f"tenant-{mark}",
            0,
            f"5{mark}",
            service=f"service-{mark}",
            default_budget=amounts,
            calls_per_second=1.5,
        ),
        put("drain", f"drain-{mark}", 0, f"6{mark}", target_kind="engine", target=f"engine-{mark}"),
    ]


def led_control(mark: str, revision: int) -> list[Command]:
    """Return a round of changes; ``revision`` is the newest one before it."""
    engine = {"address": address(7002), "zone": "b", "models": [f"model-{mark}", "other"]}
    return [
        command("SetRegions", regions=["south", f"region-{mark}"]),
        *documents(mark),
        command("AcceptRevision", revision=revision + 6),
        put("engine", f"engine-{mark}", 1, f"7{mark}", **engine),
        put("engine", f"engine-{mark}", 1, f"8{mark}", **engine),
        put("engine", f"engine-{mark}", 1, f"7{mark}", **engine),
        put("engine", f"engine-{mark}", 1, f"7{mark}"),
        put("drain", f"drain-{mark}", 1, f"9{mark}"),
        command("AcceptRevision", revision=revision + 8),
        put("engine", f"engine-{mark}", 2, f"10{mark}", **{**engine, "zone": "c"}),
        command("WithdrawChange", revision=revision + 9, idempotency_key=f"11{mark}"),
        command("WithdrawChange", revision=revision + 1, idempotency_key=f"12{mark}"),
        put("unknown", "name", 0, f"13{mark}", field=1),
        put("engine", f"pending-{mark}", 0, f"14{mark}", **engine),
    ]


# Way one, store: programs.


def amounts(tokens: int, calls: int = 1, money: int = 1) -> dict[str, int]:
    """Return amounts as they are stored."""
    return {"tokens": tokens, "calls": calls, "money_micros": money}


def turn(role: str, content: str, name: str | None = None) -> dict[str, Any]:
    """Return a turn as it is stored."""
    return {"role": role, "content": content, "name": name}


def assignment(partition: int, epoch: int) -> dict[str, Any]:
    """Return who leads a partition, as it is stored."""
    return {
        "partition": partition,
        "node_id": f"node-{epoch}",
        "address": address(7000 + partition),
        "epoch": epoch,
        "incarnation": 5,
    }


def delta(start: int, end: int, accepted: int, **more: Any) -> Command:
    """Return configuration that is recorded, as it is stored."""
    kept = [
        {"kind": "policy", "name": f"p{n}", "version": n, "revision": n, "body": '{"source": ""}'}
        for n in range(start + 1, end)
    ]
    gone = {"kind": "drain", "name": "d", "version": 2, "revision": end, "body": None}
    inner = command(
        "ConfigurationDelta",
        from_revision=start,
        to_revision=end,
        accepted_revision=accepted,
        documents=[*kept, gone],
        **more,
    )
    return command("RecordConfiguration", delta=inner)


def of_program(tag: str, name: str, epoch: int, **fields: Any) -> Command:
    """Return a command about a program of partition 0."""
    return command(tag, program_id=name, partition=0, epoch=epoch, **fields)


def begin(name: str, epoch: int, sequence: int, **more: Any) -> Command:
    """Return the begin of a call."""
    fields = {
        "call_id": f"{name}/{sequence}",
        "sequence": sequence,
        "kind": "model",
        "target": "model",
        "repeatable": True,
        "request_digest": f"digest {sequence}",
        "reserve": amounts(50, money=9),
        "turns": [turn("user", f"question {sequence}", "ana")],
        **more,
    }
    return of_program("BeginCall", name, epoch, **fields)


def finish(name: str, epoch: int, sequence: int, **more: Any) -> Command:
    """Return the end of a call."""
    text = f"answer {sequence} ñ"
    fields = {
        "call_id": f"{name}/{sequence}",
        "outcome": {"verdict": "ran", "body": text, "spent": amounts(20, money=4)},
        "turns": [turn("assistant", text)],
        **more,
    }
    return of_program("FinishCall", name, epoch, **fields)


def create(name: str, epoch: int, **more: Any) -> Command:
    """Return the creation of a program."""
    fields = {"tenant_id": "tenant", "budget": amounts(1_000, 20, 99), **more}
    return of_program("CreateProgram", name, epoch, **fields)


def calls_of(name: str, epoch: int) -> list[Command]:
    """Return a model call, one that failed at a tool, and one under way."""
    failed = {
        "verdict": "may_have_run",
        "error_code": "backend_failed",
        "error_message": "broke off",
        "spent": amounts(1),
    }
    tool = {"kind": "tool", "target": "tool", "repeatable": False, "application_id": "shop"}
    return [
        begin(name, epoch, 0),
        finish(name, epoch, 0, hold={"engine_id": "engine-1", "incarnation": 3}),
        begin(name, epoch, 1, **tool),
        finish(name, epoch, 1, outcome=failed, turns=[]),
        begin(name, epoch, 2, want_history=True),
        begin(name, epoch, 7),
    ]


def led_store(mark: str, epoch: int) -> list[Command]:
    """Return a round of programs; ``epoch`` is the partitions' next one."""
    root, child, ended = f"root-{mark}", f"child-{mark}", f"ended-{mark}"
    hold = {"engine_id": "engine-2", "incarnation": 4}
    first = (epoch - 1) * 3
    return [
        command("AssignPartitions", assignments=[assignment(p, epoch) for p in (0, 1)]),
        delta(first, first + 3, first + 1),
        create(root, epoch, deadline_s=60.5, max_programs=9),
        create(child, epoch, parent_id=root, budget=amounts(300, 5, 50)),
        create(ended, epoch),
        create(f"limited-{mark}", epoch, max_programs=1),
        *calls_of(root, epoch),
        *calls_of(child, epoch),
        of_program("RecordHold", root, epoch, hold=hold),
        of_program("RecordRelease", child, epoch, hold={"engine_id": "engine-1", "incarnation": 3}),
        of_program("RecordHold", ended, epoch, hold=hold),
        of_program("EndProgram", ended, epoch),
        create(f"removed-{mark}", epoch),
        of_program("EndProgram", f"removed-{mark}", epoch),
        command("RemoveEndedPrograms", program_ids=[f"removed-{mark}"]),
        create(f"stale-{mark}", epoch - 1),
    ]


def led_store_again() -> list[Command]:
    """Return what a later leader does with the programs of the first round."""
    return [
        begin("root-a", 2, 2, reserve=amounts(60)),
        finish("child-a", 2, 2),
        of_program("EndProgram", "child-a", 2),
        delta(0, 9, 8, is_snapshot=True, floor_revision=7),
    ]


# Way two, control: routes and members.


def route(version: int) -> dict[str, Any]:
    """Return a route with a value in each field, as it is stored."""
    return {
        "name": "chat",
        "host": "chat.example",
        "path_prefix": "/v1/",
        "kind": "stream",
        "timeout_s": 30.0,
        "target_latency_s": 0.5,
        "priority": version,
        "shares": [{"service": "engines", "weight": 3}, {"service": "spare", "weight": 1}],
        "max_attempts": 2,
        "keeps_turns": True,
        "retention_s": 90.0,
        "is_resumable": True,
        "target_gap_s": 0.25,
        "is_public": True,
        "is_sticky": True,
    }


def configuration(version: int) -> Command:
    """Return a configuration with a value in each field."""
    service = {"name": "engines", "health_path": "/up", "max_connections": 4, "slots": 2}
    model = {"tokens_per_event": 3, "memory_tokens": 1_000}
    tenant = {"name": "ana", "key_digests": [b"\x01\x02"], "priority": 1, "rate_per_s": 2.5}
    limits = {
        "max_header_bytes": 8_000,
        "max_body_bytes": 100_000,
        "header_timeout_s": 5.0,
        "idle_timeout_s": 60.0,
    }
    inner = {
        "version": version,
        "routes": [route(version)],
        "services": [{**service, **model}, {**service, "name": "spare"}],
        "limits": limits,
        "source": b'{"version": %d}' % version,
        "tenants": [{**tenant, "burst": 4.0}, {"name": "bo"}],
    }
    return command("ReplaceConfiguration", configuration=inner)


def relayed_control(mark: str, version: int) -> list[Command]:
    """Return a round of changes; ``version`` is that of the configuration."""
    members = [{"name": f"store-{mark}{n}", "address": address(n)} for n in (1, 2, 3)]
    return [
        configuration(version),
        configuration(version - 1),
        command("FoundStoreGroup", members=members),
        command("ForbidReplica", name=f"machine-{mark}", replica_name=f"store-{mark}1"),
    ]


# Way two, store: turns.


def reserve(program: str, attempt: str, **more: Any) -> Command:
    """Return the reservation of a turn."""
    fields = {"most_tokens": 100, "budget_tokens": 500, "retention_s": 30.0, **more}
    return command("ReserveTurn", program_id=program, attempt_id=attempt, **fields)


def settle(program: str, attempt: str, turn_id: str, previous: str | None = None) -> Command:
    """Return the settlement of a turn that ended whole."""
    kept = {
        "turn_id": turn_id,
        "previous": previous,
        "content": f"content of {turn_id} ñ".encode(),
        "retention_s": 45.0,
    }
    fields = {"tokens": 40, "turn": kept, "served_by": "engine-1"}
    return command("SettleTurn", program_id=program, attempt_id=attempt, **fields)


def relayed_store(mark: str) -> list[Command]:
    """Return a round of turns."""
    program, first, second = f"program-{mark}", f"turn-{mark}1", f"turn-{mark}2"
    usages = [{"tenant": f"tenant-{mark}", "granted": 3, "last_in_s": 1.5}]
    return [
        reserve(program, f"{mark}1"),
        reserve(program, f"{mark}1"),
        settle(program, f"{mark}1", first),
        command("AdvanceAge", seconds=5.0),
        reserve(program, f"{mark}2", previous=first),
        settle(program, f"{mark}2", second, first),
        reserve(program, f"{mark}3", previous=second, most_tokens=200),
        reserve(program, f"{mark}4", most_tokens=300),
        reserve(program, f"{mark}5", previous="turn-nobody-keeps"),
        reserve(f"free-{mark}", f"{mark}6", budget_tokens=None, retention_s=0.0),
        command("SettleTurn", program_id=f"left-{mark}", attempt_id=f"{mark}7", tokens=5),
        command("NoteUsage", usages=[*usages, {"tenant": "b", "granted": 1}], group_s=12.25),
    ]


ROUNDS: dict[str, tuple[list[Command], list[Command]]] = {
    "led_control": (led_control("a", 0), led_control("b", 11)),
    "led_store": (led_store("a", 1), [*led_store("b", 2), *led_store_again()]),
    "relayed_control": (relayed_control("a", 3), relayed_control("b", 5)),
    "relayed_store": (
        relayed_store("a"),
        [*relayed_store("b"), command("AdvanceAge", seconds=57.0)],
    ),
}
"""Both rounds of each kind of replica, by its name."""
