//! Checks a tree of sections against the schema; the result has parsed values and defaults.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ipnet::IpNet;

use crate::load::{Line, SectionTree};
use crate::problem::{Problem, SourceSpan};
use crate::schema::{Directive, Presence, Repeat, Section, TakesEffect};
use crate::value::{Kind, Value};

/// A directive that is given in a file, or that has its default arguments.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Declaration of the directive in the schema.
    pub directive: &'static Directive,
    /// Parsed values of the directive's arguments.
    pub values: Vec<Value>,
    /// Line of the file that contains the directive; `None` for a default.
    pub line: Option<Line>,
}

impl Entry {
    /// The position of a token: 0 is the name, 1 the first argument. The default position if no line gives the directive.
    pub fn span_of(&self, token: usize) -> SourceSpan {
        self.line.as_ref().map_or(SourceSpan::default(), |l| l.span_of(token))
    }

    /// Returns the argument at an index, from 0, if it is a text; an empty text otherwise.
    pub fn text(&self, argument: usize) -> &str {
        match self.values.get(argument) {
            Some(Value::Text(t)) => t,
            _ => "",
        }
    }
}

/// A checked section.
#[derive(Debug, Clone, PartialEq)]
pub struct Checked {
    /// Declaration of the section in the schema.
    pub section: &'static Section,
    /// Position of the line that opens the section.
    pub span: SourceSpan,
    /// The section's directives in the order of the schema; repeated directives in the order of the file.
    pub entries: Vec<Entry>,
    /// The sections nested in this section, in the order of the schema.
    pub sections: Vec<Checked>,
}

impl Checked {
    /// Returns the nested section of this name, if there is one.
    pub fn subsection(&self, name: &str) -> Option<&Checked> {
        self.sections.iter().find(|s| s.section.name == name)
    }

    /// Returns all entries of the directive of this name.
    pub fn entries_of<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a Entry> + use<'a, 'n> {
        self.entries.iter().filter(move |e| e.directive.name == name)
    }

    /// Returns the first entry of the directive of this name.
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        self.entries_of(name).next()
    }

    fn value(&self, name: &str) -> Option<&Value> {
        self.entry(name)?.values.first()
    }

    /// Returns the value of a directive that takes a duration; zero if it has none.
    pub fn duration(&self, name: &str) -> Duration {
        match self.value(name) {
            Some(Value::Duration(d)) => *d,
            _ => Duration::ZERO,
        }
    }

    /// Returns the value of a directive that takes a percentage, as a fraction from 0 to 1; 0 if it has none.
    pub fn share(&self, name: &str) -> f64 {
        match self.value(name) {
            Some(Value::Percent(p)) => p / 100.0,
            _ => 0.0,
        }
    }

    /// Returns the value of a directive that takes a number, a size or a file mode; 0 if it has none.
    pub fn number(&self, name: &str) -> u64 {
        match self.value(name) {
            Some(Value::Count(n) | Value::Size(n)) => *n,
            Some(Value::Mode(m)) => u64::from(*m),
            _ => 0,
        }
    }

    /// Whether a directive that takes `on` or `off` is on.
    pub fn is_on(&self, name: &str) -> bool {
        matches!(self.value(name), Some(Value::Switch(true)))
    }

    /// Returns the value of a directive that takes an address.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        match self.value(name) {
            Some(Value::Address(a)) => Some(*a),
            _ => None,
        }
    }

    /// Returns the value of a directive that takes a text; empty if it has none.
    pub fn text(&self, name: &str) -> &str {
        self.entry(name).map_or("", |e| e.text(0))
    }

    /// Returns the value of a directive that takes a path.
    pub fn path(&self, name: &str) -> Option<&Path> {
        match self.value(name) {
            Some(Value::Path(p)) => Some(p),
            _ => None,
        }
    }

    /// Returns the networks of all entries of a directive.
    pub fn networks(&self, name: &str) -> Vec<IpNet> {
        let values = self.entries_of(name).flat_map(|e| &e.values);
        values.filter_map(|v| if let Value::Network(n) = v { Some(*n) } else { None }).collect()
    }
}

