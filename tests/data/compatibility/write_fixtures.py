"""Writes the fixtures beside it with the code of ea5a81e. Runs with that version alone: its names are gone since."""

import asyncio
import base64
import enum
import gzip
import hashlib
import importlib
import io
import json
import os
import pkgutil
import random
import secrets
import shutil
import struct
import subprocess
import sys
import tempfile
import types
import typing
from pathlib import Path

import msgspec

import oakkeel
from oakkeel.agent import messages
from oakkeel.control import messages as control
from oakkeel.places import commands as place_commands
from oakkeel.record import words
from oakkeel.rollout import commands as release_commands
from oakkeel.rollout import words as release_words

HERE = Path(__file__).parent
counter = 100


def value_of(kind):
    """A value of a type that is no default anywhere and differs from all others."""
    global counter
    counter += 1
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if kind is bool:
        return True
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return list(kind)[-1]
    if kind is int:
        return counter
    if kind is float:
        return counter + 0.5
    if kind is str:
        return f"text-{counter}"
    if kind is bytes:
        return f"bytes-{counter}".encode()
    if origin is list:
        return [value_of(arguments[0]), value_of(arguments[0])]
    if origin is dict:
        return {value_of(arguments[0]): value_of(arguments[1]) for _ in range(2)}
    if origin is tuple:
        if arguments[-1] is Ellipsis:
            return (value_of(arguments[0]), value_of(arguments[0]))
        return tuple(value_of(each) for each in arguments)
    if origin in (typing.Union, types.UnionType):
        return value_of(next(each for each in arguments if each is not type(None)))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return made(kind)
    raise TypeError(kind)


def made(kind, **given):
    hints = typing.get_type_hints(kind)
    for name in kind.__struct_fields__:
        if name not in given:
            given[name] = value_of(hints[name])
    if kind.__name__ == "Told" and "done" in given:
        given["done"] = False
    return kind(**given)


def variants(union):
    return [each for each in typing.get_args(union)]


def text(content: bytes) -> str:
    return base64.b64encode(content).decode()


def message_fixtures():
    rows = []

    def put(form, kind, content):
        rows.append({"form": form, "message": kind.__name__, "content": text(content)})

    for kind in variants(control.Wish):
        put("control request", kind, control.encode(made(kind)))
    for kind in variants(control.Answer):
        put("control response", kind, control.encode(made(kind)))
    for kind in variants(messages.Wish):
        put("agent request", kind, messages.encode(made(kind)))
    for kind in variants(messages.Answer):
        put("agent response", kind, messages.encode(made(kind)))
    for kind in variants(words.Word):
        letter = words.Letter("epoch-1", "h1", "h1.life", made(kind))
        put("agent request", kind, messages.encode(messages.Carry([letter])))
    for kind in variants(place_commands.Command):
        put("replicated command", kind, place_commands.encode(made(kind)))
    for kind in variants(release_commands.Command):
        put("replicated command", kind, place_commands.encode(made(kind)))
    from oakkeel.changes import register
    for name in ("Propose", "Withdraw", "Refuse", "Decide", "InForce"):
        put("policy change command", getattr(register, name), place_commands.encode(made(getattr(register, name))))
    put("release status", release_words.Told, release_words.encode(made(release_words.Told)))
    from oakkeel.changes import leading
    from oakkeel.rollout.gates import State
    put("gate progress", State, msgspec.msgpack.encode(made(State)))
    put("policy lease status", leading.Told, msgspec.msgpack.encode(made(leading.Told)))
    put("policy lease", leading.Heard, msgspec.msgpack.encode(made(leading.Heard)))
    put("release assignment", release_words.Heard, release_words.encode(made(release_words.Heard)))
    put("members", words.Member, words.encode_members([made(words.Member), made(words.Member)]))
    from oakkeel.sealing.marks import Sealed
    put("authenticated frame", Sealed, msgspec.msgpack.encode(
        Sealed("key-1", b"n" * 16, 1234567890123456789, b"content", b"m" * 32)))
    return rows


