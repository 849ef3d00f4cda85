//! Section `fleet` of the settings: who belongs to it, who of it agrees, and how many may be out.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use tallypin_consensus::drain_lease;
use tallypin_consensus::fleet_state::DrainLimits;
use tallypin_consensus::register::MAX_MEMBERS;
use tallypin_consensus::replica_drains::{Limit, ReplicaLimits};
use tallypin_membership::RouterIndex;
use tallypin_settings_schema::{nearest, Checked, Directive, Entry, Kind, Problem, Section};

use super::release_files::ReleaseFile;

/// The most routers of a fleet.
pub const MAX_ROUTERS: usize = 1000;
/// Descriptors beside the connections of the routers: the listener, and who is turned away.
const SPARE_DESCRIPTORS: usize = 4;
const MINUTE_MS: u64 = 60_000;

/// The section.
pub const SECTION: Section = Section {
    name: "fleet",
    always: false,
    about: "drains that the routers of a fleet agree on",
    directives: &[
        Directive::required("name", &[Kind::Text], "the fleet's name; messages of another are not read"),
        Directive::required("me", &[Kind::Text], "which of its routers this is"),
        Directive::required(
            "key",
            &[Kind::Path],
            "a file with the key that signs messages, or two while they change",
        ),
        Directive::required(
            "router",
            &[Kind::Text, Kind::Address, Kind::Text],
            "a router, its address, its zone",
        )
        .many(),
        Directive::required("council", &[Kind::Text], "the routers that agree: 1, 3, 5 or 7 of them").rest(),
        Directive::required(
            "out-most",
            &[Kind::Text],
            "routers that may be out at once, a number or a share",
        ),
        Directive::required("out-zone", &[Kind::Text], "the same, of a zone; a share is of the smallest"),
        Directive::optional("nodes-out-most", &[Kind::Text], "model nodes that may be out by order at once"),
        Directive::optional("nodes-out-zone", &[Kind::Text], "the same, of a zone"),
        Directive::optional("nodes-out-kind", &[Kind::Text], "the same, of a kind of machine"),
        Directive::optional(
            "release",
            &[Kind::OneOf(&["settings", "configuration", "program"]), Kind::Path, Kind::Path],
            "a file that a release may change: where it is found, and the store with one for each digest",
        )
        .many(),
        Directive::optional(
            "store",
            &[Kind::Path],
            "where a member of the council stores what is agreed on, on a disk that lasts",
        ),
        Directive::with("beat", &[Kind::Duration(50, MINUTE_MS)], &["500ms"], "a router is heard so often"),
        Directive::with(
            "silent",
            &[Kind::Duration(100, MINUTE_MS)],
            &["3s"],
            "not heard for so long it is out",
        ),
        Directive::with(
            "lease",
            &[Kind::Duration(500, MINUTE_MS)],
            &["5s"],
            "a leave to go out is good for so long",
        ),
        Directive::with("answer", &[Kind::Duration(100, MINUTE_MS)], &["1s"], "a member answers within this"),
        Directive::with(
            "within",
            &[Kind::Duration(500, MINUTE_MS)],
            &["5s"],
            "an order is agreed on within this, or not",
        ),
    ],
    sections: &[],
};

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
    /// This router.
    pub own_index: RouterIndex,
    /// The file with the keys.
    pub key_file: PathBuf,
    /// All routers, by place.
    pub routers: Vec<FleetRouter>,
    /// Those that agree.
    pub council: Vec<RouterIndex>,
    /// How many may be out.
    pub limits: DrainLimits,
    /// Where a member of the council stores what is agreed on.
    pub state_file: Option<PathBuf>,
    /// What a release may change.
    pub release_files: Vec<ReleaseFile>,
    /// Beats, and when silence is believed.
    pub heartbeat: tallypin_membership::HeartbeatTiming,
    /// The figures of a leave.
    pub lease: drain_lease::LeaseTiming,
    /// A member answers within this.
    pub reply_timeout: Duration,
    /// An order is agreed on within this, or not.
    pub order_timeout: Duration,
}