/// Checks a section against the schema. Problems are appended to `problems`; valid entries are kept in any case.
pub fn check(tree: &SectionTree, section: &'static Section, problems: &mut Vec<Problem>) -> Checked {
    let span = tree.line.as_ref().map_or(SourceSpan::default(), |l| l.span);
    if let Some(line) = tree.line.as_ref().filter(|l| l.tokens.len() > 1) {
        problems
            .push(Problem::new(line.span_of(1), format!("section `{}` takes no arguments", section.name)));
    }
    let mut entries = given_entries(tree, section, problems);
    entries.extend(defaults(tree, section, span, problems));
    entries.sort_by_key(|e| section.directives.iter().position(|d| d.name == e.directive.name));
    let sections = inner_sections(tree, section, problems);
    Checked { section, span, entries, sections }
}

/// Returns the directives that the file contains in a section.
fn given_entries(tree: &SectionTree, section: &'static Section, problems: &mut Vec<Problem>) -> Vec<Entry> {
    let mut entries: Vec<Entry> = Vec::new();
    for line in &tree.lines {
        let Some(directive) = section.directives.iter().find(|d| d.name == line.name()) else {
            problems.push(unknown_name(line, section));
            continue;
        };
        let Some(values) = parse_arguments(line, directive, problems) else { continue };
        let is_duplicate = |e: &&Entry| match directive.repeat {
            Repeat::Once => e.directive.name == directive.name,
            Repeat::Many => e.directive.name == directive.name && e.values.first() == values.first(),
        };
        if let Some(first) = entries.iter().find(is_duplicate) {
            let first_line = first.line.as_ref().map_or(0, |l| l.span.line);
            let message = format!("`{}` is already given in line {first_line}", directive.name);
            problems.push(Problem::new(line.span, message));
            continue;
        }
        entries.push(Entry { directive, values, line: Some(line.clone()) });
    }
    entries
}

/// Returns the defaults of the directives that the file does not contain in a section; reports missing required ones.
fn defaults(
    tree: &SectionTree,
    section: &'static Section,
    span: SourceSpan,
    problems: &mut Vec<Problem>,
) -> Vec<Entry> {
    let mut entries = Vec::new();
    for directive in section.directives {
        if tree.lines.iter().any(|line| line.name() == directive.name) {
            continue;
        }
        match directive.presence {
            Presence::Required => {
                let message =
                    format!("section `{}` requires `{}`, which is missing", section.name, directive.name);
                problems.push(Problem::new(span, message));
            }
            Presence::Optional => {}
            Presence::Default(arguments) => {
                let values = default_values(directive, arguments).unwrap_or_default();
                entries.push(Entry { directive, values, line: None });
            }
        }
    }
    entries
}

/// Returns the sections nested in a section, in the order of the schema: those in the file, and those that always apply.
fn inner_sections(
    tree: &SectionTree,
    section: &'static Section,
    problems: &mut Vec<Problem>,
) -> Vec<Checked> {
    let mut sections: Vec<Checked> = Vec::new();
    for inner in &tree.sections {
        let Some(line) = &inner.line else { continue };
        match section.sections.iter().find(|s| s.name == line.name()) {
            Some(known) if sections.iter().any(|s| s.section.name == known.name) => {
                let message = format!("section `{}` is given more than once", known.name);
                problems.push(Problem::new(line.span, message));
            }
            Some(known) => sections.push(check(inner, known, problems)),
            None => problems.push(unknown_name(line, section)),
        }
    }
    for inner in section.sections.iter().filter(|s| s.always_present) {
        if !sections.iter().any(|s| s.section.name == inner.name) {
            sections.push(check(&SectionTree::default(), inner, problems));
        }
    }
    sections.sort_by_key(|s| section.sections.iter().position(|k| k.name == s.section.name));
    sections
}

