"""Model of elections for z3: a term has one leader at most, and no committed entry is lost.

Every run of a few steps of three replicas is explored. An entry is represented by its term. A step is an
election with the votes of some replicas, an entry of a leader, its copy to another replica, or its commit.
Each variant omits one rule and must be found unsafe; otherwise the model would prove nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import combinations, pairwise

import z3

REPLICAS = 3
LENGTH = 2
MAX_TERM = 4
QUORUMS = [set(quorum) for size in (2, 3) for quorum in combinations(range(REPLICAS), size)]
RULES = {"one vote", "current log", "own term"}

Terms = list[z3.ArithRef]


class State:
    """The state of all replicas: terms, votes, logs, leaders, and the entries that were ever committed."""

    def __init__(self, name: str) -> None:
        """`name` is the prefix of the variables."""

        def integers(field: str, count: int) -> Terms:
            return [z3.Int(f"{name}.{field}{number}") for number in range(count)]

        self.term = integers("term", REPLICAS)
        self.voted_for = integers("voted", REPLICAS)  # -1: none
        self.log = [integers(f"log{replica}.", LENGTH) for replica in range(REPLICAS)]  # 0: no entry
        self.leads = integers("leads", REPLICAS)  # the term that it leads; 0: none
        self.committed = integers("committed", LENGTH)  # the term of the entry committed there; 0: none

    def is_leader(self, replica: int) -> z3.BoolRef:
        """Return that a replica leads in its current term."""
        return z3.And(self.leads[replica] > 0, self.leads[replica] == self.term[replica])


def same(before: Terms, after: Terms, but: Iterable[int] = ()) -> list[z3.BoolRef]:
    """Return that all but some values stay the same."""
    changed = set(but)
    return [after[index] == before[index] for index in range(len(before)) if index not in changed]


def same_logs(before: State, after: State, but: Iterable[int] = ()) -> list[z3.BoolRef]:
    """Return that the logs of all but some replicas stay the same."""
    changed = set(but)
    return [
        condition
        for replica in range(REPLICAS)
        if replica not in changed
        for condition in same(before.log[replica], after.log[replica])
    ]


def last_term(log: Terms) -> z3.ArithRef:
    """Return the term of a log's last entry."""
    return z3.If(log[1] > 0, log[1], log[0])


def length(log: Terms) -> z3.ArithRef:
    """Return how many entries a log has."""
    return z3.If(log[1] > 0, 2, z3.If(log[0] > 0, 1, 0))


def elected(before: State, after: State, candidate: int, voters: set[int], rules: set[str]) -> z3.BoolRef:
    """Return that voters elect a candidate in a later term than theirs."""
    term = after.leads[candidate]
    conditions = [term > before.term[candidate], term <= MAX_TERM]
    for voter in voters:
        if "one vote" in rules:
            is_free = z3.And(term == before.term[voter], before.voted_for[voter] == -1)
            conditions.append(z3.Or(term > before.term[voter], is_free))
        else:
            conditions.append(term >= before.term[voter])
        if "current log" in rules:
            conditions.append(is_current(before.log[candidate], before.log[voter]))
        conditions += [after.term[voter] == term, after.voted_for[voter] == candidate]
    return z3.And(
        *conditions,
        *same(before.voted_for, after.voted_for, voters),
        *same(before.term, after.term, voters),
        *same(before.leads, after.leads, [candidate]),
        *same_logs(before, after),
        *same(before.committed, after.committed),
    )


def is_current(candidate: Terms, voter: Terms) -> z3.BoolRef:
    """Return that the candidate's log is at least as up to date as the voter's."""
    same_term = last_term(candidate) == last_term(voter)
    return z3.Or(
        last_term(candidate) > last_term(voter), z3.And(same_term, length(candidate) >= length(voter))
    )


def vote_lost(before: State, after: State, replica: int) -> z3.BoolRef:
    """Return that a replica loses its vote and keeps its identity."""
    return z3.And(
        after.voted_for[replica] == -1,
        *same(before.voted_for, after.voted_for, [replica]),
        *same(before.term, after.term),
        *same(before.leads, after.leads),
        *same(before.committed, after.committed),
        *same_logs(before, after),
    )


def entry_appended(before: State, after: State, leader: int) -> z3.BoolRef:
    """Return that a leader appends an entry of its term."""
    log = before.log[leader]
    end = length(log)
    return z3.And(
        before.is_leader(leader),
        end < LENGTH,
        *[
            after.log[leader][index] == z3.If(end == index, before.leads[leader], log[index])
            for index in range(LENGTH)
        ],
        *same_logs(before, after, [leader]),
        *same(before.term, after.term),
        *same(before.voted_for, after.voted_for),
        *same(before.leads, after.leads),
        *same(before.committed, after.committed),
    )