def unlisted_structs():
    found = set()
    for module in pkgutil.walk_packages(oakkeel.__path__, "oakkeel."):
        if "__main__" in module.name:
            continue
        loaded = importlib.import_module(module.name)
        for each in vars(loaded).values():
            if isinstance(each, type) and issubclass(each, msgspec.Struct) and each.__module__ == module.name:
                found.add(f"{module.name}.{each.__name__}")
    return sorted(found)


def replicated():
    """Commands as simulated replicas applied them under faults, with the snapshot that they come to."""
    from oakkeel.emulator import agreement
    from oakkeel.emulator.troubles import SECOND, draw
    from oakkeel.rollout.book import Book
    logs = []
    for seed, releases in ((11, False), (12, True), (13, True)):
        schedule = draw(seed, releases=True, lasts=40 * SECOND) if releases else draw(seed)
        applied = {}
        original = agreement.Host._applied

        def note(self, index, command, result, applied=applied, original=original):
            applied[index] = place_commands.encode(command)
            return original(self, index, command, result)

        agreement.Host._applied = note
        try:
            agreement.play(schedule)
        finally:
            agreement.Host._applied = original
        book, rows = Book(), []
        for index in sorted(applied):
            result = book.apply(index, applied[index])
            rows.append({"index": index, "command": text(applied[index]),
                         "refused": type(result).__name__ == "Refusal",
                         "snapshot": hashlib.sha256(book.fold()).hexdigest()})
        logs.append({"commands": rows, "snapshot": text(book.fold())})
        print("replicated", seed, len(rows), sum(row["refused"] for row in rows))
    return logs


def policy_changes():
    """The same for changes of policy."""
    from oakkeel.changes.register import Register
    from oakkeel.emulator import changing
    logs = []
    for seed in (5, 6):
        rows, original = [], changing.World.apply

        def note(self, command, rows=rows, original=original):
            result = original(self, command)
            rows.append({"index": self.index, "command": text(place_commands.encode(command)),
                         "refused": type(result).__name__ == "Refusal",
                         "snapshot": hashlib.sha256(self.register.fold()).hexdigest()})
            return result

        changing.World.apply = note
        try:
            world = changing.World(seed)
            world.run()
        finally:
            changing.World.apply = original
        book = Register()
        for row in rows:
            book.apply(row["index"], base64.b64decode(row["command"]))
        logs.append({"commands": rows, "snapshot": text(book.fold())})
        print("policy", seed, len(rows), sum(row["refused"] for row in rows))
    return logs


SETTINGS = {
    "extra.cores": "2", "extra.heap-kb": "9000.0", "extra.run-factor": "8.0", "extra.key-kb": "20.0",
    "extra.cold": "true", "obligations.cold-from": "0.25", "obligations.cold": "3000000000",
    "obligations.fall-multiple": "4.0", "obligations.drain-grace": "500000000",
    "clients.marks-retry": "true", "ceilings.retry-after": "true", "ceilings.max-retry-after": "1000000000",
    "extra.halt": "abort", "peers-total": "6", "extra.depends-on": "shared", "extra.call-share": "0.4",
    "extra.dep-window": "5000000000", "extra.linger": "200000000", "extra.fresh": "800000000",
    "extra.idle": "15000000000", "extra.say": "share_of", "over-share-worth": "0.1",
    "extra.gauges": "core_use,on_cores,heap_share,links", "extra.class-skip-worth": "0,0.4,0",
    "classes.count": "3",
    "classes.0.effect": "read_like", "classes.0.worth": "5", "classes.0.aim": "800000000",
    "classes.0.hard-limit": "2000000000", "classes.0.late-worth": "0.2", "classes.0.window": "3000000000",
    "classes.1.effect": "idempotency_key", "classes.1.worth": "2", "classes.1.aim": "1000000000",
    "classes.1.hard-limit": "4000000000", "classes.1.window": "5000000000",
    "classes.2.effect": "non_idempotent", "classes.2.worth": "1", "classes.2.aim": "1000000000",
    "classes.2.hard-limit": "3000000000",
    "tenants.count": "2", "tenants.0.allowance-per-s": "20", "tenants.1.allowance-per-s": "60",
}


