//! Hosts tallypin balancers on the bench's text wire: standard input to standard output, one
//! [`Balancer`] per instance, nothing shared among them.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use tallypin::api::{Action, Event, Nanos};
use tallypin::Balancer;
use wire::{Fields, Malformed, Names};

struct Instance {
    balancer: Balancer,
    names: Names,
}

#[derive(Default)]
struct Host {
    now: Nanos,
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    /// Takes one line of a batch; a list event also takes its rows from `lines`.
    fn take(&mut self, line: &str, lines: &mut Lines) -> io::Result<Result<(), Malformed>> {
        let f = Fields::new(line);
        let who = match f.message() {
            "BORN" | "KILLED" | "BACKENDS_CHANGED" | "DEMAND" | "STREAMING" | "FINISHED" | "VANISHED"
            | "WAKEUP" | "PROBE_DONE" | "PEER" => match f.who() {
                Ok(who) => who,
                Err(e) => return Ok(Err(e)),
            },
            _ => return Ok(Ok(())),
        };
        if f.message() == "BACKENDS_CHANGED" {
            return self.take_list(who, &f, lines);
        }
        Ok(self.take_plain(who, &f))
    }

    fn take_plain(&mut self, who: u32, f: &Fields) -> Result<(), Malformed> {
        match f.message() {
            "BORN" => {
                let (seed, settings) = wire::parse_born(f)?;
                let balancer = Balancer::new(settings, seed).map_err(|e| Malformed {
                    message: "BORN".into(),
                    field: "ProfileData".into(),
                    why: e.to_string(),
                    who: Some(who),
                })?;
                self.instances.insert(who, Instance { balancer, names: Names::default() });
            }
            "KILLED" => {
                self.instances.remove(&who);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(&who) else { return Ok(()) };
                if let Some(event) = wire::parse_event(f, &mut instance.names)? {
                    self.handle(who, event);
                }
            }
        }
        Ok(())
    }

    fn take_list(&mut self, who: u32, f: &Fields, lines: &mut Lines) -> io::Result<Result<(), Malformed>> {
        let (kind, count) = match wire::parse_list(f) {
            Ok(head) => head,
            Err(e) => return Ok(Err(e)),
        };
        let mut names = Names::default();
        let known = self.instances.get_mut(&who);
        let names = known.map_or(&mut names, |i| &mut i.names);
        let mut rows = Vec::new();
        for _ in 0..count {
            let Some(line) = lines.next()? else { break };
            match wire::parse_row(line, names) {
                Ok(row) => rows.push(row),
                Err(e) => return Ok(Err(Malformed { who: Some(who), ..e })),
            }
        }
        self.handle(who, Event::EndpointList { kind, rows });
        Ok(Ok(()))
    }

    fn handle(&mut self, who: u32, event: Event) {
        let Some(instance) = self.instances.get_mut(&who) else { return };
        let (now, actions) = (self.now, &mut self.actions);
        let done = catch_unwind(AssertUnwindSafe(|| instance.balancer.handle(now, event, actions)));
        for action in self.actions.drain(..) {
            wire::write_action(who, &action, &instance.names, &mut self.reply);
        }
        if let Err(panic) = done {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            self.broken(who, text);
        }
    }

    fn broken(&mut self, who: u32, text: &str) {
        self.reply.push_str(&format!("BROKEN Who=gateway-{who} NoteText={}\n", text.replace('\n', " ")));
    }
}

/// Standard input, line by line, counted.
struct Lines {
    input: io::BufReader<io::Stdin>,
    buffer: String,
    number: u64,
}

impl Lines {
    fn next(&mut self) -> io::Result<Option<&str>> {
        self.buffer.clear();
        self.number += 1;
        let read = self.input.read_line(&mut self.buffer)?;
        Ok((read > 0).then(|| self.buffer.trim_end_matches(['\n', '\r'])))
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(e) => {
            eprintln!("tallypin-simhost: {e}");
            ExitCode::from(2)
        }
    }
}

fn run() -> io::Result<ExitCode> {
    std::panic::set_hook(Box::new(|info| eprintln!("{info}")));
    let mut lines =
        Lines { input: io::BufReader::with_capacity(1 << 20, io::stdin()), buffer: String::new(), number: 0 };
    let mut host = Host::default();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    while let Some(next) = lines.next()? {
        line.clear();
        line.push_str(next);
        let number = lines.number;
        let taken = match line.split(' ').next() {
            Some("BATCH") => wire::parse_batch(&Fields::new(&line)).map(|now| host.now = now),
            Some("FLUSH") => {
                host.reply.push_str("END\n");
                output.write_all(host.reply.as_bytes())?;
                output.flush()?;
                host.reply.clear();
                Ok(())
            }
            _ => host.take(&line, &mut lines)?,
        };
        if let Err(e) = taken {
            let text = format!("line {number}: {e}");
            match e.who {
                Some(who) => host.broken(who, &text),
                None => {
                    eprintln!("tallypin-simhost: {text}");
                    return Ok(ExitCode::from(2));
                }
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
