//! A router that runs as a process of its own, under test or measurement.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use crate::wire::Wire;

/// Between two looks whether the process is ready.
const LOOK: Duration = Duration::from_millis(2);
/// An answer that takes longer than this is none.
const ANSWER: Duration = Duration::from_secs(1);

/// The process; killed when it is dropped.
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
    /// Starts `program serve` by the configuration in this file, with its log in another; `prepare` may add arguments and
    /// variables. Its clients connect to `front`.
    ///
    /// # Errors
    /// Those of the system.
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

    /// Its number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it serves.
    ///
    /// # Errors
    /// It has ended, or does not serve within `limit`; the text is its log.
    pub async fn until_ready(&mut self, limit: Duration) -> io::Result<()> {
        let begun = Instant::now();
        while !self.is_ready().await {
            if begun.elapsed() > limit || self.has_ended()?.is_some() {
                let log = std::fs::read_to_string(&self.log).unwrap_or_default();
                return Err(io::Error::other(format!("the router is not ready: {log}")));
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.front).await else { return false };
        let mut wire = Wire::new(stream);
        if wire.write(b"GET /up HTTP/1.1\r\nHost: b\r\n\r\n").await.is_err() {
            return false;
        }
        matches!(timeout(ANSWER, wire.head()).await, Ok(Ok(head)) if head.status() == 200)
    }

    /// How it ended, if it has.
    ///
    /// # Errors
    /// Those of the system.
    pub fn has_ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Sends it a signal, by a name that `kill` takes.
    ///
    /// # Errors
    /// `kill` can't be run.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        signal_all(name, [self])
    }

    /// Kills it, and waits until it is gone.
    ///
    /// # Errors
    /// Those of the system.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }
}

/// Sends processes a signal in one go, by a name that `kill` takes.
///
/// # Errors
/// `kill` can't be run.
pub fn signal_all<'a>(name: &str, processes: impl IntoIterator<Item = &'a RouterProcess>) -> io::Result<()> {
    let ids = processes.into_iter().map(|process| process.id().to_string());
    Command::new("kill").arg(name).args(ids).stderr(Stdio::null()).status().map(drop)
}
