//! Every size, count and time that the router holds itself to. They are set once at the start and handed down.

use std::time::Duration;

use tallypin::api::{list_call_interval, Nanos, NOTIFICATION_LIMIT};
use tallypin::deployment::Deployment;

/// The limits of one router.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The largest head of a message, bytes.
    pub max_head_size: usize,
    /// The most header fields of a message.
    pub max_fields: usize,
    /// The largest body of a request, bytes.
    pub max_body_size: usize,
    /// The largest event of a stream, and the largest chunk, bytes.
    pub max_event_size: usize,
    /// The most responses of status 1xx that a replica sends before the final one.
    pub max_informational_responses: usize,
    /// The head of a replica's response must be complete within this after its first byte.
    pub response_head_timeout: Duration,
    /// The largest text of an answer that a client wants in one piece, not as a stream, bytes.
    pub max_collected_answer_size: usize,
    /// The most tokens of an answer whose client states no bound, where the dialect of the replica requires one.
    pub default_max_tokens: u64,
    /// The largest line of the endpoint list, bytes.
    pub max_list_line_size: usize,
    /// What the bodies of all requests may take together, bytes.
    pub body_budget: usize,
    /// Client connections that are served at once; further ones are answered 503 and closed.
    pub max_clients: usize,
    /// Further client connections that are accepted only to be answered 503.
    pub max_rejected_clients: usize,
    /// Connections to replicas, idle ones included.
    pub max_replica_connections: usize,
    /// Requests in flight.
    pub max_open_requests: usize,
    /// Response events that wait for a slow client.
    pub response_queue_length: usize,
    /// A connection to a replica must be established within this, or counts as refused.
    pub connect_timeout: Duration,
    /// An idle connection to a replica is closed after this, well before the replica does so.
    pub replica_idle_timeout: Duration,
    /// A connection to a replica is not used again before this: a response of more than its request comes within some
    /// milliseconds.
    pub replica_reuse_delay: Duration,
    /// How long a client connection may be idle between two requests.
    pub client_idle_timeout: Duration,
    /// How long a client connection may be idle before its first request.
    pub first_request_timeout: Duration,
    /// A client connection that has been idle for this long is among the first to be closed when others need its place.
    pub client_eviction_idle_time: Duration,
    /// A request must be complete within this after its first byte.
    pub request_read_timeout: Duration,
    /// Identifiers of requests that are remembered after these have ended.
    pub max_remembered_requests: usize,
    /// This many rejections in a row, each followed by an immediate retry, are answered without a pause.
    pub max_immediate_retries: u32,
    /// A retry within this after a rejection is immediate.
    pub immediate_retry_window: Duration,
    /// The pause, after too many immediate retries, before the next request on the connection is read.
    pub immediate_retry_pause: Duration,
    /// How often the router looks whether a client that has sent much ahead has left.
    pub client_departure_check_interval: Duration,
    /// A client that takes no bytes for this long has left.
    pub client_write_timeout: Duration,
    /// A stream that has begun and brings no event for this long is broken.
    pub stream_silence_timeout: Duration,
    /// A health check is given up after this.
    pub health_check_timeout: Duration,
    /// An answer that the decisions have yet to give is given within this after the client's deadline.
    pub deadline_slack: Duration,
    /// A watch of the endpoint list without a sign of life for this long is lost: one comes every 2 s. What it misses counts as
    /// notified 6 s after it fell silent, which has to do for this and for a further call.
    pub watch_silence_timeout: Duration,
    /// A list that has said nothing for this long is told of as silent.
    pub list_silence_limit: Duration,
    /// A call for the endpoint list is given up after this without a response. Discovery may hold a call for 2 s before it
    /// fails it.
    pub list_response_timeout: Duration,
    /// A watch of the endpoint list is given up when a message that has begun does not go on for this long: what stops in
    /// its middle does not go on, and the 6 s have to do for some calls.
    pub list_message_gap: Duration,
    /// The interval between calls for the endpoint list at another address.
    pub list_call_interval: Duration,
    /// A local agent that has the endpoint list pushed to it responds at once: without a response within this it is silent.
    pub agent_response_timeout: Duration,
    /// The backoff between calls to a local agent. It is short, as the agent counts as notified once it is reachable.
    pub agent_backoff: Duration,
    /// How long clients may still connect after the order to stop.
    pub shutdown_grace: Duration,
    /// How long clients are served on their connections after the order to stop if there is no other router to go to.
    pub lone_router_shutdown_grace: Duration,
    /// Another router that has not been heard for this long is none that clients can go to.
    pub peer_silence_timeout: Duration,
    /// A request accepted later than this after the order to stop must have ended before the process is killed.
    pub late_arrival_after_stop: Duration,
    /// This long after the order to stop, requests without a response are answered and nothing more is forwarded: the process
    /// is killed soon after.
    pub forwarding_end_after_stop: Duration,
    /// Connections that carry nothing are read for this long before they are closed: a request may be under way.
    pub final_read_time: Duration,
    /// A connection that was shut down is read for this long at the most, so that its client gets all of the answer.
    pub close_linger: Duration,
    /// The pause of the accept loop after an error, such as a lack of file descriptors.
    pub accept_backoff: Duration,
    /// How long accepted requests may go on once the listeners have closed and what could be answered has been.
    pub drain_time: Duration,
    /// How often the state is logged.
    pub status_interval: Duration,
    /// The least Retry-After of a rejection.
    pub min_retry_after: Duration,
}