def simulator(seed, overrides):
    """A conversation with the simulator's adapter: each batch that it was sent and what it answered."""
    from oakkeel.simhost import wire
    from oakkeel.simhost.table import InstanceTable
    settings = "\n".join(f"{k}={v}" for k, v in {**SETTINGS, **overrides}.items()).encode()
    chance, table, frames = random.Random(seed), InstanceTable(), []
    events, number, serial = [], 0, 0  # (time, order, record)
    clock = 1_000_000_000
    running, codes = {}, {}

    def push(at, record):
        nonlocal serial
        serial += 1
        events.append((at, serial, record.ljust(wire.EVENT_SIZE, b"\0")))

    push(clock, wire.PROVISION.pack(1, 3, 99, 0, len(settings)))
    ident, at = 1000, clock + 1
    while at < clock + 20_000_000_000:
        rate = 30 if (at // 4_000_000_000) % 2 else 220
        at += int(chance.expovariate(rate) * 1e9)
        group = chance.choice((0, 0, 0, 1, 2))
        ident += 1
        key, earlier = 0, 0
        if group == 1 or group == 0 and chance.random() < 0.3:
            key = chance.randrange(1, 40)
            earlier = ident - 1 if chance.random() < 0.1 else 0
        age = chance.choice((0, 0, 5_000_000, 900_000_000))
        push(at, wire.INCOMING.pack(2, 3, ident, group, chance.random(), 12_000_000,
                                    chance.choice((20.0, 60.0, 400.0)), (2 if chance.random() < 0.15 else 0),
                                    chance.randrange(4), chance.choice((0, 900_000_000, 2_500_000_000)),
                                    chance.choice((0, 1, 1, 7)), age, key, earlier))
        if chance.random() < 0.03:
            push(at + chance.randrange(1, 400_000_000), wire.NAMED.pack(7, 3, ident))
    push(clock + 16_000_000_000, wire.NAMED.pack(6, 3, 3_000_000_000))
    given = {"arrived": set(), "over": set()}
    while events:
        events.sort()
        now = events[0][0]
        if now > clock + 30_000_000_000:
            break
        batch = []
        while events and events[0][0] == now:
            batch.append(events.pop(0)[2])
        batch = [record for record in batch if record[0] != 7 or wire.NAMED.unpack_from(record)[2] in given["arrived"]]
        if not batch:
            continue
        for record in batch:
            if record[0] == 2:
                given["arrived"].add(wire.INCOMING.unpack_from(record)[2])
        number += 1
        body = b"".join(batch) + (settings if batch[0][0] == 1 else b"")
        frame = wire.HEADER.pack(number, len(body) + 12, now, len(batch)) + body
        reply = table.batch(*wire.read_frame(io.BytesIO(frame)))
        frames.append((frame, reply))
        _, _, count = wire.REPLY_HEADER.unpack_from(reply)
        for place in range(count):
            start = wire.REPLY_HEADER.size + 24 * place
            code = reply[start]
            codes[code] = codes.get(code, 0) + 1
            who, = struct.unpack_from("<Q", reply, start + 5)
            if code == wire.LAUNCH:
                running[who] = True
                if chance.random() < 0.4:
                    push(now + int(chance.expovariate(1) * 8e6) + 1, wire.NAMED.pack(4, 3, who))
                else:
                    push(now + int(chance.expovariate(1) * 30e6) + 1, wire.ENDED.pack(3, 3, who, chance.choice((200, 200, 200, 502)), 9_000_000))
            elif code == wire.DIAL:
                push(now + int(chance.expovariate(1) * 40e6) + 1, wire.ENDED.pack(5, 3, who, chance.choice((200, 200, 200, 502, 429, 408, 521, 520)), 30_000_000))
                push(now + 200_000_000 + int(chance.expovariate(1) * 30e6), wire.ENDED.pack(3, 3, who, 200, 40_000_000))
            elif code == wire.GO_ON:
                push(now + int(chance.expovariate(1) * 20e6) + 1, wire.ENDED.pack(3, 3, who, 200, 20_000_000))
            elif code == wire.INTERRUPT:
                push(now + int(chance.expovariate(1) * 2e6) + 1, wire.ENDED.pack(3, 3, who, 444, 5_000_000))
            elif code == wire.SET_TIMER:
                _, _, token, when = wire.ACT_ID_TIME.unpack_from(reply, start)
                gauges = struct.pack("<4f", chance.random(), chance.random() * 6, chance.random(), chance.randrange(30))
                push(max(now + 1, when), wire.TIMER.pack(8, 3, token, 4) + gauges)
    print("simulator", seed, len(frames), codes)
    return b"".join(struct.pack("<II", len(frame), len(reply)) + frame + reply for frame, reply in frames)


def snapshot_of_fair_shares(folder):
    from oakkeel.shares import state
    from oakkeel.store import snapshot
    by, now, unix = ("tenant", "via"), 50_000_000_000, 1_700_000_000_000_000_000
    kept = state.FairKept(unix, list(by), b"s" * 16, [
        [state.SenderKept(11, b"tenant-a", 0, 12.5, 1.5), state.SenderKept(12, b"tenant-b", 0, 3.25, 0.5)],
        [state.SenderKept(21, b"via-1", 11, 10.0, 1.0)]],
        [state.PromiseKept(11, 2_000_000_000, 4000.0), state.PromiseKept(12, 3_000_000_000, 5000.0)])
    snapshot.write(str(folder / "fair-shares.snapshot"), msgspec.msgpack.encode(kept))


def leaves(value):
    """All plain values in a structure, as sorted texts: what they are called does not count."""
    if isinstance(value, dict):
        found = [leaf for pair in value.items() for each in pair for leaf in leaves(each)]
    elif isinstance(value, (list, tuple, set, frozenset)):
        found = [leaf for each in value for leaf in leaves(each)]
    elif hasattr(value, "__dataclass_fields__"):
        found = [leaf for name in value.__dataclass_fields__ for leaf in leaves(getattr(value, name))]
    else:
        found = [repr(value)]
    return sorted(found)


def settings():
    from oakkeel.settings.fleet import read_fleet
    fleet = read_fleet(str(HERE / "fleet.xml"))
    root = str(HERE)
    return [each.replace(root, "HERE") for each in leaves(fleet)]


def network():
    """Bytes that go out, and what bytes that come in are read as."""
    from oakkeel.bounds import Bounds
    from oakkeel.dispatch import codec, resp
    from oakkeel.limits import Pairs, read_limits
    from oakkeel.lines import LineParser
    from oakkeel.streams import ReadBuffer
    from oakkeel.engine import link
    limits = read_limits(Pairs(SETTINGS))
    reader = codec.ExchangeReader(limits, ["quote", "pay", "card"], ["guild", "south"], Bounds(1024, 192 * 2**20, 3_000_000_000),
                                  lambda: 1_700_000_000_000_000_000)
    calls = [
        [b"CALL", b"7", b"quote", b"req=00c4913a5d91c40f,ts=1699999999990,timeout=1500,owner=south,via=3,need=24.5,subject=s1,level=0.5"],
        [b"CALL", b"8", b"pay", b"need=60,req=00c4913a5d91c410,opkey=k9,resent=1,owner=guild", b"the body"],
        [b"CALL", b"9", b"card", b"need=400.5,req=00c4913a5d91c411,subject=s1"],
    ]
    read = []
    for call in calls:
        found = reader.read(int(call[1]), call, None)
        read.append(leaves({name: getattr(found, name) for name in (
            "group", "tenant", "caller", "memory_kb", "marked_retry", "left", "backlog", "has_key", "repeats",
            "ident", "tag", "group_name", "body", "key")}))
    written = [codec.answer(7, codec.COMPLETED, 0.625, b"result"), codec.answer(8, codec.DENIED, None, b"", True, 250_000_000),
               codec.answer(9, codec.TERMINATED, 1.0), codec.answer(10, codec.GOOD, 0.5), codec.answer(11, codec.BAD, None),
               codec.LAST, codec.BROKEN]
    return {"calls": [text(resp.encode(*call)) for call in calls], "read": read, "answers": [text(each) for each in written]}


def paths(value, path="$"):
    if isinstance(value, dict):
        return {f"{path}.{key}" for key in value} | {found for key, each in value.items() for found in paths(each, f"{path}.{key}")}
    if isinstance(value, list):
        return {found for each in value for found in paths(each, f"{path}[]")}
    return {f"{path}: {type(value).__name__}"}


HOSTS = {"h1": ["n1a", "n1b"], "h2": ["n2a", "n2b"], "h3": ["n3a", "n3b"]}
SITES = dict.fromkeys(HOSTS, "woodbrook")
SUPERVISION = '<supervision silent="500ms" start="5s" drain="3s" backoff="200ms"/>'


async def oakkeel_json(folder, *arguments):
    variables = {**os.environ, "OAKKEEL_SETTINGS": os.path.join(folder, "fleet.xml"), "OAKKEEL_OPERATOR": "asha"}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "oakkeel", *arguments, "--output", "json", env=variables,
        stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE)
    printed, _ = await process.communicate()
    print("cli", arguments, process.returncode, len(printed))
    if arguments[0] == "watch":
        printed = printed.splitlines()[0]
    return {"arguments": arguments, "code": process.returncode, "paths": sorted(paths(json.loads(printed)))}


