"""A topology of two sites and two services that the tests of releases share."""

from oakkeel.disruption.topology import BudgetGroup, Topology

TOPOLOGY = Topology(
    {"h1": ("a", "b"), "h2": ("c", "d"), "h3": ("db1", "db2")},
    (
        BudgetGroup("site one", 1, ("a", "b")),
        BudgetGroup("site two", 1, ("c", "d")),
        BudgetGroup("fleet", 2, ("a", "b", "c", "d")),
        BudgetGroup("kind db", 1, ("db1", "db2")),
    ),
    {"db1": ("a", "c"), "db2": ("b", "d")},
)
