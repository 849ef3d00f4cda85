//! Routers that are restarted together before a discovery service that has room for a part of them at a time, while a
//! replica drains: by the decisions of many routers, in virtual time and without sockets.
#![allow(missing_docs)]

mod common;

use std::collections::VecDeque;

use tallypin::api::{
    EndpointEntry, EndpointListMode, EndpointState, ListUpdate, Nanos, PeerId, ReplicaId, NOTIFICATION_LIMIT,
    SECOND,
};
use tallypin_router::core::{Core, Instruction};

const MS: Nanos = SECOND / 1000;
const STEP: Nanos = 2 * MS;
/// A replica may be sent to so long after a router counts as notified that it drains.
const GRACE: Nanos = SECOND / 2;
/// A call that would wait for longer is refused at once.
const PATIENCE: Nanos = 2 * SECOND;
/// All routers together would be answered in this time, one after the other.
const ALL_ANSWERED: Nanos = 6_800 * MS;
/// Refusing a call takes this part of the time that an answer takes.
const REFUSAL_SHARE: Nanos = 15;
/// Changes reach watches, and messages reach routers, after this.
const NOTICE_DELAY: Nanos = 300 * MS;
const MESSAGE_DELAY: Nanos = 10 * MS;
const DRAINED: ReplicaId = ReplicaId(1);

/// What happens.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    routers: u32,
    /// The share of messages between routers that are lost; `None`: there are none.
    message_loss: Option<f64>,
    seed: u64,
}

/// A router, and its life, which tells its calls from those of its life before.
struct Router {
    core: Core,
    life: u32,
    is_alive: bool,
    is_watching: bool,
}

/// The service: who is answered when.
struct Service {
    answer_time: Nanos,
    free_at: Nanos,
    queue: VecDeque<(Nanos, usize, u32)>,
    refused: usize,
}

/// A message between routers.
struct Message {
    arrives_at: Nanos,
    to: usize,
    from: PeerId,
    bytes: Vec<u8>,
}

struct World {
    scenario: Scenario,
    rng: fastrand::Rng,
    routers: Vec<Router>,
    service: Service,
    messages: VecDeque<Message>,
    changed_at: Nanos,
}

fn entries(drained: bool) -> Vec<EndpointEntry> {
    let entry = |replica| EndpointEntry { replica, state: EndpointState::Ready, ..EndpointEntry::default() };
    let mut entries = vec![entry(DRAINED), entry(ReplicaId(2)), entry(ReplicaId(3))];
    if drained {
        entries[0].state = EndpointState::Draining;
    }
    entries
}

impl World {
    fn new(scenario: Scenario) -> World {
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let changed_at = (500 + rng.u64(..4_500)) * MS;
        let service = Service {
            answer_time: ALL_ANSWERED / Nanos::from(scenario.routers),
            free_at: 0,
            queue: VecDeque::new(),
            refused: 0,
        };
        let (routers, messages) = (Vec::new(), VecDeque::new());
        let mut world = World { scenario, rng, routers, service, messages, changed_at };
        for index in 0..scenario.routers {
            let core = world.core(index, 0);
            world.routers.push(Router { core, life: 0, is_alive: true, is_watching: false });
        }
        world
    }

    /// A router that starts with the list of its configuration.
    fn core(&mut self, index: u32, now: Nanos) -> Core {
        let mut settings = common::config().deployment.decisions;
        (settings.own_index, settings.router_count) = (PeerId(index), self.scenario.routers);
        settings.list_mode = EndpointListMode::Polled { max_poll_interval: 10 * SECOND };
        settings.has_peers = self.scenario.message_loss.is_some();
        let mut core = Core::new(settings, self.rng.u64(..), 0).expect("settings to go by");
        core.endpoints_changed(now, ListUpdate::Cached, entries(false));
        core
    }

    /// Plays until the drained replica may no longer be sent to. Gives how many routers would still send there.
    fn play(&mut self) -> usize {
        let mut order: Vec<usize> = (0..self.routers.len()).collect();
        self.rng.shuffle(&mut order);
        order.truncate(self.routers.len() * 6 / 10);
        let killed_at = self.changed_at / STEP * STEP + self.rng.u64(..400) * STEP;
        let back_at = killed_at + self.rng.u64(100..700) * STEP;
        for now in (0..self.changed_at + NOTIFICATION_LIMIT + GRACE).step_by(STEP as usize) {
            if now == killed_at {
                order
                    .iter()
                    .for_each(|&i| (self.routers[i].is_alive, self.routers[i].is_watching) = (false, false));
            }
            if now == back_at {
                order.iter().for_each(|&i| self.restart(i, now));
            }
            if now / STEP == (self.changed_at + NOTICE_DELAY) / STEP {
                self.tell_watches(now);
            }
            self.deliver(now);
            for index in 0..self.routers.len() {
                self.run(index, now);
            }
            self.answer(now);
        }
        let end = self.changed_at + NOTIFICATION_LIMIT + GRACE;
        let sends = |router: &Router| router.core.view(end).iter().any(|seen| seen.replica == DRAINED);
        self.routers.iter().filter(|router| sends(router)).count()
    }

