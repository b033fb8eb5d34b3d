"""Model of elections for z3: a term has one leader at most, and no committed entry is lost.

The model explores every run of a few steps with three replicas. An entry is represented by its term. A step
is one of: some replicas elect a leader, a leader appends an entry, a follower copies the leader's log, or a
leader commits an entry. Each variant of the model omits one rule and must be found unsafe; otherwise the
model would prove nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import combinations, pairwise

import z3

REPLICAS = 3
LOG_LENGTH = 2
MAX_TERM = 4
QUORUMS = [set(quorum) for size in (2, 3) for quorum in combinations(range(REPLICAS), size)]
# "one vote": a replica votes once in a term. "current log": a replica votes only for a candidate whose log is
# as up to date as its own log, or more so. "own term": a leader commits only up to an entry of its own term.
# A variant with "forgets" adds steps in which a replica loses its stored vote.
RULES = {"one vote", "current log", "own term"}

Terms = list[z3.ArithRef]


class State:
    """Terms, votes, logs and leaders of all replicas, and the entries that were ever committed."""

    def __init__(self, name: str) -> None:
        """`name` is the prefix of the variables."""

        def integers(field: str, count: int) -> Terms:
            return [z3.Int(f"{name}.{field}{number}") for number in range(count)]

        self.term = integers("term", REPLICAS)
        self.voted_for = integers("voted", REPLICAS)  # replica that got the vote of the term; -1: none
        self.log = [integers(f"log{replica}.", LOG_LENGTH) for replica in range(REPLICAS)]  # 0: no entry
        self.leads = integers("leads", REPLICAS)  # the term in which the replica leads; 0: none
        self.committed = integers("committed", LOG_LENGTH)  # term of the committed entry by index; 0: none

    def is_leader(self, replica: int) -> z3.BoolRef:
        """Condition: the replica leads in its current term."""
        return z3.And(self.leads[replica] > 0, self.leads[replica] == self.term[replica])


def unchanged(before: Terms, after: Terms, excluded: Iterable[int] = ()) -> list[z3.BoolRef]:
    """Conditions: all values except the `excluded` indexes stay the same."""
    changed = set(excluded)
    return [after[index] == before[index] for index in range(len(before)) if index not in changed]


def logs_unchanged(before: State, after: State, excluded: Iterable[int] = ()) -> list[z3.BoolRef]:
    """Conditions: the logs of all replicas except the `excluded` ones stay the same."""
    changed = set(excluded)
    return [
        condition
        for replica in range(REPLICAS)
        if replica not in changed
        for condition in unchanged(before.log[replica], after.log[replica])
    ]


def last_term(log: Terms) -> z3.ArithRef:
    """Return the term of a log's last entry."""
    return z3.If(log[1] > 0, log[1], log[0])


def log_length(log: Terms) -> z3.ArithRef:
    """Return the number of entries in a log."""
    return z3.If(log[1] > 0, 2, z3.If(log[0] > 0, 1, 0))


def election_step(
    before: State, after: State, candidate: int, voters: set[int], rules: set[str]
) -> z3.BoolRef:
    """Condition: the voters elect the candidate in a term in which each of them may vote for it."""
    term = after.leads[candidate]
    conditions = [term > before.term[candidate], term <= MAX_TERM]
    for voter in voters:
        if "one vote" in rules:
            is_free = z3.And(term == before.term[voter], before.voted_for[voter] == -1)
            conditions.append(z3.Or(term > before.term[voter], is_free))
        else:
            conditions.append(term >= before.term[voter])
        if "current log" in rules:
            conditions.append(is_up_to_date(before.log[candidate], before.log[voter]))
        conditions += [after.term[voter] == term, after.voted_for[voter] == candidate]
    return z3.And(
        *conditions,
        *unchanged(before.voted_for, after.voted_for, voters),
        *unchanged(before.term, after.term, voters),
        *unchanged(before.leads, after.leads, [candidate]),
        *logs_unchanged(before, after),
        *unchanged(before.committed, after.committed),
    )


def is_up_to_date(candidate: Terms, voter: Terms) -> z3.BoolRef:
    """Condition: the candidate's log is as up to date as the voter's, or more so."""
    same_term = last_term(candidate) == last_term(voter)
    return z3.Or(
        last_term(candidate) > last_term(voter), z3.And(same_term, log_length(candidate) >= log_length(voter))
    )


def vote_loss_step(before: State, after: State, replica: int) -> z3.BoolRef:
    """Condition: the replica loses its stored vote but keeps its identity."""
    return z3.And(
        after.voted_for[replica] == -1,
        *unchanged(before.voted_for, after.voted_for, [replica]),
        *unchanged(before.term, after.term),
        *unchanged(before.leads, after.leads),
        *unchanged(before.committed, after.committed),
        *logs_unchanged(before, after),
    )


