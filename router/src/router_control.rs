//! What the fleet has this router do: it drains by the plan that balancers are told of, serves again, ends to start anew
//! with another file, and sends nothing new to model nodes that are out by order.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use tallypin::api::{EndpointState, Nanos};
use tallypin::name_hash;
use tallypin_consensus::release_monitor::AnswerCounts;
use tallypin_consensus::replica_drains::{ReplicaView, UnixMs};
use tallypin_health::plan::{Phase, Wish};
use tallypin_health::state::{Order, State};
use tallypin_membership::AdvertisedStatus;

use crate::checks::{signals, Board};
use crate::config::Config;
use crate::fleet::RouterControl;
use crate::host::Host;
use crate::installation::Installation;

/// A router with its board.
pub struct ProcessControl {
    /// Its clients and requests.
    pub host: Rc<Host>,
    /// What balancers are told.
    pub board: Rc<Board>,
    /// Its settings file, for names in errors.
    pub settings: PathBuf,
}

impl ProcessControl {
    fn request_phase(&self, wish: Wish, order: Order) -> bool {
        let can = self.board.want(wish, order);
        if can {
            signals::follow(&self.host, self.board.phase());
        }
        can
    }
}

impl RouterControl for ProcessControl {
    fn begin_drain(&self) -> bool {
        self.request_phase(Wish::Drain, Order::Drain)
    }

    fn resume_service(&self) -> bool {
        self.request_phase(Wish::Serve, Order::Ready)
    }

    fn is_drained(&self) -> bool {
        // Streams that were taken before are finished: the end itself waits for them as well.
        self.board.phase() == Phase::Drained && self.host.with(|core, _| core.open_requests()) == 0
    }

    fn shut_down(&self) {
        self.request_phase(Wish::End, Order::Drain);
    }

    fn advertised_status(&self) -> AdvertisedStatus {
        match (self.board.phase(), self.board.assessment().state) {
            (Phase::Closing, _) => AdvertisedStatus::Ending,
            // It has just started, or has lost all: whoever came would be turned away.
            (Phase::Serving, _) if self.host.replicas.ready() == 0 => AdvertisedStatus::Starting,
            (Phase::Serving, State::Up | State::Degraded) => AdvertisedStatus::Serving,
            _ => AdvertisedStatus::Draining,
        }
    }

    fn answer_counts(&self) -> AnswerCounts {
        let (t, late) = self.host.with(|core, _| (core.counts().clone(), core.late_streams()));
        AnswerCounts {
            answered: t.completed + t.interrupted + t.rejected + t.failed,
            failed: t.failed + t.interrupted,
            late,
            rejected: t.rejected - t.rejected_over_quota,
        }
    }

    fn replica_views(&self) -> Option<BTreeMap<String, ReplicaView>> {
        let host = &self.host;
        if !host.endpoint_list_is_fresh() {
            return None;
        }
        let word = |words: &[String], at: u32| words.get(at as usize).cloned().unwrap_or_default();
        let (rows, view) =
            host.with(|core, now| (core.listed_replicas().cloned().collect::<Vec<_>>(), core.view(now)));
        let seen: FxHashMap<_, bool> =
            view.into_iter().map(|s| (s.replica, s.is_warming_up || s.ejected_for > 0)).collect();
        let nodes = rows.into_iter().map(|row| {
            let out = row.state != EndpointState::Ready || seen.get(&row.replica) == Some(&true);
            let (zone, kind) =
                (word(&host.deployment.zones, row.zone.0), word(&host.deployment.kinds, row.kind));
            (host.replicas.named(row.replica).to_string(), ReplicaView { zone, kind, out_of_service: out })
        });
        Some(nodes.collect())
    }

    fn set_replica_overrides(&self, out: &[String], back: &[(String, UnixMs)]) {
        let out: Vec<_> = out.iter().map(|id| name_hash::replica_id(id)).collect();
        let ns = |ms: UnixMs| -> Nanos { ms.saturating_mul(1_000_000) };
        self.host.with(|core, now| {
            // A clock that is ahead of ours makes no node colder than one that starts now.
            let back: Vec<_> =
                back.iter().map(|(id, at)| (name_hash::replica_id(id), ns(*at).min(now))).collect();
            core.override_replicas(now, &out, &back);
        });
    }

    fn has_in_flight(&self, node: &str) -> bool {
        self.host.replicas.out(name_hash::replica_id(node)) > 0
    }

    fn validate_artifact(&self, what: &str, text: &[u8]) -> Result<(), String> {
        let words = || std::str::from_utf8(text).map_err(|_| "not text".to_string());
        match what {
            "settings" => {
                let text = words()?;
                let read = |path: &std::path::Path| match path == self.settings {
                    true => Ok(text.to_string()),
                    false => std::fs::read_to_string(path),
                };
                let read = Installation::read_by(&self.settings, &self.host.deployment, &read);
                read.map(drop).map_err(|p| p.short().next().unwrap_or_else(|| "not understood".into()))
            }
            "configuration" => Config::parse(words()?).map(drop).map_err(|e| e.to_string()),
            // Of a program nothing is known before it starts.
            _ => Ok(()),
        }
    }
}
