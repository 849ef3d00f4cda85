//! Runs the balancer behind the simulator's text protocol on standard input and output.
//!
//! | module | what it does |
//! | --- | --- |
//! | `wire` | converts between lines and the balancer's events and actions |
//! | `input_lines` | reads lines |
//! | `instances` | starts, drives and ends the instances of the simulated routers |
//! | `batch_reply` | collects the reply to a batch, without what killed instances have written |

mod batch_reply;
mod input_lines;
mod instances;
mod wire;

use std::io;
use std::process::ExitCode;

use input_lines::InputLines;
use instances::Instances;
use wire::Fields;

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
    let mut lines = InputLines::from_stdin();
    let mut instances = Instances::default();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    while let Some(next) = lines.next_line()? {
        line.clear();
        line.push_str(next);
        let number = lines.number();
        let result = match line.split(' ').next() {
            Some("BATCH") => {
                wire::parse_batch_time(&Fields::new(&line)).map(|now| instances.begin_batch(now))
            }
            Some("FLUSH") => {
                instances.end_batch(&mut output)?;
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
