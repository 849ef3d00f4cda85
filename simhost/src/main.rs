//! The decisions on the simulator's text protocol, standard input to standard output: one [`Balancer`] for each router
//! that the simulator plays, nothing shared among them.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use tallypin::api::{Action, Event, Nanos};
use tallypin::Balancer;
use wire::{Fields, MalformedLine, ReplicaNames};

struct Instance {
    balancer: Balancer,
    names: ReplicaNames,
}

#[derive(Default)]
struct Instances {
    now: Nanos,
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
    reply: String,
}

impl Instances {
    /// Takes one line of a batch; a list event also takes its rows from `lines`.
    fn take(&mut self, line: &str, lines: &mut InputLines) -> io::Result<Result<(), MalformedLine>> {
        let fields = Fields::new(line);
        let router = match fields.message() {
            "BORN" | "KILLED" | "BACKENDS_CHANGED" | "DEMAND" | "STREAMING" | "FINISHED" | "VANISHED"
            | "WAKEUP" | "PROBE_DONE" | "PEER" => match fields.router() {
                Ok(router) => router,
                Err(e) => return Ok(Err(e)),
            },
            _ => return Ok(Ok(())),
        };
        if fields.message() == "BACKENDS_CHANGED" {
            return self.take_list(router, &fields, lines);
        }
        Ok(self.take_message(router, &fields))
    }

    fn take_message(&mut self, router: u32, fields: &Fields) -> Result<(), MalformedLine> {
        match fields.message() {
            "BORN" => {
                let (seed, settings) = wire::parse_born(fields)?;
                let balancer = Balancer::new(settings, seed).map_err(|e| MalformedLine {
                    message: "BORN".into(),
                    field: "ProfileData".into(),
                    reason: e.to_string(),
                    router: Some(router),
                })?;
                self.instances.insert(router, Instance { balancer, names: ReplicaNames::default() });
            }
            "KILLED" => {
                self.instances.remove(&router);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(&router) else { return Ok(()) };
                if let Some(event) = wire::parse_event(fields, &mut instance.names)? {
                    self.handle(router, event);
                }
            }
        }
        Ok(())
    }

    fn take_list(
        &mut self,
        router: u32,
        fields: &Fields,
        lines: &mut InputLines,
    ) -> io::Result<Result<(), MalformedLine>> {
        let (kind, count) = match wire::parse_list(fields) {
            Ok(head) => head,
            Err(e) => return Ok(Err(e)),
        };
        let mut names = ReplicaNames::default();
        let known = self.instances.get_mut(&router);
        let names = known.map_or(&mut names, |i| &mut i.names);
        let mut rows = Vec::new();
        for _ in 0..count {
            let Some(line) = lines.next()? else { break };
            match wire::parse_row(line, names) {
                Ok(row) => rows.push(row),
                Err(e) => return Ok(Err(MalformedLine { router: Some(router), ..e })),
            }
        }
        self.handle(router, Event::EndpointList { kind, rows });
        Ok(Ok(()))
    }

    fn handle(&mut self, router: u32, event: Event) {
        let Some(instance) = self.instances.get_mut(&router) else { return };
        let (now, actions) = (self.now, &mut self.actions);
        let done = catch_unwind(AssertUnwindSafe(|| instance.balancer.handle(now, event, actions)));
        for action in self.actions.drain(..) {
            wire::write_action(router, &action, &instance.names, &mut self.reply);
        }
        if let Err(panic) = done {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            self.report_broken(router, text);
        }
    }

    fn report_broken(&mut self, router: u32, text: &str) {
        self.reply.push_str(&format!("BROKEN Who=gateway-{router} NoteText={}\n", text.replace('\n', " ")));
    }
}

/// Standard input, line by line, counted.
struct InputLines {
    input: io::BufReader<io::Stdin>,
    buffer: String,
    number: u64,
}

impl InputLines {
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
    let mut lines = InputLines {
        input: io::BufReader::with_capacity(1 << 20, io::stdin()),
        buffer: String::new(),
        number: 0,
    };
    let mut host = Instances::default();
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
            match e.router {
                Some(router) => host.report_broken(router, &text),
                None => {
                    eprintln!("tallypin-simhost: {text}");
                    return Ok(ExitCode::from(2));
                }
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
