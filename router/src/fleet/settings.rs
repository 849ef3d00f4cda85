//! Section `fleet` of the settings: the routers of the fleet, the council, and the limits on routers and replicas out of
//! service.

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
use tallypin_settings_schema::{closest_match, Checked, Entry, Problem, Value};

use super::release_files::ReleaseFile;
use limits::{parse_replica_limit, parse_router_limit, WholeGroup};
pub use schema::SECTION;

/// Maximum number of routers of a fleet, for which the message size and the load on the council are dimensioned.
const MAX_ROUTERS: usize = 1000;
/// File descriptors beyond the connections of the routers: the listener and connections about to be rejected.
const SPARE_DESCRIPTORS: usize = 4;
/// Connections between a router and a council member: one for commands and one for other calls.
const CONNECTIONS_PER_MEMBER: usize = 2;
/// Minimum silence limit, in heartbeat intervals. A single lost heartbeat must not count as silence.
const MIN_SILENCE_HEARTBEATS: u32 = 3;
/// Assumed bound on clock drift: over a lease, the clocks of two routers drift apart by at most the lease duration divided
/// by this. Real clocks drift far less.
const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// A router of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetRouter {
    /// Name of the router.
    pub name: String,
    /// Address on which the router accepts calls of the other routers.
    pub address: SocketAddr,
    /// Zone of the router.
    pub zone: String,
}

/// The settings of section `fleet`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetSettings {
    /// Name of the fleet.
    pub name: String,
    /// Index of this router in `routers`.
    pub own_index: RouterIndex,
    /// Path of the key file.
    pub key_file: PathBuf,
    /// All routers, by index.
    pub routers: Vec<FleetRouter>,
    /// The council members.
    pub council: Vec<RouterIndex>,
    /// Limits on routers and replicas out of service.
    pub limits: DrainLimits,
    /// File in which a council member stores the fleet state.
    pub state_file: Option<PathBuf>,
    /// The files that a release may replace.
    pub release_files: Vec<ReleaseFile>,
    /// The heartbeat interval, and the silence after which a router counts as out of service.
    pub heartbeat: HeartbeatTiming,
    /// Timing of the drain lease.
    pub lease: LeaseTiming,
    /// Time within which a council member must reply; otherwise it counts as unreachable.
    pub reply_timeout: Duration,
    /// Time within which an order must be chosen; otherwise it fails.
    pub order_timeout: Duration,
}

impl FleetSettings {
    /// Reads the section. Problems are added to `problems`; the result is valid only if there are none.
    pub fn from_section(section: &Checked, problems: &mut Vec<Problem>) -> FleetSettings {
        let mut reader = SectionReader {
            section,
            routers: section.entries_of("router").map(read_router).collect(),
            problems,
        };
        reader.check_routers();
        let own_index = section.entry("me").map_or(0, |entry| reader.router_index(entry, 0));
        let council = reader.read_council();
        let limits = reader.read_limits(council.clone());
        let release_files = reader.read_release_files();
        let heartbeat = reader.read_heartbeat();
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

    /// Returns the number of file descriptors that the fleet agent needs: connections to all council members and, on a
    /// member, connections from all routers.
    pub fn descriptor_count(&self) -> usize {
        let accepted_connections = match self.own_member_index() {
            Some(_) => CONNECTIONS_PER_MEMBER * self.routers.len(),
            None => 0,
        };
        CONNECTIONS_PER_MEMBER * self.council.len() + accepted_connections + SPARE_DESCRIPTORS
    }

    /// Returns the index of the router with this name.
    pub fn index_of(&self, name: &str) -> Option<RouterIndex> {
        index_of(&self.routers, name)
    }

    /// Returns the index of this router in the council; `None` if it is not a member.
    pub fn own_member_index(&self) -> Option<usize> {
        self.council.iter().position(|router| *router == self.own_index)
    }

    /// Returns the file in which this router stores the fleet state; `None` if it is not a member or the settings name no
    /// file.
    pub fn own_state_file(&self) -> Option<PathBuf> {
        self.state_file.clone().filter(|_| self.own_member_index().is_some())
    }
}

fn index_of(routers: &[FleetRouter], name: &str) -> Option<RouterIndex> {
    routers.iter().position(|router| router.name == name).map(|index| index as RouterIndex)
}

fn read_router(entry: &Entry) -> FleetRouter {
    let address = match entry.values.get(1) {
        Some(Value::Address(address)) => *address,
        // An invalid address is already reported as a problem of the entry.
        _ => ([127, 0, 0, 1], 0).into(),
    };
    FleetRouter { name: entry.text(0).into(), address, zone: entry.text(2).into() }
}

fn read_path(entry: &Entry, index: usize) -> PathBuf {
    match entry.values.get(index) {
        Some(Value::Path(path)) => Path::to_path_buf(path),
        // An invalid path is already reported as a problem of the entry.
        _ => PathBuf::new(),
    }
}

/// Converts the checked section to settings and collects problems.
struct SectionReader<'a> {
    section: &'a Checked,
    routers: Vec<FleetRouter>,
    problems: &'a mut Vec<Problem>,
}

