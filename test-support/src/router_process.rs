//! A router that runs as a separate process, under test or measurement.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use crate::http_connection::HttpConnection;

/// Interval between checks whether the process is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time limit of one readiness check.
const READY_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// A router process, killed when this is dropped.
pub struct RouterProcess {
    child: Child,
    front: SocketAddr,
    log: PathBuf,
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl RouterProcess {
    /// Starts `program serve` with the configuration file `config` and appends its log to `log`; `prepare` may add
    /// arguments and environment variables. Clients connect to `front`.
    ///
    /// # Errors
    /// The log cannot be opened, or the process cannot be started.
    pub fn start(
        program: &Path,
        config: &Path,
        log: &Path,
        front: SocketAddr,
        prepare: impl FnOnce(&mut Command),
    ) -> io::Result<RouterProcess> {
        let mut command = Command::new(program);
        command.arg("serve").env_clear().env("PROXY_CONFIG", config);
        prepare(&mut command);
        let output = File::options().create(true).append(true).open(log)?;
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(output).spawn()?;
        Ok(RouterProcess { child, front, log: log.into() })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the largest resident memory up to now in bytes; 0 once the process has exited.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or_default();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap_or(0) * 1024
    }

    /// Waits until the router is ready.
    ///
    /// # Errors
    /// The process has exited, or is not ready within `limit`; the error text contains its log.
    pub async fn wait_until_ready(&mut self, limit: Duration) -> io::Result<()> {
        let started = Instant::now();
        while !self.is_ready().await {
            if started.elapsed() > limit || self.exit_status()?.is_some() {
                let log = std::fs::read_to_string(&self.log).unwrap_or_default();
                return Err(io::Error::other(format!("the router did not become ready: {log}")));
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.front).await else { return false };
        let mut connection = HttpConnection::new(stream);
        if connection.write(b"GET /up HTTP/1.1\r\nHost: b\r\n\r\n").await.is_err() {
            return false;
        }
        matches!(timeout(READY_CHECK_TIMEOUT, connection.read_head()).await, Ok(Ok(head)) if head.status() == 200)
    }

    /// Returns the exit status if the process has exited.
    ///
    /// # Errors
    /// The state of the process cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Sends the process a signal, given as an option of `kill`.
    ///
    /// # Errors
    /// `kill` cannot be run.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        signal_all(name, [self])
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    /// The process cannot be killed or waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }
}

/// Sends several processes one signal with a single `kill` command; `name` is an option of `kill`.
///
/// # Errors
/// `kill` cannot be run.
pub fn signal_all<'a>(name: &str, processes: impl IntoIterator<Item = &'a RouterProcess>) -> io::Result<()> {
    let pids = processes.into_iter().map(|process| process.pid().to_string());
    Command::new("kill").arg(name).args(pids).stderr(Stdio::null()).status().map(drop)
}
