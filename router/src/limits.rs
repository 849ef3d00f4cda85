//! Every size, count and time that the router holds itself to, filled once at start and handed down.

use std::time::Duration;

use tallypin::api::MAX_LIST_POLL_DELAY;
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
    /// The most answers that a model node sends before the answer proper.
    pub max_informational_responses: usize,
    /// The head of a model node's answer must be whole so long after its first byte.
    pub response_head_timeout: Duration,
    /// The longest text of an answer that a client wants whole, bytes.
    pub max_collected_answer_size: usize,
    /// The most tokens of an answer whose client names no bound, where the node wants one.
    pub default_max_tokens: u64,
    /// The largest line of the node list, bytes.
    pub max_list_line_size: usize,
    /// What bodies may take together, bytes.
    pub body_budget: usize,
    /// Client connections served at once; more are answered 503 and closed.
    pub max_clients: usize,
    /// Further client connections that are taken only to be refused.
    pub max_rejected_clients: usize,
    /// Connections to model nodes, idle ones included.
    pub max_replica_connections: usize,
    /// Open requests.
    pub max_open_requests: usize,
    /// Pieces of a stream that wait for a slow client.
    pub response_queue_length: usize,
    /// A connection to a model node is up by then, or counts as refused.
    pub connect_timeout: Duration,
    /// An idle connection to a model node is given up after this, well before the node does so.
    pub replica_idle_timeout: Duration,
    /// And is not used again before this: an answer of more than its request comes within some milliseconds.
    pub replica_reuse_delay: Duration,
    /// A client connection may stand idle so long between two requests.
    pub client_idle_timeout: Duration,
    /// And so long before the first one.
    pub first_request_timeout: Duration,
    /// One that has asked nothing for so long is the first to close when room is needed.
    pub client_eviction_idle_time: Duration,
    /// A request must be whole so long after its first byte.
    pub request_read_timeout: Duration,
    /// Names of requests that are remembered when these are over.
    pub max_remembered_requests: usize,
    /// So many refusals in a row, each asked against again at once, are answered without a pause.
    pub max_immediate_retries: u32,
    /// Asked again within this after a refusal is at once.
    pub immediate_retry_window: Duration,
    /// The pause after that, before the next request on the connection is read.
    pub immediate_retry_pause: Duration,
    /// Whether a client that has sent much ahead has left is looked at so often.
    pub client_departure_check_interval: Duration,
    /// A client that takes nothing for so long has left.
    pub client_write_timeout: Duration,
    /// A begun stream without an event for so long is broken.
    pub stream_silence_timeout: Duration,
    /// A probe is given up after this.
    pub health_check_timeout: Duration,
    /// An answer that the decision module owes is given this long after the client's deadline at the latest.
    pub deadline_slack: Duration,
    /// A watch of the node list without a line for so long is lost.
    pub watch_silence_timeout: Duration,
    /// A call for the node list that is not answered within this is given up: it fails calls that waited 2 s.
    pub list_response_timeout: Duration,
    /// After a failure at a new place it is asked again so soon,
    pub min_list_backoff: Duration,
    /// and after further ones so late at the most: with a call that is given up, well short of the 6 s after which what
    /// the list has to tell counts as told.
    pub max_list_backoff: Duration,
    /// An agent that has lists pushed to it answers at once: one that has not within this is silent.
    pub agent_response_timeout: Duration,
    /// And is asked again so soon, as what it gets when it hears again counts as told at that moment.
    pub agent_backoff: Duration,
    /// Clients still come for so long after the order to stop.
    pub shutdown_grace: Duration,
    /// And are served on the connections they have for so long if there is no other router to go to.
    pub lone_router_shutdown_grace: Duration,
    /// Another router not heard for so long is none to go to.
    pub peer_silence_timeout: Duration,
    /// What was taken later than this after the order to stop has to have its end before the kill.
    pub late_arrival_after_stop: Duration,
    /// What has not begun so long after that order is answered, and nothing more is sent to model nodes: the kill is near.
    pub forwarding_end_after_stop: Duration,
    /// Then connections that carry nothing are read for so long once more: a request may have crossed.
    pub final_read_time: Duration,
    /// A connection that was shut down is read for so long at the most, so that its client gets all of the answer.
    pub close_linger: Duration,
    /// The accept loop waits so long after an error, such as want of descriptors.
    pub accept_backoff: Duration,
    /// After that, what was taken may go on for so long.
    pub drain_time: Duration,
    /// The state is told to the log so often.
    pub status_interval: Duration,
    /// The least advice to a refused client on when to come back.
    pub min_retry_after: Duration,
}

impl Limits {
    /// Limits that fit into so much memory and so many descriptors, at a deployment.
    pub fn new(memory_mb: usize, sockets: usize, of: &Deployment) -> Limits {
        let nanos = Duration::from_nanos;
        // A sixteenth stays free for listeners, the node list, peers and what the runtime opens.
        let usable = sockets.saturating_sub(sockets / 16 + 16).max(8);
        let max_rejected_clients = (usable / 16).max(1);
        let max_replica_connections = usable * 2 / 5;
        // The kill comes no sooner than this after the order to stop.
        let longest = of.classes.iter().map(|c| nanos(c.deadline)).max().unwrap_or_default();
        let kill = longest.min(Duration::from_secs(3)) + Duration::from_millis(700);
        Limits {
            max_head_size: 16 << 10,
            max_fields: 64,
            max_body_size: 256 << 10,
            max_event_size: 256 << 10,
            max_informational_responses: 8,
            response_head_timeout: Duration::from_millis(500),
            max_collected_answer_size: 1 << 20,
            default_max_tokens: 4096,
            max_list_line_size: 4 << 20,
            body_budget: (memory_mb << 20) / 4,
            max_clients: usable.saturating_sub(max_replica_connections + max_rejected_clients).max(2),
            max_rejected_clients,
            max_replica_connections,
            max_open_requests: of.max_in_flight,
            response_queue_length: 8,
            connect_timeout: nanos(of.connect_timeout),
            replica_idle_timeout: nanos(of.replica_idle_timeout) * 7 / 10,
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
            deadline_slack: nanos(of.deadline_slack).min(Duration::from_millis(10)),
            watch_silence_timeout: Duration::from_secs(4),
            list_response_timeout: Duration::from_millis(2200),
            min_list_backoff: Duration::from_millis(300),
            max_list_backoff: nanos(MAX_LIST_POLL_DELAY),
            agent_response_timeout: Duration::from_millis(250),
            agent_backoff: Duration::from_millis(200),
            shutdown_grace: Duration::from_millis(500),
            lone_router_shutdown_grace: kill / 2,
            peer_silence_timeout: Duration::from_secs(2),
            // 0.7 s by the protocol, less 0.15 s that the router may be held up before it sees the order, and 0.05 s.
            late_arrival_after_stop: Duration::from_millis(500),
            // Held up before it sees the order and again before it writes, 0.15 s each, it still is in time.
            forwarding_end_after_stop: kill - Duration::from_millis(400),
            final_read_time: Duration::from_millis(20),
            close_linger: Duration::from_millis(500),
            accept_backoff: Duration::from_millis(5),
            drain_time: Duration::from_secs(60),
            status_interval: Duration::from_secs(5),
            min_retry_after: Duration::from_millis(100),
        }
    }
}