async def state_folder():
    """The state folders of three hosts after orders, a drain that is out, one that waits and a release."""
    from oakkeel.agent.versions import version_of
    from oakkeel.rollout.commands import Pace, What
    from oakkeel.standins.rig import Rig
    from oakkeel.standins.site import Site
    outputs = []
    with tempfile.TemporaryDirectory() as folder:
        site = Site(folder, HOSTS, 1, supervision=SUPERVISION, sites=SITES, keepers=("h1", "h2", "h3"), fleet_away=1)
        rig = Rig(site)
        await rig.open()
        try:
            await rig.leader()
            await rig.all_serve()
            await rig.order("restart-1", "restart", ["n1a", "n3b"])
            await rig.ended("restart-1")
            await rig.all_serve()
            program = os.path.join(folder, "program")
            os.makedirs(program)
            with open(os.path.join(program, "run"), "w") as file:
                file.write(f"#!/bin/sh\nexec {sys.executable} -m oakkeel.standins.node\n")
            os.chmod(os.path.join(program, "run"), 0o755)
            release = messages.StartRelease("release-1", What(version_of(program, ""), program),
                                            Pace(soak=300_000_000, lasts=10_000_000_000, gated=False), ["n3a"])
            await rig.asker.ask_leader(release)

            async def released():
                told = await rig.asker.ask_leader(messages.AskRelease("release-1"))
                return told.state == "done"

            await rig.until("released", released)
            await rig.all_serve()
            await rig.order("drain-1", "drain", ["n2a"], lasts=3600.0)
            await rig.ended("drain-1")
            await rig.order("drain-2", "drain", ["n1b"], lasts=3600.0)
            await asyncio.sleep(1)
            for arguments in (("ls",), ("show", "n1a"), ("watch", "--for", "300ms"), ("orders",), ("keepers",), ("places",),
                              ("rollout", "status"), ("cancel", "no-such-order"), ("restart", "n3a", "--yes", "--id", "cli-1", "--no-wait"),
                              ("cancel", "cli-1")):
                try:
                    outputs.append(await oakkeel_json(folder, *arguments))
                except json.JSONDecodeError as error:
                    print("no json", arguments, error)
            seen = {"record": {}, "orders": {}, "generations": await rig.generations()}
            state = await rig.state_of()
            seen["orders"] = {order.ident: {part.thing: part.state for part in order.parts} for order in state.orders}
            seen["permits"] = {each.thing: each.order for each in state.out}
            seen["release"] = "release-1"
            record = (await rig.records())[await rig.leader()]
            seen["epoch"], seen["committed"], seen["term"] = record.epoch, record.agreed, record.term
            for host in list(rig.agents):
                await rig.kill(host)
            import sqlite3
            for host in HOSTS:
                target = HERE / "state" / host
                target.mkdir(parents=True, exist_ok=True)
                for name in ("agent.db", "record.db"):
                    base = sqlite3.connect(os.path.join(folder, host, name))
                    base.execute("PRAGMA wal_checkpoint(TRUNCATE)")
                    base.execute("VACUUM")
                    base.close()
                    shutil.copy(os.path.join(folder, host, name), target / name)
                shutil.copy(os.path.join(folder, host, "record.db.count"), target / "record.db.count")
                print(sorted(os.listdir(os.path.join(folder, host))))
        finally:
            await rig.close()
    (HERE / "state" / "expected.json").write_text(json.dumps(seen, indent=1) + "\n")
    return outputs


