"""Sequential tests: they may be evaluated after every sample and keep their error rate. Free of I/O.

Each test has a value, stored as its logarithm, with a mean of at most 1 under the null hypothesis. The value
exceeds 1 / a with a probability of at most a, however often the test is evaluated (J. Ville, 1939; for
mixtures H. Robbins, "Statistical methods related to the law of the iterated logarithm", 1970). The mean of
the values of several tests has the same property.

Differences of means are assumed to be normal, with variances estimated from earlier samples.
"""

from __future__ import annotations

import math

import msgspec

MIN_VARIANCE = 1e-12
INITIAL_VARIANCE_SAMPLES = 30.0  # weight of the initial variance, as a number of samples
BET_ODDS = (3.0, 10.0, 30.0)  # odds of an event on the new arm, relative to those under the null hypothesis
MIN_EXPOSURE_RATIO = 0.001
MAX_EXPOSURE_RATIO = 0.999
MIN_ERFC_POINT = -30  # far below this point, `math.erfc` underflows


class Sums(msgspec.Struct, array_like=True):
    """Count, sum and sum of squares."""

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, other: Sums) -> None:
        """Add the samples of `other`."""
        self.count += other.count
        self.total += other.total
        self.squares += other.squares

    def minus(self, other: Sums) -> Sums:
        """Return the sums of the samples added since `other`, an earlier state of these sums."""
        return Sums(self.count - other.count, self.total - other.total, self.squares - other.squares)

    @property
    def mean(self) -> float:
        """Return the mean; 0 without samples."""
        return self.total / self.count if self.count else 0.0


class PooledVariance(msgspec.Struct, array_like=True):
    """The variance within arms, estimated from earlier samples and an initial value that loses weight."""

    degrees: float = 0.0  # degrees of freedom
    squares: float = 0.0  # sum of the squared deviations from the mean of each arm and window

    def add(self, arm: Sums) -> None:
        """Add the samples of one arm in one window."""
        if arm.count > 1:
            self.degrees += arm.count - 1
            self.squares += max(0.0, arm.squares - arm.total * arm.total / arm.count)

    def variance(self, initial_variance: float) -> float:
        """Return the estimate; it starts at `initial_variance`."""
        weight = INITIAL_VARIANCE_SAMPLES
        return max(MIN_VARIANCE, (self.squares + weight * initial_variance) / (self.degrees + weight))


class Difference(msgspec.Struct, array_like=True):
    """Tests whether the new mean is lower than the old by more than tolerated, or by less than a margin.

    Both arms are compared over the same windows, so that changes common to both cancel out.
    """

    score: float = 0.0  # sum of differences, each divided by its variance
    weight: float = 0.0  # sum of the reciprocals of these variances
    pooled: PooledVariance = msgspec.field(default_factory=PooledVariance)
    old: Sums = msgspec.field(default_factory=Sums)  # of all windows
    new: Sums = msgspec.field(default_factory=Sums)  # of all windows

    def observe(self, old: Sums, new: Sums, initial_variance: float) -> bool:
        """Add one window's samples of both arms; return False and change nothing if one arm has none."""
        if old.count < 1 or new.count < 1:
            return False
        variance = self.pooled.variance(initial_variance) * (1 / old.count + 1 / new.count)
        self.score += (old.mean - new.mean) / variance
        self.weight += 1 / variance
        for arm, samples in ((self.old, old), (self.new, new)):
            arm.add(samples)
            self.pooled.add(samples)
        return True

    @property
    def loss(self) -> float:
        """Return the difference of the means over all windows; positive if the new mean is lower."""
        return self.score / self.weight if self.weight else 0.0

    @property
    def spread(self) -> float:
        """Return the standard error of the loss."""
        return 1 / math.sqrt(self.weight) if self.weight else math.inf

    def log_evidence_worse(self, tolerated: float, scale: float) -> float:
        """Return the log evidence that the new mean is lower by more than `tolerated`.

        `scale` is the typical size of a loss beyond `tolerated` that matters.
        """
        return log_half_normal_mixture(self.score - tolerated * self.weight, self.weight, scale)

    def log_evidence_not_worse(self, margin: float, scale: float) -> float:
        """Return the log evidence that the new mean is lower by less than `margin`."""
        return log_half_normal_mixture(margin * self.weight - self.score, self.weight, scale)


def log_half_normal_mixture(score: float, weight: float, scale: float) -> float:
    """Return the log of the mean likelihood ratio over means with a half-normal distribution of this scale.

    `score` is a sum of values, each divided by its variance; `weight` is the sum of the reciprocals of the
    variances.
    """
    spread = 1 + scale * scale * weight
    point = scale * score / math.sqrt(spread)
    return math.log(2) - 0.5 * math.log(spread) + 0.5 * point * point + log_normal_cdf(point)


def log_normal_cdf(point: float) -> float:
    """Return the log of the standard normal distribution function, even where the function underflows."""
    if point > MIN_ERFC_POINT:
        return math.log(0.5 * math.erfc(-point / math.sqrt(2)))
    return -0.5 * point * point - math.log(-point * math.sqrt(2 * math.pi))


class Events(msgspec.Struct, array_like=True):
    """Tests whether rare events, such as crashes, happen on the new arm more often than its share explains.

    The share of an arm is its part of the exposure (the running processes) at the time of an event. Under the
    null hypothesis, an event happens on the new arm with a probability equal to that share. The value of the
    test is the mean of the values of several bets that the odds are higher, by the factors in `BET_ODDS`.
    """

    # The logarithm of the value of each bet, in the order of `BET_ODDS`.
    logs: list[float] = msgspec.field(default_factory=lambda: [0.0, 0.0, 0.0])
    old: int = 0  # number of events on the old arm
    new: int = 0  # number of events on the new arm

    def record(self, on_new: bool, exposure: float) -> None:
        """Add an event; `exposure` is the new arm's share of the exposure, strictly between 0 and 1."""
        exposure = min(MAX_EXPOSURE_RATIO, max(MIN_EXPOSURE_RATIO, exposure))
        for index, odds in enumerate(BET_ODDS):
            bet = odds * exposure / (odds * exposure + 1 - exposure)
            self.logs[index] += math.log(bet / exposure if on_new else (1 - bet) / (1 - exposure))
        self.new += on_new
        self.old += not on_new

    def log_evidence_worse(self) -> float:
        """Return the log evidence that events happen on the new arm more often than its share explains."""
        return log_mean(self.logs)


def log_mean(logs: list[float]) -> float:
    """Return the log of the mean of values, given their logs."""
    if not logs:
        return 0.0
    highest = max(logs)
    return highest + math.log(sum(math.exp(log - highest) for log in logs) / len(logs))
