"""Units: every duration and every instant in the program is in nanoseconds, every size in bytes unless named.

Instants and set durations are whole numbers; means and estimates, such as expected service times, are floats.
Names of constants that hold a time end in `_NS`; their values are written as multiples, `250 * MS`.
"""

MS = 1_000_000
SECOND = 1_000_000_000
BYTES_PER_MB = 2**20