impl FleetSettings {
    /// Reads the section; what is wrong is told with its line.
    pub fn from_section(s: &Checked, problems: &mut Vec<Problem>) -> FleetSettings {
        let routers: Vec<FleetRouter> = s.all("router").map(router).collect();
        let names: Vec<&str> = routers.iter().map(|r| r.name.as_str()).collect();
        let find = |entry: &Entry, word: usize, problems: &mut Vec<Problem>| -> RouterIndex {
            let name = entry.text(word);
            names.iter().position(|n| *n == name).unwrap_or_else(|| {
                let what = format!("the fleet has no router `{name}`");
                let mut problem = Problem::new(entry.place(word + 1), what);
                problem.help =
                    nearest(name, names.iter().copied()).map(|near| format!("did you mean `{near}`?"));
                problems.push(problem);
                0
            }) as RouterIndex
        };
        let wrong = |what: String| Problem::new(s.place, what);
        if routers.len() > MAX_ROUTERS {
            problems.push(wrong(format!("a fleet has {MAX_ROUTERS} routers at the most")));
        }
        let addresses: BTreeSet<SocketAddr> = routers.iter().map(|r| r.address).collect();
        if addresses.len() < routers.len() {
            problems.push(wrong("two routers of the fleet have one address".into()));
        }
        let me = s.entry("me").map_or(0, |e| find(e, 0, problems));
        let council: Vec<RouterIndex> = s
            .entry("council")
            .map_or(vec![], |e| (0..e.values.len()).map(|word| find(e, word, problems)).collect());
        let apart: BTreeSet<RouterIndex> = council.iter().copied().collect();
        if council.len() > MAX_MEMBERS || council.len() % 2 == 0 || apart.len() < council.len() {
            problems.push(wrong("a council has 1, 3, 5 or 7 members, each once".into()));
        }
        let mut zones: Vec<&str> = routers.iter().map(|r| r.zone.as_str()).collect();
        zones.sort_unstable();
        let smallest = zones.chunk_by(|a, b| a == b).map(<[_]>::len).min().unwrap_or(0);
        zones.dedup();
        let zone_of = |r: &FleetRouter| zones.iter().position(|z| *z == r.zone).unwrap_or(0) as u16;
        let mut most = |name: &str, of: usize, whole: bool| {
            s.entry(name).map_or(0, |e| {
                parse_router_limit(e.text(0), of, whole).unwrap_or_else(|why| {
                    problems.push(Problem::new(e.place(1), format!("`{name}`: {why}")));
                    0
                })
            })
        };
        let (all, zone) = (most("out-most", routers.len(), false), most("out-zone", smallest, true));
        let nodes = replica_limits(s, problems);
        let path = |e: &Entry, at: usize| match e.values.get(at) {
            Some(tallypin_settings_schema::Value::Path(path)) => PathBuf::from(path),
            _ => PathBuf::new(),
        };
        let released = s.all("release").map(|e| ReleaseFile {
            artifact: e.text(0).into(),
            path: path(e, 1),
            store_dir: path(e, 2),
        });
        let released: Vec<ReleaseFile> = released.collect();
        let wrong = |what: String| Problem::new(s.place, what);
        let kinds: BTreeSet<&str> = released.iter().map(|r| r.artifact.as_str()).collect();
        if kinds.len() < released.len() {
            problems.push(wrong("`release`: a kind of file has one place".into()));
        }
        let (beat, silent) = (s.duration("beat"), s.duration("silent"));
        if silent < beat * 3 {
            problems.push(wrong(
                "`silent` is less than three times `beat`: a lost beat would be a silence".into(),
            ));
        }
        let nanos = |d: Duration| d.as_nanos() as u64;
        FleetSettings {
            name: s.text("name").into(),
            own_index: me,
            key_file: s.path("key").map(PathBuf::from).unwrap_or_default(),
            limits: DrainLimits {
                names: routers.iter().map(|r| r.name.clone()).collect(),
                zones: routers.iter().map(zone_of).collect(),
                total: all,
                per_zone: zone,
                council: council.clone(),
                replicas: nodes,
            },
            state_file: s.path("store").map(PathBuf::from),
            release_files: released,
            routers,
            council,
            heartbeat: tallypin_membership::HeartbeatTiming {
                interval: nanos(beat),
                silence_limit: nanos(silent),
            },
            lease: drain_lease::LeaseTiming {
                duration: nanos(s.duration("lease")),
                drift_divisor: 20,
                retry_after: nanos(beat),
            },
            reply_timeout: s.duration("answer"),
            order_timeout: s.duration("within"),
        }
    }