async def one_host():
    """The looking commands where no record is kept, and who sends the most to a real node."""
    from oakkeel.agent.agent import Agent
    sys.path.insert(0, str(HERE.parents[2]))
    from tests import test_cli
    outputs = []

    class Story(test_cli.CommandStories):
        async def runTest(self):
            agent = await self.agent()
            await self.serving(agent)
            for arguments in (("ls",), ("show", "n1"), ("restart", "n1", "--yes", "--id", "r1"), ("orders",), ("cancel", "r1")):
                outputs.append(await oakkeel_json(os.path.dirname(self.site.settings), *arguments))

    import unittest
    result = unittest.TestResult()
    await asyncio.to_thread(Story().run, result)
    print(result, result.errors, result.failures)
    return outputs


def main():
    shutil.copy(HERE.parents[2] / "deploy" / "fleet.xml", HERE / "fleet.xml")
    (HERE / "messages.json").write_text(json.dumps(message_fixtures(), indent=0) + "\n")
    (HERE / "settings.json").write_text(json.dumps(settings(), indent=0) + "\n")
    (HERE / "network.json").write_text(json.dumps(network(), indent=0) + "\n")
    with gzip.GzipFile(HERE / "replicated.json.gz", "wb", mtime=0) as file:
        file.write(json.dumps({"cluster": replicated(), "policy": policy_changes()}).encode())
    runs = [simulator(1, {}), simulator(2, {"extra.halt": "suspend", "extra.depends-on": "tier", "extra.say": "window", "extra.cold": "false"}),
            simulator(3, {"extra.halt": "silent", "extra.depends-on": "silent", "extra.say": "threshold", "peers-total": "80"})]
    for number, run in enumerate(runs, 1):
        with gzip.GzipFile(HERE / f"simulator-{number}.bin.gz", "wb", mtime=0) as file:
            file.write(run)
    snapshot_of_fair_shares(HERE)
    (HERE / "simulator-settings.json").write_text(json.dumps(SETTINGS, indent=0) + "\n")
    from oakkeel.settings.keys import write_key
    if not (HERE / "operator.key").exists():
        write_key(str(HERE / "operator.key"), bytes(range(32)))
    sys.path.insert(0, str(HERE.parents[2]))
    import unittest
    from tests import test_compatibility

    class Transcript(test_compatibility.NodeBytesTest):
        def runTest(self):
            (HERE / "node-bytes.json").write_text(json.dumps(self.transcript(), indent=1) + "\n")

    result = unittest.TestResult()
    Transcript().run(result)
    print(result, result.errors, result.failures)
    outputs = {"cluster": asyncio.run(state_folder()), "one host": asyncio.run(one_host())}
    (HERE / "command-line.json").write_text(json.dumps(outputs, indent=1) + "\n")
    print("\n".join(unlisted_structs()))


if __name__ == "__main__":
    main()
