//! The control socket for operators' orders: a Unix socket that takes one line of text and answers with one line of JSON.
//! Access is controlled by the permissions of the socket file.

use std::future::Future;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tallypin_health::assessment::OperatorOrder;
use tallypin_health::drain_sequence::{DrainGoal, DrainPhase};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::{CheckContext, HealthMonitor};
use crate::installation::ControlSettings;

/// Maximum length of an order, in bytes.
const MAX_ORDER_BYTES: usize = 256;
/// Maximum length of an order to the fleet, which lists routers, in bytes.
const MAX_FLEET_ORDER_BYTES: u64 = 16 << 10;
/// Time within which an order must be received, and within which its answer must be written.
const IO_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of connections at once.
const MAX_CONNECTIONS: usize = 4;

/// Executes orders to the fleet. It applies a time limit of its own.
pub type FleetOrderHandler = Rc<dyn Fn(String) -> Pin<Box<dyn Future<Output = Value>>>>;

/// An operator's order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Show the router's state.
    Show,
    /// Drain the router.
    Drain {
        /// Whether the program exits once the router is drained.
        end: bool,
    },
    /// Return the router to service.
    Ready,
    /// Take the router out of service for maintenance.
    Maint,
    /// Limit the advertised weight, in percent.
    Weight(u8),
    /// Execute an order to the fleet: the text after `fleet`.
    Fleet(String),
}

/// Parses an order.
pub fn parse(line: &str) -> Result<Command, String> {
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    match words[..] {
        ["show"] => Ok(Command::Show),
        ["drain"] => Ok(Command::Drain { end: false }),
        ["drain", "end"] => Ok(Command::Drain { end: true }),
        ["ready"] => Ok(Command::Ready),
        ["maint"] => Ok(Command::Maint),
        ["weight", share] => {
            let digits = share.strip_suffix('%').unwrap_or("");
            let is_number = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            let percent = digits.parse().ok().filter(|n| is_number && (1..=100).contains(n));
            percent.map(Command::Weight).ok_or("weight: expected a share from 1% to 100%".into())
        }
        ["fleet", ref words @ ..] => Ok(Command::Fleet(words.join(" "))),
        [] => Err("the order is empty".into()),
        _ => {
            Err("unknown order; expected show, drain, drain end, ready, maint, weight N% or fleet ORDER"
                .into())
        }
    }
}

/// The bound control socket. Dropping it removes the socket file.
pub struct ControlSocket {
    listener: UnixListener,
    path: PathBuf,
}

impl Drop for ControlSocket {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl ControlSocket {
    /// Binds the socket. A socket file left by an ended router is replaced; one on which a router listens is an error.
    pub async fn bind(settings: &ControlSettings) -> io::Result<ControlSocket> {
        let path = settings.socket.clone();
        let with_path = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        if UnixStream::connect(&path).await.is_ok() {
            return Err(with_path(io::Error::new(io::ErrorKind::AddrInUse, "another router answers there")));
        }
        // The socket is bound under a temporary name until its permissions are set: otherwise any user could connect in
        // between.
        let mut temporary = path.clone().into_os_string();
        temporary.push(format!(".{}", std::process::id()));
        let temporary = Path::new(&temporary);
        let _ = std::fs::remove_file(temporary);
        let listener = UnixListener::bind(temporary).map_err(with_path)?;
        let renamed = std::fs::set_permissions(temporary, std::fs::Permissions::from_mode(settings.mode))
            .and_then(|()| std::fs::rename(temporary, &path));
        if let Err(e) = renamed {
            let _ = std::fs::remove_file(temporary);
            return Err(with_path(e));
        }
        Ok(ControlSocket { listener, path })
    }

    /// Accepts connections and executes their orders. Never returns.
    pub async fn serve(
        self,
        context: Rc<CheckContext>,
        health_monitor: Rc<HealthMonitor>,
        fleet: Option<FleetOrderHandler>,
    ) {
        let permits = std::sync::Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            };
            let (context, health_monitor, fleet) = (context.clone(), health_monitor.clone(), fleet.clone());
            tokio::task::spawn_local(async move {
                let _ = serve_connection(stream, &context, &health_monitor, fleet).await;
                drop(permit);
            });
        }
    }
}

