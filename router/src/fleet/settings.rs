//! Section `fleet` of the settings: the routers of the fleet, the council, and how many may be out of service.

mod limits;
mod schema;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tallypin_consensus::drain_lease::LeaseTiming;
use tallypin_consensus::fleet_state::DrainLimits;
use tallypin_consensus::register::MAX_MEMBERS;
use tallypin_consensus::replica_drains::{Limit, ReplicaLimits};
use tallypin_membership::{HeartbeatTiming, RouterIndex};
use tallypin_settings_schema::{nearest, Checked, Entry, Problem, Value};

use super::release_files::ReleaseFile;
use limits::{parse_replica_limit, parse_router_limit, WholeGroup};
pub use schema::SECTION;

/// The most routers of a fleet: what the size of messages and the council's work are sized for.
const MAX_ROUTERS: usize = 1000;
/// Descriptors beside the connections of the routers: the listener, and connections that are rejected.
const SPARE_DESCRIPTORS: usize = 4;
/// Connections between a router and a member of the council: for commands, and for other calls.
const CONNECTIONS_PER_MEMBER: usize = 2;
/// Heartbeats that must fit in the silence limit: one that is lost is no silence.
const HEARTBEATS_PER_SILENCE: u32 = 3;
/// Clocks of two routers may drift apart by one part in so many of a lease: far above what any clock does.
const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// A router of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetRouter {
    /// Its name.
    pub name: String,
    /// Where it listens for the others.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// What the section says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// The fleet's name.
    pub name: String,
    /// This router's index in `routers`.
    pub own_index: RouterIndex,
    /// The file with the keys.
    pub key_file: PathBuf,
    /// All routers, by index.
    pub routers: Vec<FleetRouter>,
    /// The members of the council.
    pub council: Vec<RouterIndex>,
    /// How many routers and replicas may be out of service.
    pub limits: DrainLimits,
    /// Where a member of the council stores the fleet state.
    pub state_file: Option<PathBuf>,
    /// The files that a release may change.
    pub release_files: Vec<ReleaseFile>,
    /// The heartbeat interval, and the silence after which a router counts as out of service.
    pub heartbeat: HeartbeatTiming,
    /// The timing of the drain lease.
    pub lease: LeaseTiming,
    /// A member of the council replies within this, or counts as unreachable.
    pub reply_timeout: Duration,
    /// An order is agreed on within this, or fails.
    pub order_timeout: Duration,
}

impl FleetSettings {
    /// Reads the section. What is wrong goes to `problems`, with its line; the result is then not to be used.
    pub fn from_section(section: &Checked, problems: &mut Vec<Problem>) -> FleetSettings {
        let mut reader = Reader { section, routers: section.all("router").map(router).collect(), problems };
        reader.check_routers();
        let own_index = section.entry("me").map_or(0, |entry| reader.router_index(entry, 0));
        let council = reader.council();
        let limits = reader.limits(council.clone());
        let release_files = reader.release_files();
        let heartbeat = reader.heartbeat();
        FleetSettings {
            name: section.text("name").into(),
            own_index,
            key_file: section.path("key").map(PathBuf::from).unwrap_or_default(),
            routers: reader.routers,
            council,
            limits,
            state_file: section.path("store").map(PathBuf::from),
            release_files,
            heartbeat,
            lease: LeaseTiming {
                duration: section.duration("lease"),
                drift_divisor: CLOCK_DRIFT_DIVISOR,
                retry_after: heartbeat.interval,
            },
            reply_timeout: section.duration("answer"),
            order_timeout: section.duration("within"),
        }
    }

    /// The file descriptors that the fleet needs here: connections to all members of the council, and, of a member, those
    /// of all routers.
    pub fn descriptors(&self) -> usize {
        let accepted = match self.own_member_index() {
            Some(_) => CONNECTIONS_PER_MEMBER * self.routers.len(),
            None => 0,
        };
        CONNECTIONS_PER_MEMBER * self.council.len() + accepted + SPARE_DESCRIPTORS
    }

    /// A router's index, by its name.
    pub fn index_of(&self, name: &str) -> Option<RouterIndex> {
        index_of(&self.routers, name)
    }

    /// This router's index in the council; `None`: it is no member.
    pub fn own_member_index(&self) -> Option<usize> {
        self.council.iter().position(|router| *router == self.own_index)
    }

    /// Where this router stores the fleet state; `None`: it is no member, or the settings name no file.
    pub fn own_state_file(&self) -> Option<PathBuf> {
        self.state_file.clone().filter(|_| self.own_member_index().is_some())
    }
}

fn index_of(routers: &[FleetRouter], name: &str) -> Option<RouterIndex> {
    routers.iter().position(|router| router.name == name).map(|index| index as RouterIndex)
}

fn router(entry: &Entry) -> FleetRouter {
    let address = match entry.values.get(1) {
        Some(Value::Address(address)) => *address,
        // Reported already as a problem of the entry.
        _ => ([127, 0, 0, 1], 0).into(),
    };
    FleetRouter { name: entry.text(0).into(), address, zone: entry.text(2).into() }
}

fn path(entry: &Entry, word: usize) -> PathBuf {
    match entry.values.get(word) {
        Some(Value::Path(path)) => Path::to_path_buf(path),
        // Reported already as a problem of the entry.
        _ => PathBuf::new(),
    }
}

