//! The routers of a trial: their start, their end, and the configuration that moves discovery.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use super::discovery::Address;
use super::plan::{End, Move, Restart, CLIENT_DEADLINE};
use super::{traffic, Trial};
use crate::park::Reserved;
use crate::router_process::{signal_all, RouterProcess};

/// Routers have to be ready within this.
const READY: Duration = Duration::from_secs(20);
/// SIGKILL comes so long after SIGTERM: the longest deadline and a margin.
const KILL_AFTER: Duration = CLIENT_DEADLINE.saturating_add(Duration::from_millis(700));
/// Between two looks whether a process has ended.
const LOOK: Duration = Duration::from_millis(5);
/// Every line of the log that tells of the list.
const SETTINGS: &str = "log {\n level info\n target node_list debug\n queue 65536\n}\n";

/// A router: its process, and what it is started by.
struct Router {
    number: usize,
    process: RouterProcess,
    /// When its processes were started.
    starts: Vec<Duration>,
    front: SocketAddr,
    /// Where it reaches discovery after the move.
    later_list: SocketAddr,
    config: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    _reserved: Reserved,
}

/// All routers.
pub(super) struct Routers {
    program: PathBuf,
    all: RefCell<Vec<Router>>,
    peers: Vec<SocketAddr>,
    /// The list that they start with.
    rows: Vec<Value>,
}

impl Routers {
    /// Starts them all, each with a client once it is ready.
    pub async fn start(
        program: &Path,
        ip: &str,
        dir: &Path,
        trial: &Rc<Trial>,
        rows: &[Value],
    ) -> io::Result<Routers> {
        let peers = free_udp_addresses(ip, trial.plan.routers)?;
        let routers =
            Routers { program: program.into(), all: RefCell::default(), peers, rows: rows.to_vec() };
        for number in 0..trial.plan.routers {
            let router = routers.start_router(ip, dir, trial, number).await?;
            routers.all.borrow_mut().push(router);
        }
        let mut all = routers.all.take();
        for router in &mut all {
            router.process.until_ready(READY).await?;
            spawn_local(traffic::run_client(trial.clone(), router.number, router.front));
        }
        routers.all.replace(all);
        Ok(routers)
    }

    async fn start_router(&self, ip: &str, dir: &Path, trial: &Trial, number: usize) -> io::Result<Router> {
        let reserved = Reserved::on(ip)?;
        let list = trial.discovery.listen(ip, number, Address::Former).await?;
        let later_list = trial.discovery.listen(ip, number, Address::Later).await?;
        let path = |kind: &str| dir.join(format!("n{number}.{kind}"));
        let (config, settings, log) = (path("json"), path("conf"), path("log"));
        let text = trial.plan.configuration(number, reserved.at, list, &self.peers, &self.rows);
        std::fs::write(&config, text.to_string())?;
        std::fs::write(&settings, SETTINGS)?;
        let process = start_process(&self.program, trial, number, [&config, &settings, &log], reserved.at)?;
        let (starts, front) = (vec![trial.began.elapsed()], reserved.at);
        Ok(Router { number, process, starts, front, later_list, config, settings, log, _reserved: reserved })
    }

    /// When the process of a router was started that ran last at this time.
    pub fn started_before(&self, router: usize, time: Duration) -> Duration {
        let all = self.all.borrow();
        all[router].starts.iter().rev().find(|start| **start <= time).copied().unwrap_or_default()
    }

    /// What a router's log has of the list.
    pub fn log(&self, router: usize) -> String {
        std::fs::read_to_string(&self.all.borrow()[router].log).unwrap_or_default()
    }

    /// Fails if a router has ended by itself.
    pub fn all_run(&self) -> io::Result<()> {
        for router in self.all.borrow_mut().iter_mut() {
            if let Some(status) = router.process.has_ended()? {
                return Err(io::Error::other(format!("n{} has ended: {status}", router.number)));
            }
        }
        Ok(())
    }

    /// Ends routers at once, and starts them again after their pause.
    pub async fn restart(&self, trial: &Trial, restart: &Restart) -> io::Result<()> {
        let mut order: Vec<usize> = (0..trial.plan.routers).collect();
        fastrand::Rng::with_seed(trial.plan.seed).shuffle(&mut order);
        order.truncate(restart.routers);
        sleep_until(trial.began + restart.at).await;
        match restart.end {
            End::Killed => self.kill(&order)?,
            End::Terminated => self.terminate(&order).await?,
        }
        sleep(restart.restart_after).await;
        let mut all = self.all.borrow_mut();
        for &number in &order {
            let router = &mut all[number];
            let files = [&router.config, &router.settings, &router.log].map(PathBuf::as_path);
            router.process = start_process(&self.program, trial, number, files, router.front)?;
            router.starts.push(trial.began.elapsed());
        }
        Ok(())
    }

    fn kill(&self, routers: &[usize]) -> io::Result<()> {
        let mut all = self.all.borrow_mut();
        routers.iter().try_for_each(|&number| all[number].process.kill())
    }

    /// Tells routers to end, and kills those that still run when the protocol allows it.
    async fn terminate(&self, routers: &[usize]) -> io::Result<()> {
        self.signal("-TERM", routers)?;
        let kill_at = Instant::now() + KILL_AFTER;
        while Instant::now() < kill_at && self.any_runs(routers)? {
            sleep(LOOK).await;
        }
        self.kill(routers)
    }

    fn any_runs(&self, routers: &[usize]) -> io::Result<bool> {
        let mut all = self.all.borrow_mut();
        for &number in routers {
            if all[number].process.has_ended()?.is_none() {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Sends a signal to these routers, in one go.
    fn signal(&self, name: &str, routers: &[usize]) -> io::Result<()> {
        let all = self.all.borrow();
        signal_all(name, routers.iter().map(|&number| &all[number].process))
    }

    /// Writes configurations that have discovery at its later address.
    fn configure_move(&self, trial: &Trial) -> io::Result<()> {
        for router in self.all.borrow().iter() {
            let Router { number, front, later_list, .. } = *router;
            let text = trial.plan.configuration(number, front, later_list, &self.peers, &self.rows);
            std::fs::write(&router.config, text.to_string())?;
        }
        Ok(())
    }
}

/// Moves discovery as planned.
pub(super) async fn move_discovery(routers: Rc<Routers>, trial: Rc<Trial>) {
    let Some(Move { at, former_ends_after, .. }) = trial.plan.moves else { return };
    sleep_until(trial.began + at).await;
    routers.configure_move(&trial).expect("the configurations can be written");
    let all: Vec<usize> = (0..trial.plan.routers).collect();
    routers.signal("-HUP", &all).expect("the routers can be signalled");
    sleep(former_ends_after).await;
    trial.discovery.end_former();
}

/// Addresses for datagrams that the routers are about to bind; nobody else has sockets on this IP.
fn free_udp_addresses(ip: &str, count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets: io::Result<Vec<UdpSocket>> = (0..count).map(|_| UdpSocket::bind((ip, 0))).collect();
    sockets?.iter().map(UdpSocket::local_addr).collect()
}

fn start_process(
    program: &Path,
    trial: &Trial,
    number: usize,
    [config, settings, log]: [&Path; 3],
    front: SocketAddr,
) -> io::Result<RouterProcess> {
    RouterProcess::start(program, config, log, front, |command| {
        command.arg("--settings").arg(settings);
        if let Some(faults) = &trial.plan.faults {
            faults.preload(command, trial.plan.seed * 1_000 + number as u64);
        }
    })
}