/// The process is killed no sooner than this after the order to stop and the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The longest deadline that the kill waits for.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// The router may be held up for 0.15 s before it sees the order to stop and as long again before it writes; 0.1 s are spare.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// A list at another address is called for as if so little were left of the time after which the router counts as notified: how
/// long the former one goes on is not known.
const MOVED_LIST_TIME_LEFT: Nanos = NOTIFICATION_LIMIT / 4;
/// The most that an answer may come after its deadline, whatever the deployment allows.
const MAX_DEADLINE_SLACK: Duration = Duration::from_millis(10);

/// The limits that depend on neither the machine nor the deployment. Those that do are zero here; [`Limits::new`] sets each
/// of them.
const FIXED: Limits = Limits {
    max_head_size: 16 << 10,
    max_fields: 64,
    max_body_size: 256 << 10,
    max_event_size: 256 << 10,
    max_informational_responses: 8,
    response_head_timeout: Duration::from_millis(500),
    max_collected_answer_size: 1 << 20,
    default_max_tokens: 4096,
    max_list_line_size: 4 << 20,
    response_queue_length: 8,
    replica_reuse_delay: Duration::from_millis(20),
    client_idle_timeout: Duration::from_secs(20),
    first_request_timeout: Duration::from_millis(2000),
    client_eviction_idle_time: Duration::from_millis(300),
    request_read_timeout: Duration::from_millis(2500),
    max_remembered_requests: 1024,
    max_immediate_retries: 8,
    immediate_retry_window: Duration::from_millis(20),
    immediate_retry_pause: Duration::from_millis(50),
    client_departure_check_interval: Duration::from_millis(20),
    client_write_timeout: Duration::from_secs(30),
    stream_silence_timeout: Duration::from_secs(4),
    health_check_timeout: Duration::from_millis(500),
    watch_silence_timeout: Duration::from_secs(3),
    list_silence_limit: Duration::from_secs(4),
    list_response_timeout: Duration::from_millis(2200),
    list_message_gap: Duration::from_millis(1000),
    agent_response_timeout: Duration::from_millis(250),
    agent_backoff: Duration::from_millis(200),
    shutdown_grace: Duration::from_millis(500),
    peer_silence_timeout: Duration::from_secs(2),
    // 0.7 s by the protocol, less 0.15 s that the router may be held up before it sees the order, and 0.05 s.
    late_arrival_after_stop: Duration::from_millis(500),
    final_read_time: Duration::from_millis(20),
    close_linger: Duration::from_millis(500),
    accept_backoff: Duration::from_millis(5),
    drain_time: Duration::from_secs(60),
    status_interval: Duration::from_secs(5),
    min_retry_after: Duration::from_millis(100),
    body_budget: 0,
    max_clients: 0,
    max_rejected_clients: 0,
    max_replica_connections: 0,
    max_open_requests: 0,
    list_call_interval: Duration::ZERO,
    connect_timeout: Duration::ZERO,
    replica_idle_timeout: Duration::ZERO,
    deadline_slack: Duration::ZERO,
    lone_router_shutdown_grace: Duration::ZERO,
    forwarding_end_after_stop: Duration::ZERO,
};

impl Limits {
    /// The limits of a router that may use `memory_mb` MiB and `sockets` file descriptors.
    pub fn new(memory_mb: usize, sockets: usize, deployment: &Deployment) -> Limits {
        let nanos = Duration::from_nanos;
        // A sixteenth stays free for listeners, the endpoint list, peers and what the runtime opens.
        let usable = sockets.saturating_sub(sockets / 16 + 16).max(8);
        let max_rejected_clients = (usable / 16).max(1);
        let max_replica_connections = usable * 2 / 5;
        let longest_deadline =
            deployment.classes.iter().map(|class| nanos(class.deadline)).max().unwrap_or_default();
        let killed_after = longest_deadline.min(MAX_KILL_DEADLINE) + KILL_DELAY;
        Limits {
            body_budget: (memory_mb << 20) / 4,
            max_clients: usable.saturating_sub(max_replica_connections + max_rejected_clients).max(2),
            max_rejected_clients,
            max_replica_connections,
            max_open_requests: deployment.max_in_flight,
            list_call_interval: nanos(list_call_interval(
                deployment.decisions.router_count,
                0,
                MOVED_LIST_TIME_LEFT,
            )),
            connect_timeout: nanos(deployment.connect_timeout),
            replica_idle_timeout: nanos(deployment.replica_idle_timeout) * 7 / 10,
            deadline_slack: nanos(deployment.deadline_slack).min(MAX_DEADLINE_SLACK),
            lone_router_shutdown_grace: killed_after / 2,
            forwarding_end_after_stop: killed_after - KILL_MARGIN,
            ..FIXED
        }
    }
}
