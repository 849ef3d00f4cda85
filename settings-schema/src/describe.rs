//! The table in words, for the help: every section and directive, its default and whether it is taken over live.

use std::fmt::Write;

use crate::schema::{Directive, Need, Repeat, Section, Takes};

/// All that may stand in a file.
pub fn describe(section: &Section) -> String {
    let mut text = String::new();
    write_section(section, 0, &mut text);
    text
}

fn write_section(section: &Section, depth: usize, text: &mut String) {
    let indent = "    ".repeat(depth);
    for directive in section.directives {
        let _ = writeln!(text, "{indent}{:<20} {}", directive.name, directive.about);
        let _ = writeln!(text, "{indent}{:<20}   {}", "", facts(directive));
    }
    for inner in section.sections {
        let off = if inner.always { "" } else { "; off unless it stands" };
        let _ = writeln!(text, "{indent}{} {{    # {}{off}", inner.name, inner.about);
        write_section(inner, depth + 1, text);
        let _ = writeln!(text, "{indent}}}");
    }
}

fn facts(directive: &Directive) -> String {
    let kinds: Vec<String> = directive.words.iter().map(|k| k.expects()).collect();
    let mut facts = kinds.join(", then ");
    if directive.rest {
        facts.push_str(", any number of them");
    }
    match directive.need {
        Need::Required => facts.push_str("; must be given"),
        Need::Default(words) => {
            let _ = write!(facts, "; default {}", words.join(" "));
        }
        Need::Optional => {}
    }
    if directive.repeat == Repeat::Many {
        facts.push_str("; any number of times");
    }
    facts.push_str(if directive.takes == Takes::Now { "; live" } else { "; takes a restart" });
    facts
}
