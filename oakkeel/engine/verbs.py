"""The verbs of the engine's protocol: commands to it and notices from it."""

RUN = b"RUN"
HALT = b"HALT"
FEED = b"FEED"
SKIP = b"SKIP"
STAT = b"STAT"

HELLO = b"HELLO"
STATS = b"STATS"
DONE = b"DONE"
NEED = b"NEED"
NOTE = b"NOTE"
NO = b"NO"