    /// The descriptors that it needs: a member of the council has two connections of each router, and each has two to every
    /// member: one for beats and answers, one for changes.
    pub fn descriptors(&self) -> usize {
        let served = if self.council.contains(&self.own_index) { 2 * self.routers.len() } else { 0 };
        2 * self.council.len() + served + SPARE_DESCRIPTORS
    }

    /// A router's place, by its name.
    pub fn index_of(&self, name: &str) -> Option<RouterIndex> {
        self.routers.iter().position(|r| r.name == name).map(|p| p as RouterIndex)
    }
}

fn router(e: &Entry) -> FleetRouter {
    let at = match e.values.get(1) {
        Some(tallypin_settings_schema::Value::Address(at)) => *at,
        _ => ([127, 0, 0, 1], 0).into(),
    };
    FleetRouter { name: e.text(0).into(), address: at, zone: e.text(2).into() }
}

/// The bounds for model nodes: by zone and kind as in all, where nothing else is said.
fn replica_limits(s: &Checked, problems: &mut Vec<Problem>) -> Option<ReplicaLimits> {
    let mut most = |name: &str| {
        let e = s.entry(name)?;
        let read = parse_replica_limit(e.text(0));
        read.map_err(|why| problems.push(Problem::new(e.place(1), format!("`{name}`: {why}")))).ok()
    };
    let (all, zone, kind) = (most("nodes-out-most"), most("nodes-out-zone"), most("nodes-out-kind"));
    if all.is_none() && (zone.is_some() || kind.is_some()) {
        problems.push(Problem::new(
            s.place,
            "`nodes-out-zone` and `nodes-out-kind` want `nodes-out-most`".to_string(),
        ));
    }
    all.map(|all| ReplicaLimits { total: all, per_zone: zone.unwrap_or(all), per_kind: kind.unwrap_or(all) })
}

/// `3`, or `10%`, up to so large a share.
fn parse_count_or_percent(word: &str, largest: usize) -> Result<Limit, String> {
    let digits = |w: &str| w.parse::<usize>().ok().filter(|_| w.bytes().all(|b| b.is_ascii_digit()));
    match word.strip_suffix('%') {
        Some(share) => digits(share)
            .filter(|s| (1..=largest).contains(s))
            .map(Limit::Percent)
            .ok_or_else(|| format!("a share is 1% to {largest}%")),
        None => digits(word).map(Limit::Count).ok_or_else(|| "wants a number, or a share as 10%".into()),
    }
}

/// Of as many as are listed when it counts, rounded down, so at times of none.
fn parse_replica_limit(word: &str) -> Result<Limit, String> {
    match parse_count_or_percent(word, 99)? {
        Limit::Count(0) => Err("a bound of none would let nothing out; leave it away for that".into()),
        most => Ok(most),
    }
}

/// Of so many, rounded down. A share that is none is an error: it would stop every release, by accident.
/// The whole of a zone may go out, where the bound says so; the whole of a fleet may not.
fn parse_router_limit(word: &str, of: usize, whole: bool) -> Result<usize, String> {
    let most = match parse_count_or_percent(word, 100)? {
        Limit::Percent(share) => match of * share / 100 {
            0 => return Err(format!("{share}% of {of} is none; say 1 to let one out")),
            most => most,
        },
        Limit::Count(most) => most,
    };
    match most {
        0 => Err("a bound of none would let nobody out".into()),
        most if !whole && of > 1 && most >= of => {
            Err(format!("{most} of {of} may be out: nobody would serve"))
        }
        most => Ok(most),
    }
}

#[cfg(test)]
mod tests;
