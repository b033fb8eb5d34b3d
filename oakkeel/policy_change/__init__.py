"""Atomic changes of a fleet's policy: a version is in force on all hosts, or on none. Free of I/O.

No production package imports it yet: `emulator` simulates it, and `invariants` and `models` check it.
"""
