"""The base of all errors that oakkeel raises."""

from __future__ import annotations


class OakkeelError(Exception):
    """An error of oakkeel itself; its message is one line that says what is wrong."""


class OrderRefusedError(OakkeelError):
    """A node refuses an order from its control link; the message tells whoever sent it why."""


class InvalidTransitionError(OakkeelError, RuntimeError):
    """A state machine was asked for a transition that its table does not allow: a defect of the caller."""

    def __init__(self, subject: str, state: str, successor: str) -> None:
        """Name what should change, its state, and the state that may not follow."""
        super().__init__(f"{subject} can't go from {state} to {successor}")
        self.subject = subject
        self.state = state
        self.successor = successor
