//! All simulated routers of the process. The current instance of each has its own [`Balancer`]; instances share no state.

use std::collections::BTreeMap;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

use tallypin::api::{Action, Event, Nanos};
use tallypin::Balancer;

use crate::batch_reply::{BatchReply, RouterNumber};
use crate::input_lines::InputLines;
use crate::wire::{self, Fields, MalformedLine, ReplicaNames};

/// One incarnation of a simulated router, from its birth until it is killed: its balancer and the names of its replicas.
struct Instance {
    balancer: Balancer,
    names: ReplicaNames,
}

/// The running instances, and the reply to the current batch.
#[derive(Default)]
pub struct Instances {
    now: Nanos,
    instances: BTreeMap<RouterNumber, Instance>,
    actions: Vec<Action>,
    reply: BatchReply,
}

impl Instances {
    /// Begins a batch at this time.
    pub fn begin_batch(&mut self, now: Nanos) {
        self.now = now;
    }

    /// Ends the batch: sends its reply.
    ///
    /// # Errors
    /// The output cannot be written.
    pub fn end_batch(&mut self, output: &mut impl io::Write) -> io::Result<()> {
        self.reply.send(output)
    }

    /// Handles one line of a batch. A list event also reads its rows from `lines`.
    ///
    /// # Errors
    /// The input cannot be read.
    pub fn handle_line(
        &mut self,
        line: &str,
        lines: &mut InputLines,
    ) -> io::Result<Result<(), MalformedLine>> {
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

    /// Reports an error in the name of a router: in the reply, and in the log, which keeps it if the router is killed later in
    /// the batch.
    pub fn report_broken_instance(&mut self, router: RouterNumber, text: &str) {
        let text = text.replace('\n', " ");
        eprintln!("tallypin-simhost: gateway-{router}: {text}");
        self.reply.append(router, |reply| wire::write_broken(router, &text, reply));
    }

    fn handle_message(&mut self, router: RouterNumber, fields: &Fields) -> Result<(), MalformedLine> {
        match fields.message() {
            "BORN" => self.start_instance(router, fields)?,
            "KILLED" => self.end_instance(router),
            _ => {
                let Some(instance) = self.instances.get_mut(&router) else { return Ok(()) };
                if let Some(event) = wire::parse_event(fields, &mut instance.names)? {
                    self.handle_event(router, event);
                }
            }
        }
        Ok(())
    }

    /// Starts an instance of a router. If the former one was not killed, it ends here.
    fn start_instance(&mut self, router: RouterNumber, fields: &Fields) -> Result<(), MalformedLine> {
        self.end_instance(router);
        let (seed, settings) = wire::parse_born(fields)?;
        let balancer = Balancer::new(settings, seed).map_err(|error| MalformedLine {
            message: "BORN".into(),
            field: "ProfileData".into(),
            reason: error.to_string(),
            router: Some(router),
        })?;
        self.instances.insert(router, Instance { balancer, names: ReplicaNames::default() });
        Ok(())
    }

    /// Ends the instance of a router. Nothing of it remains, nor what it has written in this batch.
    fn end_instance(&mut self, router: RouterNumber) {
        self.instances.remove(&router);
        self.reply.withdraw(router);
    }

    fn handle_list(
        &mut self,
        router: RouterNumber,
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

    fn handle_event(&mut self, router: RouterNumber, event: Event) {
        let Some(instance) = self.instances.get_mut(&router) else { return };
        let (now, actions) = (self.now, &mut self.actions);
        let result = catch_unwind(AssertUnwindSafe(|| instance.balancer.handle(now, event, actions)));
        self.reply.append(router, |reply| {
            for action in actions.drain(..) {
                wire::write_action(router, &action, &instance.names, reply);
            }
        });
        if let Err(panic) = result {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            self.report_broken_instance(router, text);
        }
    }
}
