"""Tests that may be looked at after every sample without losing their error rate. Free of I/O.

Each keeps a value that no policy of looking can make large by chance: under what it doubts, the value's mean
never passes 1, so that it passes 1 / a with a chance of a at most (J. Ville, 1939; for mixtures H. Robbins,
"Statistical methods related to the law of the iterated logarithm", 1970). Such values of several tests may be
averaged, and the mean is one again.

The differences are those of means, taken as normal: with variances learnt from what came before.
"""

from __future__ import annotations

import math

import msgspec

LEAST_VARIANCE = 1e-12


class Sums(msgspec.Struct, array_like=True):
    """Count, sum and sum of squares."""

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, other: Sums) -> None:
        self.count += other.count
        self.total += other.total
        self.squares += other.squares

    def less(self, other: Sums) -> Sums:
        return Sums(self.count - other.count, self.total - other.total, self.squares - other.squares)

    @property
    def mean(self) -> float:
        return self.total / self.count if self.count else 0.0


class Pooled(msgspec.Struct, array_like=True):
    """The variance within arms, learnt from all that came before, with a first guess that fades."""

    degrees: float = 0.0
    squares: float = 0.0

    def add(self, arm: Sums) -> None:
        if arm.count > 1:
            self.degrees += arm.count - 1
            self.squares += max(0.0, arm.squares - arm.total * arm.total / arm.count)

    def variance(self, guess: float, weight: float = 30.0) -> float:
        return max(LEAST_VARIANCE, (self.squares + weight * guess) / (self.degrees + weight))


class Difference(msgspec.Struct, array_like=True):
    """Is one mean below another by more than is borne? And: is it surely not below by a margin?

    Both arms are looked at over the same times, so that what changes for both drops out.
    """

    score: float = 0.0  # sum of differences over their variances
    weight: float = 0.0  # sum of one over their variances
    pooled: Pooled = msgspec.field(default_factory=Pooled)
    old: Sums = msgspec.field(default_factory=Sums)
    new: Sums = msgspec.field(default_factory=Sums)

    def look(self, old: Sums, new: Sums, guess: float) -> bool:
        """What both arms brought in one stretch of time; without a part of either it says nothing."""
        if old.count < 1 or new.count < 1:
            return False
        variance = self.pooled.variance(guess) * (1 / old.count + 1 / new.count)
        self.score += (old.mean - new.mean) / variance
        self.weight += 1 / variance
        for arm, more in ((self.old, old), (self.new, new)):
            arm.add(more)
            self.pooled.add(more)
        return True

    @property
    def loss(self) -> float:
        """How much lower the new is, by all stretches together."""
        return self.score / self.weight if self.weight else 0.0

    @property
    def spread(self) -> float:
        """Standard error of that."""
        return 1 / math.sqrt(self.weight) if self.weight else math.inf

    def worse(self, borne: float, scale: float) -> float:
        """Logarithm of the value against: the new is lower by `borne` at most. `scale`: of losses that
        matter beyond it."""
        return half_normal(self.score - borne * self.weight, self.weight, scale)

    def not_worse(self, margin: float, scale: float) -> float:
        """The same against: the new is lower by `margin` or more."""
        return half_normal(margin * self.weight - self.score, self.weight, scale)


def half_normal(score: float, weight: float, scale: float) -> float:
    """Logarithm of the mixture of likelihood ratios over means drawn from the upper half of a normal.

    `score` is a sum of values over their variances, `weight` the sum of one over the variances.
    """
    spread = 1 + scale * scale * weight
    point = scale * score / math.sqrt(spread)
    return math.log(2) - 0.5 * math.log(spread) + 0.5 * point * point + log_normal(point)


def log_normal(point: float) -> float:
    """Logarithm of the normal distribution function, also where that is too small for a float."""
    if point > -30:
        return math.log(0.5 * math.erfc(-point / math.sqrt(2)))
    return -0.5 * point * point - math.log(-point * math.sqrt(2 * math.pi))


class Events(msgspec.Struct, array_like=True):
    """Do rare things happen to the new more often than its part of the time would have it?

    Given that one happens, it falls on the new with the chance that it has of the exposure just then. The
    value bets on a higher chance: the mean over odds that are 3, 10 and 30 times what they should be.
    """

    logs: list[float] = msgspec.field(default_factory=lambda: [0.0, 0.0, 0.0])
    old: int = 0
    new: int = 0

    def happened(self, on_new: bool, part: float) -> None:
        """`part`: of the exposure that is the new's, strictly between 0 and 1."""
        part = min(0.999, max(0.001, part))
        for place, odds in enumerate((3.0, 10.0, 30.0)):
            bet = odds * part / (odds * part + 1 - part)
            self.logs[place] += math.log(bet / part if on_new else (1 - bet) / (1 - part))
        self.new += on_new
        self.old += not on_new

    def worse(self) -> float:
        return log_mean(self.logs)


def log_mean(logs: list[float]) -> float:
    """Logarithm of the mean of values that are told by their logarithms."""
    if not logs:
        return 0.0
    top = max(logs)
    return top + math.log(sum(math.exp(each - top) for each in logs) / len(logs))
