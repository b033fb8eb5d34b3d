"""Units: every duration and every instant in the program is a whole number of nanoseconds.

Names of constants that hold one end in `_NS`; their values are written as multiples, `250 * MS`.
"""

MS = 1_000_000
SECOND = 1_000_000_000
BYTES_PER_MB = 2**20
