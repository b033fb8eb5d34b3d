"""A dispatcher writes some requests slowly; what it writes next on the same connection gets no answer."""

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
DURATION_S = 75
REQUESTS_PER_S = {1: 4, 2: 3, 3: 3}  # by dispatcher; six cores can do about 15
SLOW_EVERY_S = 7  # dispatcher 1 writes one request slowly, this often
SLOW_WRITE_S = 2.6  # from the first to the last byte of that request
LONG_RUN_S = 4.0  # work of the request written just before it: its caller waits 8.9 s
ALLOWED_SHARE = 0.003  # of requests without a final answer
# Group, share, async timeout, mean work in seconds, its coefficient of variation: site file of chaguanas-airplay.
GROUPS = (
    (b"clip-match", 0.43, 8.9, 0.39, 0.6),
    (b"rights-lookup", 0.31, 6.7, 0.24, 0.8),
    (b"rate-quote", 0.16, 8.9, 0.24, 0.8),
    (b"play-report", 0.10, 5.3, 0.24, 0.8),
)


def new_request(world):
    name, _, timeout, mean, cv = world.random.choices(GROUPS, [group[1] for group in GROUPS])[0]
    variance = math.log(1 + cv * cv)
    work = world.random.lognormvariate(math.log(mean) - variance / 2, math.sqrt(variance))
    subject = b",subject=%016x" % world.random.getrandbits(64)
    return world.add(name, world.random.randbytes(600), subject, timeout, work, calls=1)


async def dispatch(world, node, number, until):
    """One dispatcher: the oldest connection that takes a request, else a new one."""
    connections = []

    async def send(request, pieces=1, pause=0.0):
        connections[:] = [each for each in connections if not each.ended]
        free = [each for each in connections if each.usable and not each.lock.locked()]
        try:
            if not free:
                free.append(await Connection(world, node.port, number).connect())
                connections.append(free[0])
            await free[0].send(request, pieces, pause)
        except OSError as error:
            world.log(f"not written: {error}")

    tasks = []
    next_slow = time.time() + SLOW_EVERY_S
    while time.time() < until:
        await asyncio.sleep(world.random.expovariate(REQUESTS_PER_S[number]))
        request = new_request(world)
        if number == 1 and time.time() > next_slow:
            next_slow += SLOW_EVERY_S
            long = world.add(b"clip-match", world.random.randbytes(600), b"", 8.9, LONG_RUN_S, calls=0)
            await send(long)
            if TROUBLE:
                request.note = "written slowly"
                tasks.append(asyncio.ensure_future(send(request, 14, SLOW_WRITE_S / 13)))
                continue
        await send(request)
    await asyncio.gather(*tasks)
    for each in connections:
        while each.open and not each.ended:
            await asyncio.sleep(0.05)
        each.close()


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
        try:
            if not await node.is_ready():
                print("the node did not become ready\n" + node.log_text())
                return 2
            until = time.time() + DURATION_S
            await asyncio.gather(*(dispatch(world, node, number, until) for number in REQUESTS_PER_S))
            exit_code = node.process.poll()
        finally:
            node.kill()
            await engine.close()
        sent = [each for each in world.requests.values() if each.written_at]
        slow = [each for each in sent if each.note]
        lost = [each for each in sent if each.state in (LOST, OPEN)]
        whole = [each for each in lost if not each.note]
        by_word = {}
        for each in sent:
            for word, _ in each.answers:
                by_word[word.decode()] = by_word.get(word.decode(), 0) + 1
        record.write("the node's log:\n" + node.log_text())
        text = (
            f"written {len(sent)}, of these slowly {len(slow)}; answered {by_word}; without a final answer {len(lost)}; "
            f"of these written in one piece {len(whole)} ({len(whole) / len(sent):.2%} of all)"
        )
        print(text)
        record.write(text + "\n")
        if exit_code is not None:
            print(f"the node ended with {exit_code}")
            return 1
        # Only requests that were written in one piece are counted against the node.
        return 1 if len(whole) > ALLOWED_SHARE * len(sent) else 0


run_case(main)
