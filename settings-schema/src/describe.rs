//! The help text of a schema: every section and directive, its default, and whether changes take effect on reload.

use std::fmt::Write;

use crate::schema::{Directive, Presence, Repeat, Section, TakesEffect};

/// Returns the help text for all sections and directives of a file.
pub fn describe(section: &Section) -> String {
    let mut text = String::new();
    write_section(section, 0, &mut text);
    text
}

fn write_section(section: &Section, depth: usize, text: &mut String) {
    let indent = "    ".repeat(depth);
    for directive in section.directives {
        let _ = writeln!(text, "{indent}{:<20} {}", directive.name, directive.about);
        let _ = writeln!(text, "{indent}{:<20}   {}", "", summary(directive));
    }
    for inner in section.sections {
        let off = if inner.always_present { "" } else { "; off unless it stands" };
        let _ = writeln!(text, "{indent}{} {{    # {}{off}", inner.name, inner.about);
        write_section(inner, depth + 1, text);
        let _ = writeln!(text, "{indent}}}");
    }
}

/// The argument kinds, default, repetition and effect of a change, in one line.
fn summary(directive: &Directive) -> String {
    let kinds: Vec<String> = directive.arguments.iter().map(|k| k.expects()).collect();
    let mut summary = kinds.join(", then ");
    if directive.repeats_last {
        summary.push_str(", any number of them");
    }
    match directive.presence {
        Presence::Required => summary.push_str("; must be given"),
        Presence::Default(arguments) => {
            let _ = write!(summary, "; default {}", arguments.join(" "));
        }
        Presence::Optional => {}
    }
    if directive.repeat == Repeat::Many {
        summary.push_str("; any number of times");
    }
    summary.push_str(if directive.takes_effect == TakesEffect::OnReload {
        "; live"
    } else {
        "; takes a restart"
    });
    summary
}
