"""Majorities of voters: any two have a voter in common."""

from __future__ import annotations

from collections.abc import Set


def is_majority(incarnations: Set[str], voters: Set[str]) -> bool:
    """Whether the incarnations include more than half of the voters."""
    return 2 * len(voters & incarnations) > len(voters)


def majority_value(values: list[int]) -> int:
    """Return the highest value that a majority of the voters has reached, given the value of each."""
    return sorted(values, reverse=True)[len(values) // 2]
