"""The audit of a soak run finds each broken rule in a record, and accepts a record that keeps them."""

import unittest
from dataclasses import replace

from oakkeel.invariants.node_soak import NodeSoakAudit
from oakkeel.soak import record
from oakkeel.soak.plan import Effect, Group, Plan

START = 1000.0


def group(name: str, effect: Effect) -> Group:
    return Group(name, effect, objective_s=1.0, timeout_s=2.0, window_s=3.0, skip_weight=0.0, max_calls=2)


PLAN = Plan(
    seed=1,
    duration_s=20.0,
    groups=(group("read", Effect.READ), group("order", Effect.KEYED), group("pay", Effect.MUTATING)),
    can_stop_runs=True,
    fresh_s=1.0,
    grace_s=1.0,
    stop_s=2.0,
    dispatchers=1,
    memory_mb=64,
    requests=(),
    disruptions=(),
)


def written(request: str, name: str = "read", time: float = START, **fields) -> record.RequestWritten:
    values = {
        "connection": 1,
        "key": "s1",
        "body": b"body",
        "arrived_at": time,
        "timeout": 2.0,
        "is_copy": False,
    }
    return record.RequestWritten(time=time, request=request, group=name, **{**values, **fields})


def run(request: str, time: float = START + 0.1, result: bytes = b"") -> list[record.Event]:
    """Return the start and the end of a run."""
    return [
        record.RunStarted(time, request),
        record.RunEnded(time + 0.1, request, result or b"for " + request.encode()),
    ]


def answered(request: str, word: str = "ok", result: bytes = b"", time: float = START + 0.3):
    if word == "ok" and not result:
        result = b"for " + request.encode()
    return record.RequestAnswered(time, request, word, result)


