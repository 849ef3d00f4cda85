//! Connections that the attempts of one router take, by the number of replicas, at the same traffic.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use tallypin::api::*;

/// Between two requests: 35 a second.
const GAP: Nanos = SECOND / 35;
const REQUESTS: u64 = 35 * 30;
/// A first token comes between two requests; an answer takes so long.
const FIRST: Nanos = 20 * MS;
const ANSWER: Nanos = 420 * MS;
/// So many sessions are under way; each asks three times, 3 s apart.
const SESSIONS: u64 = 105;

/// Connections to replicas, as a router keeps them: one that rests for too long is closed.
struct Connections {
    idle_close: Nanos,
    /// Since when each rests, by replica; the latest last.
    resting: BTreeMap<ReplicaId, Vec<Nanos>>,
    made: usize,
}

impl Connections {
    fn take(&mut self, now: Nanos, replica: ReplicaId) {
        let resting = self.resting.entry(replica).or_default();
        resting.retain(|since| now < since + self.idle_close * 7 / 10);
        if resting.pop().is_none() {
            self.made += 1;
        }
    }

    fn give_back(&mut self, now: Nanos, replica: ReplicaId) {
        self.resting.entry(replica).or_default().push(now);
    }
}

/// An attempt that is out: when it was sent, of which request, to which replica.
type Out = (Nanos, RequestId, ReplicaId);

/// Ends what is answered by then.
fn end_until(world: &mut World, connections: &mut Connections, until: Nanos, out: &mut VecDeque<Out>) {
    while let Some(&(sent, id, replica)) = out.front().filter(|(sent, ..)| sent + ANSWER <= until) {
        out.pop_front();
        world.run_to(sent + ANSWER);
        world.end_attempt(id, 0, Outcome::Completed);
        connections.give_back(world.now, replica);
    }
}

/// Plays the traffic before so many replicas; the connections that were made.
fn connections_made(replicas: u64) -> usize {
    let set = Settings { tenants: vec![Tenant { quota_per_s: 1e6 }], ..settings(300, 0) };
    let mut connections = Connections { idle_close: set.idle_timeout, resting: BTreeMap::new(), made: 0 };
    let mut world = World::with_replicas(set, 7, replicas);
    let mut out = VecDeque::new();
    let begun = world.now;
    for n in 0..REQUESTS {
        let at = begun + n * GAP;
        end_until(&mut world, &mut connections, at, &mut out);
        world.run_to(at);
        let session = SessionKey(n % SESSIONS + n / (3 * SESSIONS) * SESSIONS);
        let beginning = (session.0 * session.0 % 30) + 1;
        let asked = Request { session: Some(session), prefix: Some(PrefixKey(beginning)), ..request(n) };
        let replica = World::sent_to(&world.submit(asked)).expect("there is room for all");
        connections.take(at, replica);
        out.push_back((at, RequestId(n), replica));
        world.now += FIRST;
        world.first_token(RequestId(n), 0);
    }
    connections.made
}

/// Guards against picks by a hair's difference among thousands, each of which opens a connection.
#[test]
fn sixteen_times_the_replicas_take_few_more_connections() {
    let usual = connections_made(100);
    for replicas in [1_600, 3_200] {
        let made = connections_made(replicas);
        println!("{replicas} replicas: {made} connections made, {usual} with 100");
        assert!(made <= usual * 2, "{replicas} replicas: {made} made, {usual} with 100");
    }
}