def append_step(before: State, after: State, leader: int) -> z3.BoolRef:
    """Condition: the leader appends an entry of its term."""
    log = before.log[leader]
    next_index = log_length(log)
    return z3.And(
        before.is_leader(leader),
        next_index < LOG_LENGTH,
        *[
            after.log[leader][index] == z3.If(next_index == index, before.leads[leader], log[index])
            for index in range(LOG_LENGTH)
        ],
        *logs_unchanged(before, after, [leader]),
        *unchanged(before.term, after.term),
        *unchanged(before.voted_for, after.voted_for),
        *unchanged(before.leads, after.leads),
        *unchanged(before.committed, after.committed),
    )


def copy_log_step(before: State, after: State, leader: int, follower: int) -> z3.BoolRef:
    """Condition: the follower copies the leader's log, as append entries requests do in the protocol."""
    term = before.leads[leader]
    vote = z3.If(before.term[follower] == term, before.voted_for[follower], -1)
    return z3.And(
        before.is_leader(leader),
        before.term[follower] <= term,
        *[after.log[follower][index] == before.log[leader][index] for index in range(LOG_LENGTH)],
        *logs_unchanged(before, after, [follower]),
        after.term[follower] == term,
        after.voted_for[follower] == vote,
        after.leads[follower] == 0,
        *unchanged(before.term, after.term, [follower]),
        *unchanged(before.voted_for, after.voted_for, [follower]),
        *unchanged(before.leads, after.leads, [follower]),
        *unchanged(before.committed, after.committed),
    )


def commit_step(
    before: State, after: State, leader: int, index: int, quorum: set[int], rules: set[str]
) -> z3.BoolRef:
    """Condition: the leader commits all entries up to `index`, which a quorum has stored."""
    log = before.log[leader]
    term = before.leads[leader]
    stored = [
        z3.And(before.log[replica][index] == log[index], before.term[replica] == term) for replica in quorum
    ]
    has_required_term = log[index] == term if "own term" in rules else log[index] > 0
    committed = [
        z3.If(before.committed[earlier] == 0, log[earlier], before.committed[earlier])
        for earlier in range(index + 1)
    ]
    return z3.And(
        before.is_leader(leader),
        *stored,
        has_required_term,
        *[after.committed[earlier] == committed[earlier] for earlier in range(index + 1)],
        *unchanged(before.committed, after.committed, range(index + 1)),
        *unchanged(before.term, after.term),
        *unchanged(before.voted_for, after.voted_for),
        *unchanged(before.leads, after.leads),
        *logs_unchanged(before, after),
    )


def any_step(before: State, after: State, rules: set[str]) -> z3.BoolRef:
    """Condition: a single step leads from `before` to `after`."""
    replicas = range(REPLICAS)
    return z3.Or(
        *[
            election_step(before, after, candidate, voters, rules)
            for candidate in replicas
            for voters in QUORUMS
            if candidate in voters
        ],
        *([vote_loss_step(before, after, replica) for replica in replicas] if "forgets" in rules else []),
        *[append_step(before, after, leader) for leader in replicas],
        *[
            copy_log_step(before, after, leader, follower)
            for leader in replicas
            for follower in replicas
            if follower != leader
        ],
        *[
            commit_step(before, after, leader, index, quorum, rules)
            for leader in replicas
            for index in range(LOG_LENGTH)
            for quorum in QUORUMS
            if leader in quorum
        ],
    )


def all_runs(steps: int, rules: set[str]) -> tuple[z3.Solver, list[State]]:
    """Return a solver whose solutions are the runs of `steps` steps, and the variables of a run's states."""
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


def can_elect_two_leaders(steps: int, rules: set[str]) -> bool:
    """Whether some run of `steps` steps has two leaders in one term."""
    solver, states = all_runs(steps, rules)
    solver.add(
        z3.Or(
            *[
                z3.And(earlier.leads[first] > 0, earlier.leads[first] == later.leads[second])
                for number, earlier in enumerate(states)
                for later in states[number:]
                for first in range(REPLICAS)
                for second in range(REPLICAS)
                if first != second
            ]
        )
    )
    return bool(solver.check() == z3.sat)


def can_lose_committed_entry(steps: int, rules: set[str]) -> bool:
    """Whether some run ends with a leader that lacks or contradicts an earlier committed entry."""
    solver, states = all_runs(steps, rules)
    last_state = states[-1]
    losses = [
        z3.And(
            last_state.is_leader(replica),
            last_state.committed[index] > 0,
            last_state.log[replica][index] != last_state.committed[index],
            last_state.leads[replica] > last_state.committed[index],
        )
        for replica in range(REPLICAS)
        for index in range(LOG_LENGTH)
    ]
    solver.add(z3.Or(*losses))
    return bool(solver.check() == z3.sat)