class NodeSoakAuditTest(unittest.TestCase):
    def breaches(self, *events: record.Event, plan: Plan = PLAN) -> list[tuple[str, str]]:
        return [(breach.rule, breach.request) for breach in NodeSoakAudit(plan, list(events)).audit()]

    def test_accepts_a_request_that_is_run_and_served(self):
        self.assertEqual(self.breaches(written("a"), *run("a"), answered("a")), [])

    def test_accepts_what_the_pages_excuse(self):
        for excuse in (
            record.RequestCancelled(START + 0.5, "a"),
            record.RequestUnwritten(START + 0.02, "a"),
            record.ConnectionEnded(START + 0.5, 1, by_node=False),
        ):
            self.assertEqual(self.breaches(written("a"), excuse), [])

    def test_finds_a_request_without_an_answer_in_time(self):
        self.assertEqual(self.breaches(written("a")), [("lost", "a")])
        self.assertEqual(
            self.breaches(written("a"), answered("a", "fault", time=START + 2.1)), [("lost", "a")]
        )
        taken_back = record.RequestCancelled(START + 2.3, "a")  # after its time
        self.assertEqual(self.breaches(written("a"), taken_back), [("lost", "a")])

    def test_does_not_count_the_time_of_a_pause(self):
        pause = record.NodePaused(START + 1.0, 0.4)
        self.assertEqual(self.breaches(written("a"), pause, answered("a", "fault", time=START + 2.4)), [])

    def test_a_request_that_was_written_after_its_timeout_is_due_at_once(self):
        late = written("a", time=START + 3.0, arrived_at=START)
        self.assertEqual(self.breaches(late, answered("a", "full", time=START + 3.01)), [])
        self.assertEqual(self.breaches(late, answered("a", "full", time=START + 3.2)), [("lost", "a")])

    def test_finds_two_answers(self):
        events = written("a"), *run("a"), answered("a"), answered("a", time=START + 0.4)
        self.assertEqual(self.breaches(*events), [("duplicate", "a")])

    def test_finds_a_result_that_no_run_made_for_the_request(self):
        self.assertEqual(self.breaches(written("a"), answered("a")), [("lost", "a")])
        other = written("b", key="s2")
        events = written("a"), other, *run("a"), answered("a"), answered("b", result=b"for a")
        self.assertEqual(self.breaches(*events), [("lost", "b")])

    def test_a_read_may_share_the_fresh_result_of_its_subject_only(self):
        first = (written("a"), *run("a"), answered("a"))
        for delay, expected in ((0.8, []), (1.5, [("lost", "b")])):
            time = START + 0.2 + delay
            shared = answered("b", result=b"for a", time=time + 0.01)
            self.assertEqual(self.breaches(*first, written("b", time=time), shared), expected)
        stale_plan = replace(PLAN, fresh_s=0.0)
        shared = answered("b", result=b"for a", time=START + 0.4)
        events = (*first, written("b", time=START + 0.3), shared)
        self.assertEqual(self.breaches(*events, plan=stale_plan), [("lost", "b")])

    def test_a_repeat_of_a_key_gets_the_result_of_the_same_body_only(self):
        first = (written("a", "order", key="k"), *run("a"), answered("a"))
        for body, expected in ((b"body", []), (b"other", [("lost", "b")])):
            repeat = written("b", "order", key="k", body=body, time=START + 0.5)
            shared = answered("b", result=b"for a", time=START + 0.6)
            self.assertEqual(self.breaches(*first, repeat, shared), expected)

    def test_finds_a_key_that_ran_twice_within_its_window(self):
        first = (written("a", "order", key="k"), *run("a"), answered("a"))
        for delay, expected in ((1.0, [("duplicate", "a")]), (3.1, [])):
            time = START + delay
            second = written("b", "order", key="k", time=time)
            events = (*first, second, *run("b", time + 0.1), answered("b", time=time + 0.3))
            self.assertEqual(self.breaches(*events), expected)

    def test_finds_a_mutating_request_that_ran_twice_or_was_refused_after_its_run(self):
        events = (written("a", "pay"), *run("a"), *run("a", START + 0.5), answered("a", time=START + 0.9))
        self.assertEqual(self.breaches(*events), [("duplicate", "a")])
        events = (written("a", "pay"), *run("a"), answered("a", "full"))
        self.assertEqual(self.breaches(*events), [("duplicate", "a")])
        events = (written("a"), *run("a"), answered("a", "full"))  # a read may be refused after its run
        self.assertEqual(self.breaches(*events), [])

    def test_finds_a_reply_to_another_call_and_a_changed_command(self):
        request = (written("a"), *run("a"), answered("a"))
        right = record.ReplyFed(START + 0.15, "a", b"for a.0", b"for a.0")
        self.assertEqual(self.breaches(*request, right), [])
        wrong = record.ReplyFed(START + 0.15, "a", b"for a.1", b"for a.0")
        self.assertEqual(self.breaches(*request, wrong), [("lost", "a")])
        changed = record.CommandChanged(START + 0.1, "a")
        self.assertEqual(self.breaches(*request, changed), [("lost", "a")])

    def test_finds_a_run_of_a_request_that_came_after_the_grace(self):
        term = record.NodeSignalled(START, "SIGTERM")
        for delay, expected in ((0.9, []), (1.2, [("drain", "a")])):
            time = START + delay
            events = (term, written("a", time=time), *run("a", time + 0.1), answered("a", time=time + 0.3))
            self.assertEqual(self.breaches(*events), expected)

    def test_finds_a_node_that_does_not_end_logs_a_defect_or_takes_too_much_memory(self):
        for event, rule in (
            (record.NodeExited(START, None), "drain"),
            (record.NodeExited(START, 1), "drain"),
            (record.NodeLogged(START, "Traceback"), "defect"),
            (record.NodeMeasured(START, 64.1), "memory"),
        ):
            self.assertEqual(self.breaches(event), [(rule, "")])
        self.assertEqual(self.breaches(record.NodeExited(START, 0), record.NodeMeasured(START, 64.0)), [])

    def test_finds_a_bad_client_that_is_served_or_left_alone(self):
        connected = record.BadClientConnected(START, "c", "unknown ID")
        for end, expected in (
            (record.BadClientAnswered(START + 1.0, "c", "fault"), []),
            (record.BadClientAnswered(START + 2.9, "c", ""), []),
            (record.BadClientAnswered(START + 1.0, "c", "ok"), [("lost", "c")]),
            (record.BadClientAnswered(START + 3.5, "c", ""), [("bad client", "c")]),
        ):
            self.assertEqual(self.breaches(connected, end), expected)
        self.assertEqual(self.breaches(connected), [("bad client", "c")])

    def test_a_written_record_reads_as_it_was(self):
        events = [written("a"), *run("a"), answered("a"), record.NodeExited(START, None)]
        kept = record.Record()
        for event in events:
            kept.add(event)
        lines = [record.encode(event) for event in kept.events]
        self.assertEqual(record.read_record(lines), events)


if __name__ == "__main__":
    unittest.main()