    fn restart(&mut self, index: usize, now: Nanos) {
        let core = self.core(index as u32, now);
        let life = self.routers[index].life + 1;
        self.routers[index] = Router { core, life, is_alive: true, is_watching: false };
    }

    fn tell_watches(&mut self, now: Nanos) {
        for router in self.routers.iter_mut().filter(|router| router.is_alive && router.is_watching) {
            router.core.endpoints_changed(now, ListUpdate::Delta, entries(true)[..1].to_vec());
        }
    }

    fn deliver(&mut self, now: Nanos) {
        while self.messages.front().is_some_and(|message| message.arrives_at <= now) {
            let Some(Message { to, from, bytes, .. }) = self.messages.pop_front() else { return };
            if self.routers[to].is_alive {
                self.routers[to].core.peer_message_received(now, from, bytes);
            }
        }
    }

    fn run(&mut self, index: usize, now: Nanos) {
        if !self.routers[index].is_alive {
            return;
        }
        self.routers[index].core.run_timers(now);
        for instruction in self.routers[index].core.take_instructions() {
            match instruction {
                Instruction::WatchEndpoints => self.call(index, now),
                Instruction::SendToPeer { peer, bytes } => {
                    let loss = self.scenario.message_loss.expect("messages are allowed");
                    if self.rng.f64() >= loss {
                        let (to, from) = (peer.0 as usize, PeerId(index as u32));
                        let message = Message { arrives_at: now + MESSAGE_DELAY, to, from, bytes };
                        self.messages.push_back(message);
                    }
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, index: usize, now: Nanos) {
        let Service { answer_time, free_at, queue, refused } = &mut self.service;
        let turn = (*free_at).max(now) + *answer_time;
        if turn - now <= PATIENCE {
            *free_at = turn;
            return queue.push_back((turn, index, self.routers[index].life));
        }
        let refusal = *answer_time / REFUSAL_SHARE;
        *free_at += refusal;
        queue.iter_mut().for_each(|(turn, ..)| *turn += refusal);
        *refused += 1;
        self.routers[index].core.endpoints_changed(now, ListUpdate::Failed, Vec::new());
    }

    fn answer(&mut self, now: Nanos) {
        while let Some(&(turn, index, life)) = self.service.queue.front() {
            if turn > now {
                return;
            }
            self.service.queue.pop_front();
            let router = &mut self.routers[index];
            if router.is_alive && router.life == life {
                router.is_watching = true;
                router.core.endpoints_changed(now, ListUpdate::Full, entries(now >= self.changed_at));
            }
        }
    }
}

/// Routers of so many deployments that would send to the drained replica too late, and refused calls.
fn late_routers(routers: u32, message_loss: Option<f64>, seeds: std::ops::Range<u64>) -> (usize, usize) {
    let (mut late, mut refused) = (0, 0);
    for seed in seeds {
        let mut world = World::new(Scenario { routers, message_loss, seed });
        late += world.play();
        refused += world.service.refused;
    }
    (late, refused)
}

/// The incident of 2026-12-03 in its own size and in others. Where calls alone leave routers without the list, as the
/// service cannot answer all of them in time, the messages between routers leave none.
#[test]
fn a_crowded_restart_leaves_no_router_that_sends_to_a_draining_replica() {
    let mut without_messages = 0;
    for routers in [6, 20, 44, 150] {
        let (late, refused) = late_routers(routers, None, 0..12);
        println!("{routers} routers, no messages: {late} late, {refused} calls refused, in 12 restarts");
        without_messages += late;
        for loss in [0.0, 0.5] {
            let (late, _) = late_routers(routers, Some(loss), 0..12);
            assert_eq!(late, 0, "{routers} routers, {loss} of the messages lost");
        }
    }
    assert!(without_messages > 0, "the service could answer all of them: nothing is shown");
}
