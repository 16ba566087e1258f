"""Prometheus metrics of one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from lacewingcourse.core.pipelines.choice import NEVER_IN_TIME, NONE_IN_TIME
from lacewingcourse.core.pipelines.scheduling import Started
from lacewingcourse.relay.small_server import Reply, ServerRequest

if TYPE_CHECKING:
    from lacewingcourse.core.errors import Refusal
    from lacewingcourse.core.pipelines.client_memory import ClientMemory
    from lacewingcourse.core.pipelines.crashes import AnswerProgress
    from lacewingcourse.core.pipelines.event_form import EventDefect
    from lacewingcourse.core.pipelines.scheduling import Decision
    from lacewingcourse.relay.job import Job

#: HTTP path of the metrics.
METRICS_PATH = "/metrics"
#: Maximum number of organisations with a label of their own, and the label of others.
MAX_ORGANISATIONS = 32
OTHER_ORGANISATIONS = "others"
#: Upper bounds of the latency buckets in seconds, around the objectives of calls and of
#: first events.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
#: Upper bounds of the pause buckets in seconds, around the pauses that routes allow.
PAUSE_BUCKETS = (0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0)
#: Upper bounds of the buckets of ratios of seen to predicted times.
RATIO_BUCKETS = (0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0)
#: Upper bounds of the store call buckets in seconds.
STORE_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0)
#: Labels of refusals for want of time, by reason.
REFUSED_FOR_TIME = {NONE_IN_TIME: "loaded", NEVER_IN_TIME: "idle"}
#: Upper bounds of the event loop lag buckets in seconds.
LAG_BUCKETS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)


class Metrics:
    """The metrics of one entry.

    Attributes:
        registry: Registry of the metrics.
    """

    def __init__(self) -> None:
        # The creation times double the page, and equal the start of the process.
        disable_created_metrics()
        self.registry = CollectorRegistry()
        common_options = {"registry": self.registry}
        self.configuration_age = Gauge(
            "lacewingcourse_relay_configuration_age_seconds",
            "Since the configuration was last known to be the newest",
            **common_options,
        )
        self.directory_age = Gauge(
            "lacewingcourse_relay_directory_age_seconds",
            "Since the directory was last known whole",
            **common_options,
        )
        self.version = Gauge(
            "lacewingcourse_relay_configuration_version",
            "Version of the configuration in force",
            **common_options,
        )
        self.configuration_reads = Counter(
            "lacewingcourse_relay_configuration_reads",
            "Reads of the configuration by what they brought: version, nothing, behind"
            " (more was there), unreadable, unavailable",
            ["result"],
            **common_options,
        )
        self.requests = Counter(
            "lacewingcourse_relay_requests",
            "Requests by end: served, broken_off, or the kind of the refusal",
            ["end"],
            **common_options,
        )
        self.broken_answers = Counter(
            "lacewingcourse_relay_broken_off",
            "Answers that ended before they were whole, by why they did not go on",
            ["kind"],
            **common_options,
        )
        self.departures = Counter(
            "lacewingcourse_relay_departures",
            "Requests whose callers left before the end of the answer, by how far they"
            " had come",
            ["phase"],
            **common_options,
        )
        self.closed_clients = Counter(
            "lacewingcourse_relay_closed_clients",
            "Connections given up for want of memory or connections, by whose they were"
            " and how far their request had come: idle, head, body, answer, refused",
            ["group", "cause", "stage"],
            **common_options,
        )
        self.given_up_answers = Counter(
            "lacewingcourse_relay_given_up_answers",
            "Answers of endpoints given up because all of them held too much memory",
            **common_options,
        )
        self.client_bytes = Gauge(
            "lacewingcourse_relay_client_bytes",
            "Bytes charged to connections of clients: held, limit",
            ["group", "state"],
            **common_options,
        )
        self.client_connections = Gauge(
            "lacewingcourse_relay_client_connections",
            "Connections of clients: open, limit",
            ["group", "state"],
            **common_options,
        )
        self.last_requests = Counter(
            "lacewingcourse_relay_last_requests",
            "Requests that came while the entry was ending: taken or refused",
            ["outcome"],
            **common_options,
        )
        self.sends = Counter(
            "lacewingcourse_relay_sends",
            "Sends of requests to endpoints",
            **common_options,
        )
        self.retries = Counter(
            "lacewingcourse_relay_retries",
            "Sends beyond the first of a request",
            **common_options,
        )
        self.lost_sends = Counter(
            "lacewingcourse_relay_lost_sends",
            "Sends without a whole answer, by how far it had come when the connection"
            " broke: unanswered, begun, early, established; otherwise connected",
            ["progress"],
            **common_options,
        )
        self.unsound_events = Counter(
            "lacewingcourse_relay_unsound_events",
            "Runs of streams with bytes that are not their next event, by what is wrong"
            " with the first ones",
            ["defect"],
            **common_options,
        )
        self.time_ratio = Histogram(
            "lacewingcourse_relay_time_ratio",
            "Seen times of streams divided by those that follow from published figures",
            ["service", "time"],
            buckets=RATIO_BUCKETS,
            **common_options,
        )
        self.absurd_times = Counter(
            "lacewingcourse_relay_absurd_times",
            "Seen times of streams that nothing was learned from",
            ["time"],
            **common_options,
        )
        self.refused_for_time = Counter(
            "lacewingcourse_relay_refused_for_time",
            "Streams refused as no path was in time: with what runs now, or if idle",
            ["paths"],
            **common_options,
        )
        self.first_event = Histogram(
            "lacewingcourse_relay_first_event_seconds",
            "From a request's head to the first event passed on",
            buckets=LATENCY_BUCKETS,
            **common_options,
        )
        self.longest_pause = Histogram(
            "lacewingcourse_relay_longest_pause_seconds",
            "Longest pause between two events of a stream",
            buckets=PAUSE_BUCKETS,
            **common_options,
        )
        self.answer_time = Histogram(
            "lacewingcourse_relay_answer_seconds",
            "From a request's head to the end of its answer",
            buckets=LATENCY_BUCKETS,
            **common_options,
        )
        self.queue_depth = Gauge(
            "lacewingcourse_relay_queue_depth",
            "Requests that wait for room, by rank",
            ["rank"],
            **common_options,
        )
        self.oldest_wait = Gauge(
            "lacewingcourse_relay_queue_oldest_wait_seconds",
            "Since the request that waits longest arrived",
            **common_options,
        )
        self.not_started = Counter(
            "lacewingcourse_relay_room_refused",
            "Requests that got no room: share, late, waited, queue_full, not_allowed",
            ["cause", "rank"],
            **common_options,
        )
        self.started_tokens = Counter(
            "lacewingcourse_relay_started_tokens",
            "Tokens of the requests that got room, by organisation",
            ["organisation"],
            **common_options,
        )
        self._tokens_by_organisation: dict[str, Counter] = {}
        self.waited = Histogram(
            "lacewingcourse_relay_waited_seconds",
            "Time for which streams waited for room on a path",
            buckets=LATENCY_BUCKETS,
            **common_options,
        )
        self.store_calls = Histogram(
            "lacewingcourse_relay_store_call_seconds",
            "Calls of the platform's store by result",
            ["result"],
            buckets=STORE_BUCKETS,
            **common_options,
        )
        self.endpoints = Gauge(
            "lacewingcourse_relay_endpoints",
            "Endpoints by state: present, leaving, suspected; suspected ones by grade",
            ["state"],
            **common_options,
        )
        self.suspicions = Counter(
            "lacewingcourse_relay_suspicions",
            "Endpoints that this entry found not to answer in time, by grade",
            ["grade"],
            **common_options,
        )
        self.path_fallbacks = Counter(
            "lacewingcourse_relay_path_fallbacks",
            "Times that candidate paths began to use other suspected endpoints",
            **common_options,
        )
        self.unreadable_entries = Counter(
            "lacewingcourse_relay_unreadable_entries",
            "Entries of the directory that name no endpoint to use, at each reading",
            **common_options,
        )
        self.unreadable_messages = Counter(
            "lacewingcourse_relay_unreadable_messages",
            "Messages of other entries that cannot be read",
            **common_options,
        )
        self.limited_endpoints = Gauge(
            "lacewingcourse_relay_limited_endpoints",
            "Endpoints that name a limit of requests a second",
            **common_options,
        )
        self.limited_sends = Counter(
            "lacewingcourse_relay_limited_sends",
            "Sends to endpoints that had named a limit: first sends or retries",
            ["attempt"],
            **common_options,
        )
        self.refused_parts = Gauge(
            "lacewingcourse_relay_refused_parts",
            "Parts of prompts that are refused as they crash endpoints",
            **common_options,
        )
        self.room_demand = Gauge(
            "lacewingcourse_relay_room_demand",
            "Tokens (calls of plain services) a second of all entries by rank: arrived,"
            " started; waiting is a number",
            ["service", "rank", "state"],
            **common_options,
        )
        self.room_fraction = Gauge(
            "lacewingcourse_relay_room_fraction",
            "Fraction of the demand of a rank that may start",
            ["service", "rank"],
            **common_options,
        )
        self.room_short = Gauge(
            "lacewingcourse_relay_room_short",
            "Whether an entry found no room lately",
            ["service"],
            **common_options,
        )
        self.room_refusals = Counter(
            "lacewingcourse_relay_room_refusals",
            "Requests that did not belong to what this entry might start",
            ["service", "rank"],
            **common_options,
        )
        self.unreadable_limits = Counter(
            "lacewingcourse_relay_unreadable_limits",
            "Limits named by endpoints that cannot be read",
            **common_options,
        )
        self.backing_off = Gauge(
            "lacewingcourse_relay_endpoints_in_backoff",
            "Endpoints that asked this entry for a delay that has not passed",
            **common_options,
        )
        self.backoff_sends = Counter(
            "lacewingcourse_relay_backoff_sends",
            "Sends to endpoints within the delay that they asked for",
            ["attempt"],
            **common_options,
        )
        self.unreadable_backoffs = Counter(
            "lacewingcourse_relay_unreadable_backoffs",
            "Delays named by endpoints that cannot be read",
            **common_options,
        )
        self.loop_lag = Histogram(
            "lacewingcourse_relay_loop_lag_seconds",
            "How late the loop came to a timer that rings twenty times a second",
            buckets=LAG_BUCKETS,
            **common_options,
        )
        self.lines_left_out = Counter(
            "lacewingcourse_relay_log_lines_left_out",
            "Log lines that the budget or a stalled reader left out",
            **common_options,
        )

    def closed_client(self, group: str, cause: str, stage: str) -> None:
        """Count a connection of a client that was given up."""
        self.closed_clients.labels(group, cause, stage).inc()

    def show_clients(self, group: str, memory: ClientMemory) -> None:
        """Set the gauges of the connections of some clients."""
        self.client_bytes.labels(group, "held").set(memory.held)
        self.client_bytes.labels(group, "limit").set(memory.limits.memory)
        self.client_connections.labels(group, "open").set(len(memory.uses))
        limit = memory.limits.connections
        self.client_connections.labels(group, "limit").set(limit)

    def served(self, job: Job, now: float) -> None:
        """Count a request that an endpoint answered."""
        received = job.request.received_at
        self.requests.labels("served").inc()
        self._count_sends(job)
        self.answer_time.observe(now - received)
        if job.first_event_at is not None:
            self.first_event.observe(job.first_event_at - received)
            self.longest_pause.observe(job.longest_gap)
            self.waited.observe(job.waited)

    def caller_closed(self, phase: str) -> None:
        """Count a request whose caller has left before the end of its answer."""
        self.departures.labels(phase).inc()

    def broken_off(self, cause: Refusal, job: Job) -> None:
        """Count an answer that was begun and ended incomplete."""
        self.requests.labels("broken_off").inc()
        self.broken_answers.labels(cause.kind.value).inc()
        self._count_sends(job)

    def refused(self, refusal: Refusal, job: Job | None) -> None:
        """Count a request that ended without an answer of an endpoint."""
        self.requests.labels(refusal.kind.value).inc()
        paths = REFUSED_FOR_TIME.get(refusal.reason)
        if paths is not None:
            self.refused_for_time.labels(paths).inc()
        if job is not None:
            self._count_sends(job)

    def scheduled(self, job: Job, decision: Decision) -> None:
        """Count a request that got room, or got none."""
        request = decision.request
        if not isinstance(decision, Started):
            self.not_started.labels(decision.cause.value, request.rank).inc()
            return
        known, name = self._tokens_by_organisation, request.organisation
        counter = known.get(name)
        if counter is None:
            if len(known) >= MAX_ORGANISATIONS:
                counter = self.started_tokens.labels(OTHER_ORGANISATIONS)
            else:
                counter = known[name] = self.started_tokens.labels(name)
        counter.inc(request.tokens)

    def show_queue(self, depths: dict[int, int], oldest_wait: float) -> None:
        """Set the gauges of the queue.

        Args:
            depths: Number of waiting requests by rank.
            oldest_wait: Seconds since the one that waits longest arrived.
        """
        for rank, depth in depths.items():
            self.queue_depth.labels(rank).set(depth)
        self.oldest_wait.set(oldest_wait)

    def predicted(self, service: str, time: str, ratio: float | None) -> None:
        """Observe the ratio of a seen to a predicted time, None for an absurd one."""
        if ratio is None:
            self.absurd_times.labels(time).inc()
        else:
            self.time_ratio.labels(service, time).observe(ratio)

    def lost(self, progress: AnswerProgress | None) -> None:
        """Count a send that got no whole answer."""
        self.lost_sends.labels(progress.value if progress else "connected").inc()

    def unsound_event(self, defect: EventDefect) -> None:
        """Count a run with bytes that are not the next event of its stream."""
        self.unsound_events.labels(defect.value).inc()

    def limited_send(self, job: Job) -> None:
        """Count a send to an endpoint that had named a limit."""
        attempt = "first" if job.sends == 1 else "retry"
        self.limited_sends.labels(attempt).inc()

    def backoff_send(self, job: Job) -> None:
        """Count a send to an endpoint within the delay that it asked for."""
        self.backoff_sends.labels("first" if job.sends == 1 else "retry").inc()

    def configuration_read(self, result: str) -> None:
        """Count a read of the configuration."""
        self.configuration_reads.labels(result).inc()

    def store_call(self, result: str, seconds: float) -> None:
        """Count a call of the store, and observe its duration in seconds."""
        self.store_calls.labels(result).observe(seconds)

    def respond(self, request: ServerRequest) -> Reply:
        """Return all metrics in the text format of Prometheus."""
        return Reply(200, generate_latest(self.registry), CONTENT_TYPE_LATEST)

    def _count_sends(self, job: Job) -> None:
        self.sends.inc(job.sends)
        self.retries.inc(max(0, job.sends - 1))
