//! The router processes of a run: their start, their end, and the configuration that moves discovery.

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
use super::scenario::{DiscoveryMove, Restart, Stop, CLIENT_DEADLINE};
use super::{traffic, Run};
use crate::mock_services::ReservedAddress;
use crate::router_process::{signal_all, RouterProcess};

/// Time within which each router has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time from SIGTERM to SIGKILL: the longest deadline and a margin.
const KILL_AFTER: Duration = CLIENT_DEADLINE.saturating_add(Duration::from_millis(700));
/// Interval between checks whether processes have exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Logs every line about the endpoint list.
const SETTINGS: &str = "log {\n level info\n target node_list debug\n queue 65536\n}\n";

/// A router: its process, and the files and addresses to start it with.
struct Router {
    number: usize,
    process: RouterProcess,
    /// Start times of its processes, since the start of the run.
    starts: Vec<Duration>,
    front: SocketAddr,
    /// Address of discovery for this router after the move.
    later_discovery: SocketAddr,
    config: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    _reserved: ReservedAddress,
}

/// All routers of a run.
pub(super) struct Routers {
    program: PathBuf,
    all: RefCell<Vec<Router>>,
    peers: Vec<SocketAddr>,
    /// Rows of the endpoint list in the configuration.
    rows: Vec<Value>,
}

impl Routers {
    /// Starts all routers, and a client for each once it is ready.
    pub async fn start(
        program: &Path,
        ip: &str,
        dir: &Path,
        run: &Rc<Run>,
        rows: &[Value],
    ) -> io::Result<Routers> {
        let peers = free_udp_addresses(ip, run.scenario.routers)?;
        let routers =
            Routers { program: program.into(), all: RefCell::default(), peers, rows: rows.to_vec() };
        for number in 0..run.scenario.routers {
            let router = routers.start_router(ip, dir, run, number).await?;
            routers.all.borrow_mut().push(router);
        }
        let mut all = routers.all.take();
        for router in &mut all {
            router.process.wait_until_ready(READY_TIMEOUT).await?;
            spawn_local(traffic::run_client(run.clone(), router.number, router.front));
        }
        routers.all.replace(all);
        Ok(routers)
    }

    async fn start_router(&self, ip: &str, dir: &Path, run: &Run, number: usize) -> io::Result<Router> {
        let reserved = ReservedAddress::on(ip)?;
        let discovery = run.discovery.listen(ip, number, Address::Former).await?;
        let later_discovery = run.discovery.listen(ip, number, Address::Later).await?;
        let path = |kind: &str| dir.join(format!("n{number}.{kind}"));
        let (config, settings, log) = (path("json"), path("conf"), path("log"));
        let text = run.scenario.configuration(number, reserved.addr, discovery, &self.peers, &self.rows);
        std::fs::write(&config, text.to_string())?;
        std::fs::write(&settings, SETTINGS)?;
        let process = start_process(&self.program, run, number, [&config, &settings, &log], reserved.addr)?;
        let (starts, front) = (vec![run.started.elapsed()], reserved.addr);
        Ok(Router {
            number,
            process,
            starts,
            front,
            later_discovery,
            config,
            settings,
            log,
            _reserved: reserved,
        })
    }

    /// Returns when the process was started that was the router's last one at `time`.
    pub fn process_started_before(&self, router: usize, time: Duration) -> Duration {
        let all = self.all.borrow();
        all[router].starts.iter().rev().find(|start| **start <= time).copied().unwrap_or_default()
    }

    /// Returns the log of a router.
    pub fn log(&self, router: usize) -> String {
        std::fs::read_to_string(&self.all.borrow()[router].log).unwrap_or_default()
    }

    /// Returns an error if a router has exited by itself.
    pub fn check_all_running(&self) -> io::Result<()> {
        for router in self.all.borrow_mut().iter_mut() {
            if let Some(status) = router.process.exit_status()? {
                return Err(io::Error::other(format!("router n{} has exited: {status}", router.number)));
            }
        }
        Ok(())
    }