/// Returns the problem for a name that the schema does not have in a section.
fn unknown_name(line: &Line, section: &Section) -> Problem {
    let name = line.name();
    let known: Vec<&str> = section.directives.iter().map(|d| d.name).collect();
    let inner: Vec<&str> = section.sections.iter().map(|s| s.name).collect();
    let message = match section.name {
        "" => format!("unknown directive or section `{name}`"),
        within => format!("unknown directive or section `{name}` in section `{within}`"),
    };
    let mut problem = Problem::new(line.span, message);
    if inner.contains(&name) {
        problem.help = Some(format!("`{name}` is a section, opened by `{name} {{`"));
        return problem;
    }
    if known.contains(&name) {
        problem.help = Some(format!("`{name}` is a directive and takes no braces"));
        return problem;
    }
    problem.suggest_closest(name, known.into_iter().chain(inner).chain(["include"]))
}

/// Returns the kind of the argument at an index, from 0.
fn argument_kind(directive: &Directive, argument: usize) -> Option<Kind> {
    let repeated = directive.arguments.last().copied().filter(|_| directive.repeats_last);
    directive.arguments.get(argument).copied().or(repeated)
}

/// Parses the default arguments of a directive.
fn default_values(directive: &Directive, arguments: &[&str]) -> Option<Vec<Value>> {
    arguments.iter().enumerate().map(|(i, text)| argument_kind(directive, i)?.parse(text)).collect()
}

/// Parses the arguments of a line; `None`, with the problems reported, if one is missing, malformed or too many.
fn parse_arguments(
    line: &Line,
    directive: &'static Directive,
    problems: &mut Vec<Problem>,
) -> Option<Vec<Value>> {
    let known_problems = problems.len();
    let mut values = Vec::new();
    for (i, token) in line.tokens.iter().enumerate().skip(1) {
        let Some(kind) = argument_kind(directive, i - 1) else {
            let count = directive.arguments.len();
            let message =
                format!("`{}` takes {count} argument{}", directive.name, if count == 1 { "" } else { "s" });
            problems.push(Problem::new(line.span_of(i), message));
            break;
        };
        match kind.parse(&token.text) {
            Some(value) => values.push(value),
            None => {
                let message =
                    format!("invalid argument of `{}`, expected {}", directive.name, kind.expects());
                let keywords = kind.keywords().iter().copied();
                problems.push(Problem::new(line.span_of(i), message).suggest_closest(&token.text, keywords));
            }
        }
    }
    if let Some(missing) = directive.arguments.get(line.tokens.len() - 1) {
        let message = format!("missing argument of `{}`, expected {}", directive.name, missing.expects());
        problems.push(Problem::new(line.span_of(line.tokens.len()), message));
    }
    (problems.len() == known_problems).then_some(values)
}

/// A directive or section that differs between two files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The path of the directive or section, such as `checks.agent`.
    pub path: String,
    /// When the change takes effect.
    pub takes_effect: TakesEffect,
}

/// Returns the directives and sections that differ between an old and a new file.
pub fn changes(old: &Checked, new: &Checked) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", old, new, &mut changes);
    changes
}

/// Appends the changes in a section; `parent` is its path, empty for the file.
fn compare(parent: &str, old: &Checked, new: &Checked, changes: &mut Vec<Change>) {
    let path = |name: &str| if parent.is_empty() { name.to_string() } else { format!("{parent}.{name}") };
    for directive in old.section.directives {
        let values = |c: &Checked| -> Vec<Vec<Value>> {
            c.entries_of(directive.name).map(|e| e.values.clone()).collect()
        };
        if values(old) != values(new) {
            changes.push(Change { path: path(directive.name), takes_effect: directive.takes_effect });
        }
    }
    for section in old.section.sections {
        match (old.subsection(section.name), new.subsection(section.name)) {
            (Some(old), Some(new)) => compare(&path(section.name), old, new, changes),
            (None, None) => {}
            // Sections are enabled or disabled at startup only.
            _ => changes.push(Change { path: path(section.name), takes_effect: TakesEffect::OnRestart }),
        }
    }
}
