"""The style that all tables share."""

from __future__ import annotations

from rich.table import Table


def plain_table(*columns: str, title: str | None = None) -> Table:
    """Return an empty table with these columns."""
    table = Table(box=None, header_style="bold", pad_edge=False, title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    return table
