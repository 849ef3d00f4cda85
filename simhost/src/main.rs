//! Runs the balancer behind the simulator's text protocol on standard input and output. Each simulated router has its own
//! [`Balancer`]; the balancers share no state.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

use tallypin::api::{Action, Event, Nanos};
use tallypin::Balancer;
use wire::{Fields, MalformedLine, ReplicaNames};

/// A simulated router: its balancer and the names of its replicas.
struct Instance {
    balancer: Balancer,
    names: ReplicaNames,
}

/// All simulated routers, and the reply to the current batch.
#[derive(Default)]
struct Instances {
    now: Nanos,
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
    reply: String,
}

impl Instances {
    /// Handles one line of a batch. A list event also reads its rows from `lines`.
    fn handle_line(&mut self, line: &str, lines: &mut InputLines) -> io::Result<Result<(), MalformedLine>> {
        let fields = Fields::new(line);
        let router = match fields.message() {
            "BORN" | "KILLED" | "BACKENDS_CHANGED" | "DEMAND" | "STREAMING" | "FINISHED" | "VANISHED"
            | "WAKEUP" | "PROBE_DONE" | "PEER" => match fields.router() {
                Ok(router) => router,
                Err(error) => return Ok(Err(error)),
            },
            _ => return Ok(Ok(())),
        };
        if fields.message() == "BACKENDS_CHANGED" {
            return self.handle_list(router, &fields, lines);
        }
        Ok(self.handle_message(router, &fields))
    }

    fn handle_message(&mut self, router: u32, fields: &Fields) -> Result<(), MalformedLine> {
        match fields.message() {
            "BORN" => {
                let (seed, settings) = wire::parse_born(fields)?;
                let balancer = Balancer::new(settings, seed).map_err(|error| MalformedLine {
                    message: "BORN".into(),
                    field: "ProfileData".into(),
                    reason: error.to_string(),
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
                    self.handle_event(router, event);
                }
            }
        }
        Ok(())
    }

    fn handle_list(
        &mut self,
        router: u32,
        fields: &Fields,
        lines: &mut InputLines,
    ) -> io::Result<Result<(), MalformedLine>> {
        let (kind, count) = match wire::parse_list(fields) {
            Ok(head) => head,
            Err(error) => return Ok(Err(error)),
        };
        let mut names = ReplicaNames::default();
        let instance = self.instances.get_mut(&router);
        let names = instance.map_or(&mut names, |instance| &mut instance.names);
        let mut entries = Vec::new();
        for _ in 0..count {
            let Some(line) = lines.next_line()? else { break };
            match wire::parse_row(line, names) {
                Ok(row) => entries.push(row),
                Err(error) => return Ok(Err(MalformedLine { router: Some(router), ..error })),
            }
        }
        self.handle_event(router, Event::EndpointList { kind, entries });
        Ok(Ok(()))
    }

    fn handle_event(&mut self, router: u32, event: Event) {
        let Some(instance) = self.instances.get_mut(&router) else { return };
        let (now, actions) = (self.now, &mut self.actions);
        let result = catch_unwind(AssertUnwindSafe(|| instance.balancer.handle(now, event, actions)));
        for action in self.actions.drain(..) {
            wire::write_action(router, &action, &instance.names, &mut self.reply);
        }
        if let Err(panic) = result {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            self.report_broken_instance(router, text);
        }
    }

    fn report_broken_instance(&mut self, router: u32, text: &str) {
        self.reply.push_str(&format!("BROKEN Who=gateway-{router} NoteText={}\n", text.replace('\n', " ")));
    }
}

/// Lines of standard input, with the number of the current line.
struct InputLines {
    input: io::BufReader<io::Stdin>,
    buffer: String,
    number: u64,
}

impl InputLines {
    fn next_line(&mut self) -> io::Result<Option<&str>> {
        self.buffer.clear();
        self.number += 1;
        let read = self.input.read_line(&mut self.buffer)?;
        Ok((read > 0).then(|| self.buffer.trim_end_matches(['\n', '\r'])))
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("tallypin-simhost: {error}");
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
    let mut instances = Instances::default();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    while let Some(next) = lines.next_line()? {
        line.clear();
        line.push_str(next);
        let number = lines.number;
        let result = match line.split(' ').next() {
            Some("BATCH") => wire::parse_batch_time(&Fields::new(&line)).map(|now| instances.now = now),
            Some("FLUSH") => {
                instances.reply.push_str("END\n");
                output.write_all(instances.reply.as_bytes())?;
                output.flush()?;
                instances.reply.clear();
                Ok(())
            }
            _ => instances.handle_line(&line, &mut lines)?,
        };
        if let Err(error) = result {
            let text = format!("line {number}: {error}");
            match error.router {
                Some(router) => instances.report_broken_instance(router, &text),
                None => {
                    eprintln!("tallypin-simhost: {text}");
                    return Ok(ExitCode::from(2));
                }
            }
        }
    }
    Ok(ExitCode::SUCCESS)
}
