//! All limits on size, count and time of the router. They are set once at the start.

use std::time::Duration;

use tallypin::api::{list_call_interval, Nanos, NOTIFICATION_LIMIT};
use tallypin::deployment::Deployment;

/// The limits of one router.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum size of a message head, in bytes.
    pub max_head_size: usize,
    /// Maximum number of header fields of a message.
    pub max_fields: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_size: usize,
    /// Maximum size of a stream event and of a chunk, in bytes.
    pub max_event_size: usize,
    /// Maximum number of 1xx responses that a replica may send before the final response.
    pub max_informational_responses: usize,
    /// Time within which the head of a replica's response must be complete after its first byte.
    pub response_head_timeout: Duration,
    /// Maximum text size of an answer that is collected for a client that does not stream, in bytes.
    pub max_collected_answer_size: usize,
    /// Token limit of an answer whose client sets none, for replicas whose dialect requires one.
    pub default_max_tokens: u64,
    /// Maximum size of a message of the endpoint list, in bytes.
    pub max_list_message_size: usize,
    /// Maximum total memory of all requests, from their first bytes until no attempt needs them any more, in bytes.
    pub request_budget: usize,
    /// Maximum total memory of the parts of answers that have not been written to their clients, in bytes.
    pub answer_budget: usize,
    /// Maximum size of the requests that a client may send ahead while one is being answered, in bytes. Further ones are
    /// rejected.
    pub max_read_ahead: usize,
    /// Maximum total memory of the requests that clients have sent ahead, in bytes.
    pub read_ahead_budget: usize,
    /// Maximum number of client connections served at once; further ones are answered 503 and closed.
    pub max_clients: usize,
    /// Maximum number of further client connections that are accepted only to be answered 503.
    pub max_rejected_clients: usize,
    /// Maximum number of connections to replicas, including idle ones.
    pub max_replica_connections: usize,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
    /// Maximum number of response events queued for a slow client.
    pub response_queue_length: usize,
    /// Time within which a connection to a replica must be established; otherwise it counts as refused.
    pub connect_timeout: Duration,
    /// Time after which an idle connection to a replica is closed, well before the replica closes it.
    pub replica_idle_timeout: Duration,
    /// Minimum idle time before a connection to a replica is reused. A faulty second response to the previous request arrives
    /// within a few milliseconds.
    pub replica_reuse_delay: Duration,
    /// Maximum idle time of a client connection between two requests.
    pub client_idle_timeout: Duration,
    /// Maximum idle time of a client connection before its first request.
    pub first_request_timeout: Duration,
    /// Idle time before the first request after which a client connection is the first to be closed at the limit of clients.
    pub client_eviction_idle_time: Duration,
    /// Time within which a request must be complete after its first byte.
    pub request_read_timeout: Duration,
    /// Number of request identifiers that are remembered after their requests have ended.
    pub max_remembered_requests: usize,
    /// Number of consecutive immediate retries after rejections that are read without a pause.
    pub max_immediate_retries: u32,
    /// Time after a rejection within which a retry counts as immediate.
    pub immediate_retry_window: Duration,
    /// Pause before the next request on a connection is read after too many immediate retries.
    pub immediate_retry_pause: Duration,
    /// Time without write progress after which a client counts as disconnected.
    pub client_write_timeout: Duration,
    /// The same while other answers wait for the memory that slow clients hold.
    pub client_write_timeout_in_shortage: Duration,
    /// Time without an event after which a stream that has begun counts as broken.
    pub stream_silence_timeout: Duration,
    /// Timeout of a health check.
    pub health_check_timeout: Duration,
    /// Time after a client's deadline at which the core fails a request that the decision module has not answered.
    pub deadline_slack: Duration,
    /// Time without a message or keep-alive after which a watch of the endpoint list is lost. A keep-alive is sent every 2 s.
    /// Missed changes count as notified 6 s after the watch fell silent, so this timeout and another call must fit into 6 s.
    pub watch_silence_timeout: Duration,
    /// Time without a message or keep-alive after which the endpoint list is reported as silent.
    pub list_silence_limit: Duration,
    /// Time without a response after which a call for the endpoint list is abandoned. The discovery service may hold a call for
    /// 2 s before it fails it.
    pub list_response_timeout: Duration,
    /// Maximum time without further data in the middle of a message of the endpoint list. A message that stalls is not resumed,
    /// and several calls must fit into the 6 s until missed changes count as notified.
    pub list_message_stall_timeout: Duration,
    /// Interval between calls for the endpoint list at a new address.
    pub list_call_interval: Duration,
    /// Time without a response after which a local agent counts as silent. An agent holds the list, so it responds immediately.
    pub agent_response_timeout: Duration,
    /// The backoff between calls to a local agent. It is short, as the agent counts as notified once it is reachable.
    pub agent_backoff: Duration,
    /// Time after the stop signal in which clients may still connect.
    pub shutdown_grace: Duration,
    /// Time after the stop signal in which clients are served on their connections if there is no other router.
    pub lone_router_shutdown_grace: Duration,
    /// Time without a message after which another router counts as unavailable to clients.
    pub peer_silence_timeout: Duration,
    /// Requests accepted later than this after the stop signal must have ended before the process is killed.
    pub late_arrival_after_stop: Duration,
    /// Time after the stop signal at which requests without a response are answered and forwarding ends. The process is killed
    /// soon afterwards.
    pub forwarding_end_after_stop: Duration,
    /// Time for which idle connections are still read before they are closed, as a request may be in transit.
    pub final_read_duration: Duration,
    /// Maximum time for which a closing connection is still read, so that its client receives the complete answer.
    pub close_linger: Duration,
    /// The pause of the accept loop after an error, such as a lack of file descriptors.
    pub accept_backoff: Duration,
    /// Maximum time for which accepted requests may continue once the listeners have closed.
    pub drain_time: Duration,
    /// Interval of the status lines in the log.
    pub status_interval: Duration,
    /// Minimum `Retry-After` of a rejection.
    pub min_retry_after: Duration,
}