/// Reads the section part by part.
struct Reader<'a> {
    section: &'a Checked,
    routers: Vec<FleetRouter>,
    problems: &'a mut Vec<Problem>,
}

impl Reader<'_> {
    /// A problem of the whole section.
    fn problem(&mut self, what: impl Into<String>) {
        self.problems.push(Problem::new(self.section.place, what.into()));
    }

    fn check_routers(&mut self) {
        if self.routers.len() > MAX_ROUTERS {
            self.problem(format!("a fleet has {MAX_ROUTERS} routers at the most"));
        }
        let addresses: BTreeSet<SocketAddr> = self.routers.iter().map(|router| router.address).collect();
        if addresses.len() < self.routers.len() {
            self.problem("two routers of the fleet have one address");
        }
    }

    /// The index of the router that a word names; 0 if there is none, with a problem.
    fn router_index(&mut self, entry: &Entry, word: usize) -> RouterIndex {
        let name = entry.text(word);
        index_of(&self.routers, name).unwrap_or_else(|| {
            let mut problem =
                Problem::new(entry.place(word + 1), format!("the fleet has no router `{name}`"));
            let near = nearest(name, self.routers.iter().map(|router| router.name.as_str()));
            problem.help = near.map(|near| format!("did you mean `{near}`?"));
            self.problems.push(problem);
            0
        })
    }

    fn council(&mut self) -> Vec<RouterIndex> {
        let entry = self.section.entry("council");
        let council: Vec<RouterIndex> = entry.map_or(vec![], |entry| {
            (0..entry.values.len()).map(|word| self.router_index(entry, word)).collect()
        });
        let distinct: BTreeSet<RouterIndex> = council.iter().copied().collect();
        if council.len() > MAX_MEMBERS || council.len() % 2 == 0 || distinct.len() < council.len() {
            self.problem("a council has 1, 3, 5 or 7 members, each once");
        }
        council
    }

    fn limits(&mut self, council: Vec<RouterIndex>) -> DrainLimits {
        let mut zones: Vec<String> = self.routers.iter().map(|router| router.zone.clone()).collect();
        zones.sort_unstable();
        let smallest_zone = zones.chunk_by(|a, b| a == b).map(<[_]>::len).min().unwrap_or(0);
        zones.dedup();
        let zone = |router: &FleetRouter| zones.iter().position(|z| *z == router.zone).unwrap_or(0) as u16;
        let (names, zones) = (
            self.routers.iter().map(|router| router.name.clone()).collect(),
            self.routers.iter().map(zone).collect(),
        );
        let total = self.router_limit("out-most", self.routers.len(), WholeGroup::MustNotLeave);
        let per_zone = self.router_limit("out-zone", smallest_zone, WholeGroup::MayLeave);
        DrainLimits { names, zones, total, per_zone, council, replicas: self.replica_limits() }
    }

    fn router_limit(&mut self, name: &str, group_size: usize, whole_group: WholeGroup) -> usize {
        let Some(entry) = self.section.entry(name) else { return 0 };
        parse_router_limit(entry.text(0), group_size, whole_group).unwrap_or_else(|error| {
            self.problems.push(Problem::new(entry.place(1), format!("`{name}`: {error}")));
            0
        })
    }

    /// By zone and kind as in all, where nothing else is said.
    fn replica_limits(&mut self) -> Option<ReplicaLimits> {
        let total = self.replica_limit("nodes-out-most");
        let per_zone = self.replica_limit("nodes-out-zone");
        let per_kind = self.replica_limit("nodes-out-kind");
        if total.is_none() && (per_zone.is_some() || per_kind.is_some()) {
            self.problem("`nodes-out-zone` and `nodes-out-kind` want `nodes-out-most`");
        }
        total.map(|total| ReplicaLimits {
            total,
            per_zone: per_zone.unwrap_or(total),
            per_kind: per_kind.unwrap_or(total),
        })
    }

    fn replica_limit(&mut self, name: &str) -> Option<Limit> {
        let entry = self.section.entry(name)?;
        match parse_replica_limit(entry.text(0)) {
            Ok(limit) => Some(limit),
            Err(error) => {
                self.problems.push(Problem::new(entry.place(1), format!("`{name}`: {error}")));
                None
            }
        }
    }

    fn release_files(&mut self) -> Vec<ReleaseFile> {
        let file = |entry: &Entry| ReleaseFile {
            artifact: entry.text(0).into(),
            path: path(entry, 1),
            store_dir: path(entry, 2),
        };
        let files: Vec<ReleaseFile> = self.section.all("release").map(file).collect();
        let artifacts: BTreeSet<&str> = files.iter().map(|file| file.artifact.as_str()).collect();
        if artifacts.len() < files.len() {
            self.problem("`release`: a kind of file has one place");
        }
        files
    }

    fn heartbeat(&mut self) -> HeartbeatTiming {
        let (interval, silence) = (self.section.duration("beat"), self.section.duration("silent"));
        if silence < interval * HEARTBEATS_PER_SILENCE {
            self.problem("`silent` is less than three times `beat`: a lost beat would be a silence");
        }
        HeartbeatTiming { interval, silence_limit: silence }
    }
}

#[cfg(test)]
mod tests;
