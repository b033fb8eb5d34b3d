"""Units: durations and times are in nanoseconds, and sizes in bytes, unless a name has another unit.

Times and configured durations are whole numbers; means and estimates, such as expected service times, are
floats. Names of constants that hold a time end in `_NS`; their values are written as multiples: `250 * MS`.
"""

MS = 1_000_000
SECOND = 1_000_000_000
BYTES_PER_MB = 2**20