/// Minimum time from the stop signal to the kill of the process, in addition to the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Maximum request deadline that the kill of the process waits for.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Time before the kill at which forwarding ends: the router may be delayed by 0.15 s before it sees the stop signal and by
/// 0.15 s before it writes, and 0.1 s are a reserve.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Assumed time until the router counts as notified, in nanoseconds, for the interval of calls to a list at a new address. It
/// is short because it is unknown how long the former address remains in service.
const MOVED_LIST_NOTIFICATION_TIME_NS: Nanos = NOTIFICATION_LIMIT / 4;
/// Maximum deadline slack, even if the deployment permits more.
const MAX_DEADLINE_SLACK: Duration = Duration::from_millis(10);

/// The limits that depend on neither the machine nor the deployment. The others are zero here and are set by
/// [`Limits::new`].
const FIXED: Limits = Limits {
    max_head_size: 16 << 10,
    max_fields: 64,
    max_body_size: 256 << 10,
    max_event_size: 256 << 10,
    max_informational_responses: 8,
    response_head_timeout: Duration::from_millis(500),
    max_collected_answer_size: 1 << 20,
    default_max_tokens: 4096,
    max_list_message_size: 4 << 20,
    max_read_ahead: 1 << 20,
    response_queue_length: 2,
    replica_reuse_delay: Duration::from_millis(20),
    client_idle_timeout: Duration::from_secs(20),
    first_request_timeout: Duration::from_millis(2000),
    client_eviction_idle_time: Duration::from_millis(300),
    request_read_timeout: Duration::from_millis(2500),
    max_remembered_requests: 16 << 10,
    max_immediate_retries: 8,
    immediate_retry_window: Duration::from_millis(20),
    immediate_retry_pause: Duration::from_millis(50),
    client_write_timeout: Duration::from_secs(30),
    client_write_timeout_in_shortage: Duration::from_secs(1),
    stream_silence_timeout: Duration::from_secs(4),
    health_check_timeout: Duration::from_millis(500),
    watch_silence_timeout: Duration::from_secs(3),
    list_silence_limit: Duration::from_secs(4),
    list_response_timeout: Duration::from_millis(2200),
    list_message_stall_timeout: Duration::from_millis(1000),
    agent_response_timeout: Duration::from_millis(250),
    agent_backoff: Duration::from_millis(200),
    shutdown_grace: Duration::from_millis(500),
    peer_silence_timeout: Duration::from_secs(2),
    // 0.7 s by the protocol, less a delay of 0.15 s before the router sees the signal, less a reserve of 0.05 s.
    late_arrival_after_stop: Duration::from_millis(500),
    final_read_duration: Duration::from_millis(20),
    close_linger: Duration::from_millis(500),
    accept_backoff: Duration::from_millis(5),
    drain_time: Duration::from_secs(60),
    status_interval: Duration::from_secs(5),
    min_retry_after: Duration::from_millis(100),
    request_budget: 0,
    answer_budget: 0,
    read_ahead_budget: 0,
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
        // One sixteenth of the descriptors is reserved for listeners, the endpoint list, peers and the runtime.
        let usable = sockets.saturating_sub(sockets / 16 + 16).max(8);
        let max_rejected_clients = (usable / 16).max(1);
        let max_replica_connections = usable * 2 / 5;
        let longest_deadline =
            deployment.classes.iter().map(|class| nanos(class.deadline)).max().unwrap_or_default();
        let time_to_kill = longest_deadline.min(MAX_KILL_DEADLINE) + KILL_DELAY;
        Limits {
            request_budget: (memory_mb << 20) / 4,
            read_ahead_budget: (memory_mb << 20) / 16,
            answer_budget: (memory_mb << 20) / 16,
            max_clients: usable.saturating_sub(max_replica_connections + max_rejected_clients).max(2),
            max_rejected_clients,
            max_replica_connections,
            max_open_requests: deployment.max_in_flight,
            list_call_interval: nanos(list_call_interval(
                deployment.decision_settings.router_count,
                0,
                MOVED_LIST_NOTIFICATION_TIME_NS,
            )),
            connect_timeout: nanos(deployment.connect_timeout),
            replica_idle_timeout: nanos(deployment.replica_idle_timeout) * 7 / 10,
            deadline_slack: nanos(deployment.deadline_slack).min(MAX_DEADLINE_SLACK),
            lone_router_shutdown_grace: time_to_kill / 2,
            forwarding_end_after_stop: time_to_kill - KILL_MARGIN,
            ..FIXED
        }
    }
}