async fn serve_connection(
    mut stream: UnixStream,
    context: &Rc<CheckContext>,
    health_monitor: &Rc<HealthMonitor>,
    fleet: Option<FleetOrderHandler>,
) -> io::Result<()> {
    let (reader, mut writer) = stream.split();
    let mut line = String::new();
    let read_line =
        timeout(IO_TIMEOUT, BufReader::new(reader.take(MAX_FLEET_ORDER_BYTES)).read_line(&mut line)).await?;
    let fits = line.len() <= MAX_ORDER_BYTES || line.starts_with("fleet ");
    let answer = match read_line {
        Ok(_) if fits && line.ends_with('\n') => match parse(&line) {
            Ok(Command::Fleet(words)) => match fleet {
                Some(fleet) => fleet(words).await,
                None => {
                    json!({"done": false, "why": "this router belongs to no fleet: its settings have no section `fleet`"})
                }
            },
            Ok(command) => execute(command, context, health_monitor),
            Err(why) => json!({"done": false, "why": why}),
        },
        _ => json!({"done": false, "why": "the order is not one complete line of text"}),
    };
    timeout(IO_TIMEOUT, writer.write_all(format!("{answer}\n").as_bytes())).await?
}

/// Executes an order, and returns its answer.
pub fn execute(command: Command, context: &Rc<CheckContext>, health_monitor: &Rc<HealthMonitor>) -> Value {
    let (goal, order) = match command {
        Command::Show => return show(context, health_monitor),
        Command::Weight(most) => {
            health_monitor.set_max_weight(most);
            tracing::info!(target: "control", most, "operator limited the weight");
            return json!({"done": true, "most": most});
        }
        Command::Drain { end: false } => (DrainGoal::Drain, OperatorOrder::Drain),
        Command::Drain { end: true } => (DrainGoal::DrainThenExit, OperatorOrder::Drain),
        Command::Ready => (DrainGoal::Serve, OperatorOrder::Ready),
        Command::Maint => (DrainGoal::Drain, OperatorOrder::Maintenance),
        Command::Fleet(_) => {
            return json!({"done": false, "why": "the order is for the fleet, not for one router"})
        }
    };
    if !health_monitor.set_drain_goal(goal, order) {
        return json!({"done": false, "why": "too late: the router is shutting down"});
    }
    super::signals::apply_drain_phase(&context.lifecycle, health_monitor.drain_phase());
    tracing::info!(target: "control", order = ?order, wish = ?goal, "operator order accepted");
    let unnotified = health_monitor.checkers().iter().filter(|checker| !checker.notified).count();
    let pending = if health_monitor.drain_phase() == DrainPhase::Notifying { unnotified } else { 0 };
    json!({"done": true, "state": health_monitor.assessment().state.name(), "balancers_to_tell": pending})
}

fn show(context: &Rc<CheckContext>, health_monitor: &Rc<HealthMonitor>) -> Value {
    let assessment = health_monitor.assessment();
    let ms = |d: Duration| d.as_millis() as u64;
    let checker = |c: &tallypin_health::checkers::CheckerStatus| {
        json!({"from": c.id.ip.to_string(), "by": c.id.protocol.name(), "asked_ms_ago": ms(c.last_check_ago),
            "interval_ms": c.interval.map(ms), "told": c.notified})
    };
    let components: Vec<Value> = health_monitor
        .components()
        .iter()
        .map(|c| json!({"name": c.name, "well": c.healthy, "note": c.note}))
        .collect();
    let (answered, invalid) = health_monitor.check_counts();
    let counts = context.dispatcher.with_core(|core, _| core.counts().clone());
    json!({
        "done": true, "state": assessment.state.name(), "weight": assessment.weight,
        "cause": assessment.cause.description(),
        "most": health_monitor.max_weight(), "phase": health_monitor.drain_phase().name(),
        "untold": health_monitor.notification_timed_out(),
        "balancers": health_monitor.checkers().iter().map(checker).collect::<Vec<_>>(), "parts": components,
        "checks": {"answered": answered, "spoilt": invalid},
        "clients": context.clients.open(), "open": context.dispatcher.with_core(|core, _| core.open_requests()),
        "taken": counts.accepted, "served": counts.completed, "refused": counts.rejected,
        "failed": counts.failed, "broken": counts.interrupted, "left": counts.client_disconnects,
    })
}
