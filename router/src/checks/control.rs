//! The operator's orders over a Unix socket: one line of words in, one line of JSON out. The file's permissions
//! are the guard.

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

use super::{Board, CheckContext};
use crate::installation::ControlSettings;

/// The longest line, and the longest of an order to the fleet, which names its routers.
const LONGEST: usize = 256;
const LONGEST_TO_FLEET: u64 = 16 << 10;
/// A line must be whole within this.
const BUDGET: Duration = Duration::from_secs(1);
/// Connections at once.
const MOST: usize = 4;

/// Who carries out orders to the fleet; it answers within a time of its own.
pub type ToFleet = Rc<dyn Fn(String) -> Pin<Box<dyn Future<Output = Value>>>>;

/// An order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Tell the state.
    Show,
    /// Drain, and stay or end.
    Drain {
        /// End when drained.
        end: bool,
    },
    /// Serve again.
    Ready,
    /// Out of service.
    Maint,
    /// Want so much weight at the most, percent.
    Weight(u8),
    /// An order to the fleet: the words behind `fleet`.
    Fleet(String),
}

/// Reads a line.
pub fn read(line: &str) -> Result<Command, String> {
    let words: Vec<&str> = line.split_ascii_whitespace().collect();
    match words[..] {
        ["show"] => Ok(Command::Show),
        ["drain"] => Ok(Command::Drain { end: false }),
        ["drain", "end"] => Ok(Command::Drain { end: true }),
        ["ready"] => Ok(Command::Ready),
        ["maint"] => Ok(Command::Maint),
        ["weight", share] => {
            let digits = share.strip_suffix('%').unwrap_or("");
            let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            let share = digits.parse().ok().filter(|n| plain && (1..=100).contains(n));
            share.map(Command::Weight).ok_or("weight takes a share from 1% to 100%".into())
        }
        ["fleet", ref words @ ..] => Ok(Command::Fleet(words.join(" "))),
        [] => Err("no order".into()),
        _ => {
            Err("no such order; there are show, drain, drain end, ready, maint, weight N% and fleet ORDER"
                .into())
        }
    }
}

/// The socket, gone with this.
pub struct Control {
    listener: UnixListener,
    path: PathBuf,
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

impl Control {
    /// Binds the socket. One that a router left behind is replaced; one that still answers is an error.
    pub async fn bind(settings: &ControlSettings) -> io::Result<Control> {
        let path = settings.socket.clone();
        let of = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
        if UnixStream::connect(&path).await.is_ok() {
            return Err(of(io::Error::new(io::ErrorKind::AddrInUse, "another router answers there")));
        }
        // Under another name until its permissions stand: for a moment it would else be anybody's.
        let mut hidden = path.clone().into_os_string();
        hidden.push(format!(".{}", std::process::id()));
        let hidden = Path::new(&hidden);
        let _ = std::fs::remove_file(hidden);
        let listener = UnixListener::bind(hidden).map_err(of)?;
        let moved = std::fs::set_permissions(hidden, std::fs::Permissions::from_mode(settings.mode))
            .and_then(|()| std::fs::rename(hidden, &path));
        if let Err(e) = moved {
            let _ = std::fs::remove_file(hidden);
            return Err(of(e));
        }
        Ok(Control { listener, path })
    }

    /// Takes orders. Ends never.
    pub async fn serve(self, context: Rc<CheckContext>, board: Rc<Board>, fleet: Option<ToFleet>) {
        let places = std::sync::Arc::new(Semaphore::new(MOST));
        loop {
            let Ok(place) = places.clone().acquire_owned().await else { return };
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(5)).await;
                continue;
            };
            let (context, board, fleet) = (context.clone(), board.clone(), fleet.clone());
            tokio::task::spawn_local(async move {
                let _ = one(stream, &context, &board, fleet).await;
                drop(place);
            });
        }
    }
}

async fn one(
    mut stream: UnixStream,
    context: &Rc<CheckContext>,
    board: &Rc<Board>,
    fleet: Option<ToFleet>,
) -> io::Result<()> {
    let (reader, mut writer) = stream.split();
    let mut line = String::new();
    let read_line =
        timeout(BUDGET, BufReader::new(reader.take(LONGEST_TO_FLEET)).read_line(&mut line)).await?;
    let fits = line.len() <= LONGEST || line.starts_with("fleet ");
    let answer = match read_line {
        Ok(_) if fits && line.ends_with('\n') => match read(&line) {
            Ok(Command::Fleet(words)) => match fleet {
                Some(fleet) => fleet(words).await,
                None => {
                    json!({"done": false, "why": "this router is of no fleet: the settings have no section `fleet`"})
                }
            },
            Ok(command) => obey(command, context, board),
            Err(why) => json!({"done": false, "why": why}),
        },
        _ => json!({"done": false, "why": "no whole line of text"}),
    };
    timeout(BUDGET, writer.write_all(format!("{answer}\n").as_bytes())).await?
}

/// Carries an order out.
pub fn obey(command: Command, context: &Rc<CheckContext>, board: &Rc<Board>) -> Value {
    let (wish, order) = match command {
        Command::Show => return show(context, board),
        Command::Weight(most) => {
            board.bound_weight(most);
            tracing::info!(target: "control", most, "weight bounded by the operator");
            return json!({"done": true, "most": most});
        }
        Command::Drain { end: false } => (DrainGoal::Drain, OperatorOrder::Drain),
        Command::Drain { end: true } => (DrainGoal::DrainThenExit, OperatorOrder::Drain),
        Command::Ready => (DrainGoal::Serve, OperatorOrder::Ready),
        Command::Maint => (DrainGoal::Drain, OperatorOrder::Maintenance),
        Command::Fleet(_) => return json!({"done": false, "why": "not an order to one router"}),
    };
    if !board.want(wish, order) {
        return json!({"done": false, "why": "too late: the router is ending"});
    }
    super::signals::follow(&context.lifecycle, board.phase());
    tracing::info!(target: "control", order = ?order, wish = ?wish, "ordered by the operator");
    let untold = board.askers().iter().filter(|a| !a.notified).count();
    let waits = if board.phase() == DrainPhase::Notifying { untold } else { 0 };
    json!({"done": true, "state": board.assessment().state.name(), "balancers_to_tell": waits})
}

fn show(context: &Rc<CheckContext>, board: &Rc<Board>) -> Value {
    let now = board.assessment();
    let ms = |d: Duration| d.as_millis() as u64;
    let asker = |a: &tallypin_health::checkers::CheckerStatus| {
        json!({"from": a.id.ip.to_string(), "by": a.id.protocol.name(), "asked_ms_ago": ms(a.last_check_ago),
            "interval_ms": a.interval.map(ms), "told": a.notified})
    };
    let parts: Vec<Value> =
        board.parts().iter().map(|p| json!({"name": p.name, "well": p.healthy, "note": p.note})).collect();
    let (answered, spoilt) = board.checks();
    let tallies = context.dispatcher.with(|core, _| core.counts().clone());
    json!({
        "done": true, "state": now.state.name(), "weight": now.weight, "cause": now.cause.description(),
        "most": board.bound(), "phase": board.phase().name(),
        "untold": board.untold(),
        "balancers": board.askers().iter().map(asker).collect::<Vec<_>>(), "parts": parts,
        "checks": {"answered": answered, "spoilt": spoilt},
        "clients": context.clients.open(), "open": context.dispatcher.with(|core, _| core.open_requests()),
        "taken": tallies.accepted, "served": tallies.completed, "refused": tallies.rejected,
        "failed": tallies.failed, "broken": tallies.interrupted, "left": tallies.client_disconnects,
    })
}
