//! Number of connections that one router opens at the same traffic, by the number of replicas.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use tallypin::api::*;

/// Time between two requests, of which there are 35 a second.
const REQUEST_INTERVAL: Nanos = SECOND / 35;
const REQUESTS: u64 = 35 * 30;
/// Time to the first token, less than the time between two requests.
const FIRST_TOKEN_TIME: Nanos = 20 * MS;
/// Time after its send at which an attempt ends.
const ANSWER_TIME: Nanos = 420 * MS;
/// Number of concurrent sessions. Each sends three requests, 3 s apart.
const SESSIONS: u64 = 105;

/// Connection pool of a router, which closes connections that have been idle for too long.
struct ConnectionPool {
    idle_timeout: Nanos,
    /// Times since which the connections to each replica have been idle, in ascending order.
    idle_since: BTreeMap<ReplicaId, Vec<Nanos>>,
    opened: usize,
}

impl ConnectionPool {
    fn acquire(&mut self, now: Nanos, replica: ReplicaId) {
        let idle_since = self.idle_since.entry(replica).or_default();
        idle_since.retain(|since| now < since + self.idle_timeout * 7 / 10);
        if idle_since.pop().is_none() {
            self.opened += 1;
        }
    }

    fn release(&mut self, now: Nanos, replica: ReplicaId) {
        self.idle_since.entry(replica).or_default().push(now);
    }
}

/// An attempt in flight: time of its send, request and replica.
type OpenAttempt = (Nanos, RequestId, ReplicaId);

/// Ends the attempts whose answer is complete at `until`.
fn end_attempts_until(
    router: &mut TestRouter,
    pool: &mut ConnectionPool,
    until: Nanos,
    open_attempts: &mut VecDeque<OpenAttempt>,
) {
    while let Some(&(sent_at, id, replica)) =
        open_attempts.front().filter(|(sent_at, ..)| sent_at + ANSWER_TIME <= until)
    {
        open_attempts.pop_front();
        router.run_to(sent_at + ANSWER_TIME);
        router.end_attempt(id, 0, Outcome::Completed);
        pool.release(router.now, replica);
    }
}

/// Simulates the traffic with a given number of replicas, and returns the number of connections that were opened.
fn connections_opened(replicas: u64) -> usize {
    let settings = Settings { tenants: vec![Tenant { quota_per_s: 1e6 }], ..test_settings(300, 0) };
    let mut pool =
        ConnectionPool { idle_timeout: settings.idle_timeout, idle_since: BTreeMap::new(), opened: 0 };
    let mut router = TestRouter::with_replicas(settings, 7, replicas);
    let mut open_attempts = VecDeque::new();
    let start = router.now;
    for n in 0..REQUESTS {
        let now = start + n * REQUEST_INTERVAL;
        end_attempts_until(&mut router, &mut pool, now, &mut open_attempts);
        router.run_to(now);
        let session = SessionKey(n % SESSIONS + n / (3 * SESSIONS) * SESSIONS);
        let prefix = (session.0 * session.0 % 30) + 1;
        let new_request = Request { session: Some(session), prefix: Some(PrefixKey(prefix)), ..request(n) };
        let replica = TestRouter::sent_to(&router.submit(new_request))
            .expect("the fleet has capacity for every request");
        pool.acquire(now, replica);
        open_attempts.push_back((now, RequestId(n), replica));
        router.now += FIRST_TOKEN_TIME;
        router.first_token(RequestId(n), 0);
    }
    pool.opened
}

/// Among thousands of replicas many rank almost equal. Guards against choosing another one for each request, which opens a
/// connection each time.
#[test]
fn many_more_replicas_at_the_same_traffic_take_few_more_connections() {
    let opened_with_100 = connections_opened(100);
    for replicas in [1_600, 3_200] {
        let opened = connections_opened(replicas);
        println!("{replicas} replicas: {opened} connections opened, {opened_with_100} with 100");
        assert!(
            opened <= opened_with_100 * 2,
            "{replicas} replicas: {opened} connections opened, {opened_with_100} with 100"
        );
    }
}