def log_copied(before: State, after: State, leader: int, follower: int) -> z3.BoolRef:
    """Return that a follower copies the leader's log, which is the result of its append entries requests."""
    term = before.leads[leader]
    vote = z3.If(before.term[follower] == term, before.voted_for[follower], -1)
    return z3.And(
        before.is_leader(leader),
        before.term[follower] <= term,
        *[after.log[follower][index] == before.log[leader][index] for index in range(LENGTH)],
        *same_logs(before, after, [follower]),
        after.term[follower] == term,
        after.voted_for[follower] == vote,
        after.leads[follower] == 0,
        *same(before.term, after.term, [follower]),
        *same(before.voted_for, after.voted_for, [follower]),
        *same(before.leads, after.leads, [follower]),
        *same(before.committed, after.committed),
    )


def entry_committed(
    before: State, after: State, leader: int, index: int, quorum: set[int], rules: set[str]
) -> z3.BoolRef:
    """Return that a leader commits the entries up to one that a quorum has stored."""
    log = before.log[leader]
    term = before.leads[leader]
    stored = [
        z3.And(before.log[replica][index] == log[index], before.term[replica] == term) for replica in quorum
    ]
    own_term = log[index] == term if "own term" in rules else log[index] > 0
    committed = [
        z3.If(before.committed[earlier] == 0, log[earlier], before.committed[earlier])
        for earlier in range(index + 1)
    ]
    return z3.And(
        before.is_leader(leader),
        *stored,
        own_term,
        *[after.committed[earlier] == committed[earlier] for earlier in range(index + 1)],
        *same(before.committed, after.committed, range(index + 1)),
        *same(before.term, after.term),
        *same(before.voted_for, after.voted_for),
        *same(before.leads, after.leads),
        *same_logs(before, after),
    )


def any_step(before: State, after: State, rules: set[str]) -> z3.BoolRef:
    """Return that one step leads from one state to the next."""
    replicas = range(REPLICAS)
    return z3.Or(
        *[
            elected(before, after, one, voters, rules)
            for one in replicas
            for voters in QUORUMS
            if one in voters
        ],
        *([vote_lost(before, after, one) for one in replicas] if "forgets" in rules else []),
        *[entry_appended(before, after, one) for one in replicas],
        *[log_copied(before, after, one, other) for one in replicas for other in replicas if other != one],
        *[
            entry_committed(before, after, one, index, quorum, rules)
            for one in replicas
            for index in range(LENGTH)
            for quorum in QUORUMS
            if one in quorum
        ],
    )


def all_runs(steps: int, rules: set[str]) -> tuple[z3.Solver, list[State]]:
    """Return a solver for all runs of `steps` steps, and their states."""
    solver = z3.Solver()
    states = [State(f"s{number}") for number in range(steps + 1)]
    first = states[0]
    solver.add(
        *[value == 0 for value in (*first.term, *first.leads, *first.committed)],
        *[vote == -1 for vote in first.voted_for],
        *[entry == 0 for log in first.log for entry in log],
    )
    for before, after in pairwise(states):
        solver.add(any_step(before, after, rules))
    return solver, states


def two_leaders(steps: int, rules: set[str]) -> bool:
    """Whether some run of `steps` steps has two leaders in one term."""
    solver, states = all_runs(steps, rules)
    solver.add(
        z3.Or(
            *[
                z3.And(earlier.leads[one] > 0, earlier.leads[one] == later.leads[other])
                for number, earlier in enumerate(states)
                for later in states[number:]
                for one in range(REPLICAS)
                for other in range(REPLICAS)
                if one != other
            ]
        )
    )
    return bool(solver.check() == z3.sat)


def committed_entry_is_lost(steps: int, rules: set[str]) -> bool:
    """Whether some run ends with a leader that lacks or contradicts an earlier committed entry."""
    solver, states = all_runs(steps, rules)
    end = states[-1]
    lacks = [
        z3.And(
            end.is_leader(replica),
            end.committed[index] > 0,
            end.log[replica][index] != end.committed[index],
            end.leads[replica] > end.committed[index],
        )
        for replica in range(REPLICAS)
        for index in range(LENGTH)
    ]
    solver.add(z3.Or(*lacks))
    return bool(solver.check() == z3.sat)
