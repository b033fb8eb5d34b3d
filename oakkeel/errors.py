"""The base of all errors that oakkeel raises."""

from __future__ import annotations


class OakkeelError(Exception):
    """An error of oakkeel itself; its message is one plain line that says what is wrong."""