impl SectionReader<'_> {
    /// Adds a problem that is reported at the head of the section.
    fn add_problem(&mut self, message: impl Into<String>) {
        self.problems.push(Problem::new(self.section.span, message.into()));
    }

    fn check_routers(&mut self) {
        if self.routers.len() > MAX_ROUTERS {
            self.add_problem(format!("a fleet has at most {MAX_ROUTERS} routers"));
        }
        let addresses: BTreeSet<SocketAddr> = self.routers.iter().map(|router| router.address).collect();
        if addresses.len() < self.routers.len() {
            self.add_problem("two routers of the fleet have the same address");
        }
    }

    /// Returns the index of the router that an argument names. If there is none, adds a problem and returns 0.
    fn router_index(&mut self, entry: &Entry, argument: usize) -> RouterIndex {
        let name = entry.text(argument);
        index_of(&self.routers, name).unwrap_or_else(|| {
            let mut problem =
                Problem::new(entry.span_of(argument + 1), format!("the fleet has no router `{name}`"));
            let suggestion = closest_match(name, self.routers.iter().map(|router| router.name.as_str()));
            problem.help = suggestion.map(|suggestion| format!("did you mean `{suggestion}`?"));
            self.problems.push(problem);
            0
        })
    }

    fn read_council(&mut self) -> Vec<RouterIndex> {
        let entry = self.section.entry("council");
        let council: Vec<RouterIndex> = entry.map_or(vec![], |entry| {
            (0..entry.values.len()).map(|argument| self.router_index(entry, argument)).collect()
        });
        let distinct: BTreeSet<RouterIndex> = council.iter().copied().collect();
        if council.len() > MAX_MEMBERS || council.len() % 2 == 0 || distinct.len() < council.len() {
            self.add_problem("a council has 1, 3, 5 or 7 members, each named once");
        }
        council
    }

    fn read_limits(&mut self, council: Vec<RouterIndex>) -> DrainLimits {
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
            self.problems.push(Problem::new(entry.span_of(1), format!("`{name}`: {error}")));
            0
        })
    }

    /// Returns the limits on drained replicas. The limits per zone and per kind default to the total.
    fn replica_limits(&mut self) -> Option<ReplicaLimits> {
        let total = self.replica_limit("nodes-out-most");
        let per_zone = self.replica_limit("nodes-out-zone");
        let per_kind = self.replica_limit("nodes-out-kind");
        if total.is_none() && (per_zone.is_some() || per_kind.is_some()) {
            self.add_problem("`nodes-out-zone` and `nodes-out-kind` need `nodes-out-most`");
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
                self.problems.push(Problem::new(entry.span_of(1), format!("`{name}`: {error}")));
                None
            }
        }
    }

    fn read_release_files(&mut self) -> Vec<ReleaseFile> {
        let file = |entry: &Entry| ReleaseFile {
            artifact: entry.text(0).into(),
            path: read_path(entry, 1),
            store_dir: read_path(entry, 2),
        };
        let files: Vec<ReleaseFile> = self.section.entries_of("release").map(file).collect();
        let artifacts: BTreeSet<&str> = files.iter().map(|file| file.artifact.as_str()).collect();
        if artifacts.len() < files.len() {
            self.add_problem("`release`: each kind of file may be given once");
        }
        files
    }

    fn read_heartbeat(&mut self) -> HeartbeatTiming {
        let (interval, silence) = (self.section.duration("beat"), self.section.duration("silent"));
        if silence < interval * MIN_SILENCE_HEARTBEATS {
            self.add_problem(
                "`silent` is less than three times `beat`: one lost heartbeat would count as silence",
            );
        }
        HeartbeatTiming { interval, silence_limit: silence }
    }
}

#[cfg(test)]
mod tests;
