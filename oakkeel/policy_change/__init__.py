"""Atomic changes of a fleet's policy: a version is in force on all hosts, or on none. Free of I/O."""
