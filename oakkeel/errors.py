"""The base of all errors that oakkeel raises."""

from __future__ import annotations


class OakkeelError(Exception):
    """An error of oakkeel itself; its message is one line that describes the fault."""


class OrderRefusedError(OakkeelError):
    """A node refuses an order from its control link; the message gives the sender the reason."""


class InvalidTransitionError(OakkeelError, RuntimeError):
    """A state machine was asked for a transition that its table does not allow: a defect of the caller."""

    def __init__(self, subject: str, state: str, successor: str) -> None:
        """Take the name of the state machine, its state, and the successor that is not allowed."""
        super().__init__(f"{subject} can't go from {state} to {successor}")
        self.subject = subject
        self.state = state
        self.successor = successor
