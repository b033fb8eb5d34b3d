"""The components that the host and the request handler of a node share, made once at its start."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.catalogue.links import Catalogue
from oakkeel.directory.reports import DirectoryReporter
from oakkeel.dispatch.listener import Listener
from oakkeel.engine.link import EngineLink
from oakkeel.log import EventLog
from oakkeel.node.metrics import Metrics
from oakkeel.node.response_cache import ResponseCache


@dataclass(slots=True, frozen=True)
class NodeComponents:
    """The links and sockets, the response cache, the metrics and the log of one node."""

    engine: EngineLink
    listener: Listener
    directory_reporter: DirectoryReporter
    catalogue: Catalogue
    response_cache: ResponseCache
    metrics: Metrics
    log: EventLog
