"""The decisions of one oakkeel node: admission, scheduling, downstream calls and signals to clients."""

from oakkeel.admission.controller import POLL_TOKEN, AdmissionController
from oakkeel.admission.overload import Stage
from oakkeel.admission.sliding_window import SlidingWindow

__all__ = ["POLL_TOKEN", "AdmissionController", "SlidingWindow", "Stage"]
