"""A client sends a read under an id that the engine does not know, and is answered as served."""

import asyncio
import math
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import sites
from standins import LOST, OPEN, Catalogue, Connection, Directory, Engine, Node, World, encode, read_array, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DURATION_S = 40
DISPATCHERS = 3
REQUESTS_PER_S = 12  # of all dispatchers; six cores can do about 15
BAD_CLIENTS_PER_S = 2
SUBJECTS = 300
# Group, share, async timeout, mean work in seconds, its coefficient of variation: site file of chaguanas-airplay.
GROUPS = (
    (b"clip-match", 0.43, 8.9, 0.39, 0.6),
    (b"rights-lookup", 0.31, 6.7, 0.24, 0.8),
    (b"rate-quote", 0.16, 8.9, 0.24, 0.8),
    (b"play-report", 0.10, 5.3, 0.24, 0.8),
)
WEIGHTS = [1 / (rank + 1) for rank in range(SUBJECTS)]  # a few subjects are far more popular than the rest


def choose(world):
    """A group and a subject, for dispatchers and bad clients alike."""
    group = world.random.choices(GROUPS, [each[1] for each in GROUPS])[0]
    return group, b"%016x" % (1 + world.random.choices(range(SUBJECTS), WEIGHTS)[0])


async def dispatch(world, node, number, until):
    connections = []
    while time.time() < until:
        await asyncio.sleep(world.random.expovariate(REQUESTS_PER_S / DISPATCHERS))
        (name, _, timeout, mean, cv), subject = choose(world)
        variance = math.log(1 + cv * cv)
        work = world.random.lognormvariate(math.log(mean) - variance / 2, math.sqrt(variance))
        request = world.add(name, world.random.randbytes(300), b",subject=" + subject, timeout, work, calls=1)
        connections[:] = [each for each in connections if not each.ended]
        free = [each for each in connections if each.usable]
        try:
            if not free:
                free.append(await Connection(world, node.port, number).connect())
                connections.append(free[0])
            await free[0].send(request)
        except OSError as error:
            world.log(f"not written: {error}")
    for each in connections:
        while each.open and not each.ended:
            await asyncio.sleep(0.05)
        each.close()


async def bad_clients(world, node, until, answers):
    """Clients of kit/service/LATER.md that send an id unknown to the engine."""
    while TROUBLE and time.time() < until:
        await asyncio.sleep(1 / BAD_CLIENTS_PER_S)
        (name, _, timeout, _, _), subject = choose(world)
        request_id = b"%016x" % world.random.getrandbits(64)  # of no request that came to this machine
        fields = b"req=%s,ts=%d,via=9,timeout=%d,need=24.5,level=0.5,subject=%s" % (
            request_id, time.time() * 1000, timeout * 1000, subject,
        )
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            writer.write(encode(b"CALL", b"1", name, fields, world.random.randbytes(300)))
            world.log(f"bad client sends {request_id.decode()} {name.decode()} subject {subject.decode()}")
            words = await asyncio.wait_for(read_array(reader), 3)
            writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            words = None
        answers.append(words[1].decode() if words else "none or a close")
        world.log(f"bad client {request_id.decode()} gets {words and (words[1], words[3][-20:] if len(words) > 3 else b'')}")


async def main():
    with tempfile.TemporaryDirectory() as folder, open("record.txt", "w") as record:
        world = World(48, record)
        node, engine, catalogue = Node(sites.chaguanas(), folder), Engine(world), Catalogue(world)
        await engine.open(node.engine_port)
        await catalogue.open(node.catalogue_port)
        await asyncio.get_running_loop().create_datagram_endpoint(
            Directory, local_addr=("127.0.0.1", node.directory_port)
        )
        node.start()
        answers = []
        try:
            if not await node.is_ready():
                print("the node did not become ready\n" + node.log_text())
                return 2
            until = time.time() + DURATION_S
            await asyncio.gather(
                bad_clients(world, node, until, answers),
                *(dispatch(world, node, number, until) for number in range(1, DISPATCHERS + 1)),
            )
            exit_code = node.process.poll()
        finally:
            node.kill()
            await engine.close()
        sent = [each for each in world.requests.values() if each.written_at]
        by_word = {}
        for each in sent:
            for word, _ in each.answers:
                by_word[word.decode()] = by_word.get(word.decode(), 0) + 1
        lost = [each for each in sent if each.state in (LOST, OPEN)]
        record.write("the node's log:\n" + node.log_text())
        text = (
            f"dispatchers wrote {len(sent)}, answered {by_word}, without a final answer {len(lost)}; "
            f"clients with an id unknown to the engine: {len(answers)}, answered "
            f"{ {word: answers.count(word) for word in sorted(set(answers))} }"
        )
        print(text)
        record.write(text + "\n")
        if exit_code is not None:
            print(f"the node ended with {exit_code}")
            return 1
        return 1 if "ok" in answers else 0


run_case(main)