    /// Stops several routers at once and starts them again after the delay of the scenario.
    pub async fn restart(&self, run: &Run, restart: &Restart) -> io::Result<()> {
        let mut stopped: Vec<usize> = (0..run.scenario.routers).collect();
        fastrand::Rng::with_seed(run.scenario.seed).shuffle(&mut stopped);
        stopped.truncate(restart.routers);
        sleep_until(run.started + restart.at).await;
        match restart.stop {
            Stop::Killed => self.kill(&stopped)?,
            Stop::Terminated => self.terminate(&stopped).await?,
        }
        sleep(restart.downtime).await;
        let mut all = self.all.borrow_mut();
        for &number in &stopped {
            let router = &mut all[number];
            let files = [&router.config, &router.settings, &router.log].map(PathBuf::as_path);
            router.process = start_process(&self.program, run, number, files, router.front)?;
            router.starts.push(run.started.elapsed());
        }
        Ok(())
    }

    fn kill(&self, routers: &[usize]) -> io::Result<()> {
        let mut all = self.all.borrow_mut();
        routers.iter().try_for_each(|&number| all[number].process.kill())
    }

    /// Sends SIGTERM to the routers, and SIGKILL to those that still run when the protocol allows it.
    async fn terminate(&self, routers: &[usize]) -> io::Result<()> {
        self.signal("-TERM", routers)?;
        let kill_at = Instant::now() + KILL_AFTER;
        while Instant::now() < kill_at && self.is_any_running(routers)? {
            sleep(EXIT_POLL_INTERVAL).await;
        }
        self.kill(routers)
    }

    fn is_any_running(&self, routers: &[usize]) -> io::Result<bool> {
        let mut all = self.all.borrow_mut();
        for &number in routers {
            if all[number].process.exit_status()?.is_none() {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Sends a signal to these routers with one command.
    fn signal(&self, name: &str, routers: &[usize]) -> io::Result<()> {
        let all = self.all.borrow();
        signal_all(name, routers.iter().map(|&number| &all[number].process))
    }

    /// Writes configurations that have the later address of discovery.
    fn configure_move(&self, run: &Run) -> io::Result<()> {
        for router in self.all.borrow().iter() {
            let Router { number, front, later_discovery, .. } = *router;
            let text = run.scenario.configuration(number, front, later_discovery, &self.peers, &self.rows);
            std::fs::write(&router.config, text.to_string())?;
        }
        Ok(())
    }
}

/// Moves discovery to its later address as the scenario says.
pub(super) async fn move_discovery(routers: Rc<Routers>, run: Rc<Run>) {
    let Some(DiscoveryMove { at, former_ends_after, .. }) = run.scenario.discovery_move else { return };
    sleep_until(run.started + at).await;
    routers.configure_move(&run).expect("the router configurations can be written");
    let all: Vec<usize> = (0..run.scenario.routers).collect();
    routers.signal("-HUP", &all).expect("the routers can be signalled");
    sleep(former_ends_after).await;
    run.discovery.close_former_address();
}

/// Returns free UDP addresses for the routers to bind; no other process has sockets on this IP.
fn free_udp_addresses(ip: &str, count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets: io::Result<Vec<UdpSocket>> = (0..count).map(|_| UdpSocket::bind((ip, 0))).collect();
    sockets?.iter().map(UdpSocket::local_addr).collect()
}

fn start_process(
    program: &Path,
    run: &Run,
    number: usize,
    [config, settings, log]: [&Path; 3],
    front: SocketAddr,
) -> io::Result<RouterProcess> {
    RouterProcess::start(program, config, log, front, |command| {
        command.arg("--settings").arg(settings);
        if let Some(socket_faults) = &run.scenario.socket_faults {
            socket_faults.preload(command, run.scenario.seed * 1_000 + number as u64);
        }
    })
}
