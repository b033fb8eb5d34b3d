"""The link to the engine breaks now and then; a run then gets the reply to its first call as that to its second."""

import asyncio
import math
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import sites
from standins import LOST, OPEN, Catalogue, Connection, Directory, Engine, Node, World, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DURATION_S = 90
SCALE = 4  # work, aims and deadlines are this many times shorter than in the site file
DISPATCHERS = 4
REQUESTS_PER_S = 48  # of all dispatchers; six cores can do about 80
BREAK_EVERY_S = (0.8, 2.0)
LOST_S = 0.0  # this test loses no command with a break: the page allows the loss of the last 50 ms
PIECE_GAP_S = 0.005  # between two pieces
# Group, share, async timeout, mean work in seconds, share of requests with a second call, of those with a first.
GROUPS = (
    (b"snippet", 0.41, 5.4, 0.36, 0.4, 1.0),  # 1.4 calls on average
    (b"track-card", 0.32, 3.8, 0.26, 0.0, 0.0),
    (b"quote", 0.27, 3.8, 0.26, 0.0, 1.0),
)


def new_request(world):
    name, _, timeout, mean, second, first = world.random.choices(GROUPS, [group[1] for group in GROUPS])[0]
    work = world.random.lognormvariate(math.log(mean) - 0.2, 0.63) / SCALE
    calls = (world.random.random() < first) + (world.random.random() < second)
    subject = b",subject=%016x" % world.random.getrandbits(64)
    return world.add(name, world.random.randbytes(300), subject, timeout / SCALE, work, calls=calls)


async def dispatch(world, node, number, until):
    connections = []
    while time.time() < until:
        await asyncio.sleep(world.random.expovariate(REQUESTS_PER_S / DISPATCHERS))
        connections[:] = [each for each in connections if not each.ended]
        free = [each for each in connections if each.usable]
        try:
            if not free:
                free.append(await Connection(world, node.port, number).connect())
                connections.append(free[0])
            await free[0].send(new_request(world))
        except OSError as error:
            world.log(f"not written: {error}")
    for each in connections:
        while each.open and not each.ended:
            await asyncio.sleep(0.05)
        each.close()


async def break_links(world, engine, until):
    """The bad peer of kit/service/LATER.md: breaks, also mid-notice, notices in pieces and twice."""
    if not TROUBLE:
        return
    engine.piece_gap = PIECE_GAP_S
    engine.repeat_share = 0.02
    while time.time() < until:
        await asyncio.sleep(world.random.uniform(*BREAK_EVERY_S))
        await engine.break_link(world.random.uniform(0, LOST_S))


async def main():
    with tempfile.TemporaryDirectory() as folder, open("record.txt", "w") as record:
        world = World(48, record)
        node, engine, catalogue = Node(sites.guild(SCALE), folder), Engine(world), Catalogue(world, 0.005)
        await engine.open(node.engine_port)
        await catalogue.open(node.catalogue_port)
        await asyncio.get_running_loop().create_datagram_endpoint(
            Directory, local_addr=("127.0.0.1", node.directory_port)
        )
        node.start()
        try:
            if not await node.is_ready():
                print("the node did not become ready\n" + node.log_text())
                return 2
            until = time.time() + DURATION_S
            await asyncio.gather(
                break_links(world, engine, until),
                *(dispatch(world, node, number, until) for number in range(1, DISPATCHERS + 1)),
            )
            exit_code = node.process.poll()
        finally:
            node.kill()
            await engine.close()
        sent = [each for each in world.requests.values() if each.written_at]
        wrong = [each for each in sent if each.wrong]
        served = [each for each in wrong if each.answers and each.answers[0][0] == b"ok"]
        lost = [each for each in sent if each.state in (LOST, OPEN)]
        by_word = {}
        for each in sent:
            for word, _ in each.answers:
                by_word[word.decode()] = by_word.get(word.decode(), 0) + 1
        record.write("the node's log:\n" + node.log_text())
        text = (
            f"written {len(sent)}, answered {by_word}, without a final answer {len(lost)}; runs that got the reply "
            f"to another call: {len(wrong)}, of these answered as served: {len(served)}"
        )
        print(text, *(line for each in wrong for line in each.wrong), sep="\n")
        record.write(text + "\n")
        if exit_code is not None:
            print(f"the node ended with {exit_code}")
            return 1
        return 1 if wrong else 0


run_case(main)
