//! Every size, count and time that the router holds itself to, filled once at start and handed down.

use std::time::Duration;

use tallypin::api::MAX_LIST_POLL_DELAY;
use tallypin::deployment::Deployment;

/// The limits of one router.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The largest head of a message, bytes.
    pub head: usize,
    /// The most header fields of a message.
    pub fields: usize,
    /// The largest body of a request, bytes.
    pub body: usize,
    /// The largest event of a stream, and the largest chunk, bytes.
    pub event: usize,
    /// The most answers that a model node sends before the answer proper.
    pub informational: usize,
    /// The head of a model node's answer must be whole so long after its first byte.
    pub answer_head: Duration,
    /// The longest text of an answer that a client wants whole, bytes.
    pub whole_answer: usize,
    /// The most tokens of an answer whose client names no bound, where the node wants one.
    pub answer_tokens: u64,
    /// The largest line of the node list, bytes.
    pub list_line: usize,
    /// What bodies may take together, bytes.
    pub bodies: usize,
    /// Client connections served at once; more are answered 503 and closed.
    pub clients: usize,
    /// Further client connections that are taken only to be refused.
    pub clients_refused: usize,
    /// Connections to model nodes, idle ones included.
    pub node_connections: usize,
    /// Open requests.
    pub open: usize,
    /// Pieces of a stream that wait for a slow client.
    pub pieces: usize,
    /// A connection to a model node is up by then, or counts as refused.
    pub connect: Duration,
    /// An idle connection to a model node is given up after this, well before the node does so.
    pub idle_node: Duration,
    /// And is not used again before this: an answer of more than its request comes within some milliseconds.
    pub node_rest: Duration,
    /// A client connection may stand idle so long between two requests.
    pub idle_client: Duration,
    /// And so long before the first one.
    pub first: Duration,
    /// One that has asked nothing for so long is the first to close when room is needed.
    pub silent_client: Duration,
    /// A request must be whole so long after its first byte.
    pub read: Duration,
    /// Names of requests that are remembered when these are over.
    pub late_names: usize,
    /// So many refusals in a row, each asked against again at once, are answered without a pause.
    pub patience: u32,
    /// Asked again within this after a refusal is at once.
    pub at_once: Duration,
    /// The pause after that, before the next request on the connection is read.
    pub pause: Duration,
    /// Whether a client that has sent much ahead has left is looked at so often.
    pub end_look: Duration,
    /// A client that takes nothing for so long has left.
    pub write: Duration,
    /// A begun stream without an event for so long is broken.
    pub silence: Duration,
    /// A probe is given up after this.
    pub probe: Duration,
    /// An answer that the decision module owes is given this long after the client's deadline at the latest.
    pub slack: Duration,
    /// A watch of the node list without a line for so long is lost.
    pub list_silence: Duration,
    /// A call for the node list that is not answered within this is given up: it fails calls that waited 2 s.
    pub list_answer: Duration,
    /// After a failure at a new place it is asked again so soon,
    pub list_again: Duration,
    /// and after further ones so late at the most: with a call that is given up, well short of the 6 s after which what
    /// the list has to tell counts as told.
    pub list_again_most: Duration,
    /// An agent that has lists pushed to it answers at once: one that has not within this is silent.
    pub agent_answer: Duration,
    /// And is asked again so soon, as what it gets when it hears again counts as told at that moment.
    pub agent_again: Duration,
    /// Clients still come for so long after the order to stop.
    pub grace: Duration,
    /// And are served on the connections they have for so long if there is no other router to go to.
    pub grace_alone: Duration,
    /// Another router not heard for so long is none to go to.
    pub peer_heard: Duration,
    /// What was taken later than this after the order to stop has to have its end before the kill.
    pub owed_after: Duration,
    /// What has not begun so long after that order is answered, and nothing more is sent to model nodes: the kill is near.
    pub last_word: Duration,
    /// Then connections that carry nothing are read for so long once more: a request may have crossed.
    pub last_look: Duration,
    /// A connection that was shut down is read for so long at the most, so that its client gets all of the answer.
    pub linger: Duration,
    /// The accept loop waits so long after an error, such as want of descriptors.
    pub accept_again: Duration,
    /// After that, what was taken may go on for so long.
    pub finish: Duration,
    /// The state is told to the log so often.
    pub status: Duration,
    /// The least advice to a refused client on when to come back.
    pub come_back: Duration,
}

impl Limits {
    /// Limits that fit into so much memory and so many descriptors, at a deployment.
    pub fn new(memory_mb: usize, sockets: usize, of: &Deployment) -> Limits {
        let nanos = Duration::from_nanos;
        // A sixteenth stays free for listeners, the node list, peers and what the runtime opens.
        let usable = sockets.saturating_sub(sockets / 16 + 16).max(8);
        let refused = (usable / 16).max(1);
        let node_connections = usable * 2 / 5;
        // The kill comes no sooner than this after the order to stop.
        let longest = of.classes.iter().map(|c| nanos(c.deadline)).max().unwrap_or_default();
        let kill = longest.min(Duration::from_secs(3)) + Duration::from_millis(700);
        Limits {
            head: 16 << 10,
            fields: 64,
            body: 256 << 10,
            event: 256 << 10,
            informational: 8,
            answer_head: Duration::from_millis(500),
            whole_answer: 1 << 20,
            answer_tokens: 4096,
            list_line: 4 << 20,
            bodies: (memory_mb << 20) / 4,
            clients: usable.saturating_sub(node_connections + refused).max(2),
            clients_refused: refused,
            node_connections,
            open: of.max_in_flight,
            pieces: 8,
            connect: nanos(of.connect_timeout),
            idle_node: nanos(of.replica_idle_timeout) * 7 / 10,
            node_rest: Duration::from_millis(20),
            idle_client: Duration::from_secs(20),
            first: Duration::from_millis(2000),
            silent_client: Duration::from_millis(300),
            read: Duration::from_millis(2500),
            late_names: 1024,
            patience: 8,
            at_once: Duration::from_millis(20),
            pause: Duration::from_millis(50),
            end_look: Duration::from_millis(20),
            write: Duration::from_secs(30),
            silence: Duration::from_secs(4),
            probe: Duration::from_millis(500),
            slack: nanos(of.deadline_slack).min(Duration::from_millis(10)),
            list_silence: Duration::from_secs(4),
            list_answer: Duration::from_millis(2200),
            list_again: Duration::from_millis(300),
            list_again_most: nanos(MAX_LIST_POLL_DELAY),
            agent_answer: Duration::from_millis(250),
            agent_again: Duration::from_millis(200),
            grace: Duration::from_millis(500),
            grace_alone: kill / 2,
            peer_heard: Duration::from_secs(2),
            // 0.7 s by the protocol, less 0.15 s that the router may be held up before it sees the order, and 0.05 s.
            owed_after: Duration::from_millis(500),
            // Held up before it sees the order and again before it writes, 0.15 s each, it still is in time.
            last_word: kill - Duration::from_millis(400),
            last_look: Duration::from_millis(20),
            linger: Duration::from_millis(500),
            accept_again: Duration::from_millis(5),
            finish: Duration::from_secs(60),
            status: Duration::from_secs(5),
            come_back: Duration::from_millis(100),
        }
    }
}
