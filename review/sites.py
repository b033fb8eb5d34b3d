"""Node settings in the form of the configuration file, with figures of the users' site files."""

MS = 1_000_000
SECOND = 1_000 * MS


def settings(
    classes, *, grace_s, fall, halt, fresh=0, key_kb=0.0, cores=6, depends="shared", share=0.0, skip=(), factor=16.0
):
    return {
        "extra": {
            "cores": cores, "heap-kb": 90000.0, "run-factor": factor, "halt": halt, "depends-on": depends,
            "call-share": share, "dep-window": 5 * SECOND, "key-kb": key_kb, "fresh": fresh, "cold": False,
            "gauges": ["core_use", "on_cores", "heap_share", "links"], "say": "window", "readiness": False,
            "idle": 30 * SECOND, "linger": 200 * MS, "passes-deadline": True, "hangup-seen": True, "class-skip-worth": list(skip),
        },
        "obligations": {
            "fall-multiple": fall, "drain-grace": int(grace_s * SECOND), "cold": 18 * SECOND, "cold-from": 0.21,
        },
        "ceilings": {"retry-after": True, "max-retry-after": SECOND},
        "clients": {"marks-retry": True},
        "peers-total": 14,
        "classes": classes,
    }


def group(name, effect, aim_s, deadline_s, worth, late=0.0, window_s=5.0):
    return {
        "name": name, "effect": effect, "aim": int(aim_s * SECOND), "hard-limit": int(deadline_s * SECOND),
        "worth": worth, "late-worth": late, "window": int(window_s * SECOND),
    }


def chaguanas():
    """chaguanas-airplay: all groups repeatable, reads may share an answer for 1 s, a late answer earns a part."""
    return settings(
        [
            group("clip-match", "read_like", 2.7, 8.9, 1.0, 0.2),
            group("rights-lookup", "read_like", 2.2, 6.7, 1.0),
            group("rate-quote", "read_like", 2.2, 8.9, 2.0),
            group("play-report", "read_like", 2.2, 5.3, 4.0, 0.2),
        ],
        grace_s=2.0, fall=6.0, halt="abort", fresh=SECOND, share=6.0,
    )


def guild(scale):
    """guild-preview-pos on sockets: work, aims and deadlines are divided by `scale`, as the bench does there."""
    return settings(
        [
            group("snippet", "read_like", 2.2 / scale, 5.4 / scale, 1.0),
            group("track-card", "read_like", 1.5 / scale, 3.8 / scale, 2.0),
            group("quote", "read_like", 1.5 / scale, 3.8 / scale, 5.0),
        ],
        grace_s=2.0, fall=8.0, halt="abort", depends="tier", skip=(0.6, 0.0, 0.5), factor=8.0,
    )
