//! A tree held against the table: what is known, with its meaning and its defaults.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ipnet::IpNet;

use crate::load::{Line, Tree};
use crate::problem::{Place, Problem};
use crate::schema::{Directive, Need, Repeat, Section, Takes};
use crate::value::{Kind, Value};

/// A directive that was given, or its default.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// What it is.
    pub directive: &'static Directive,
    /// The meaning of its words.
    pub values: Vec<Value>,
    /// Where it stands; `None` for a default.
    pub line: Option<Line>,
}

impl Entry {
    /// The place of a word, the name being number 0.
    pub fn place(&self, word: usize) -> Place {
        self.line.as_ref().map_or(Place::default(), |l| l.place_of(word))
    }

    /// A word as text, from 0 behind the name.
    pub fn text(&self, word: usize) -> &str {
        match self.values.get(word) {
            Some(Value::Text(t)) => t,
            _ => "",
        }
    }
}

/// A section with its meaning.
#[derive(Debug, Clone, PartialEq)]
pub struct Checked {
    /// What it is.
    pub section: &'static Section,
    /// Where it is opened.
    pub place: Place,
    /// Its directives in the order of the table, several of one in the order of the file.
    pub entries: Vec<Entry>,
    /// Its sections in the order of the table.
    pub sections: Vec<Checked>,
}

impl Checked {
    /// A section in it.
    pub fn within(&self, name: &str) -> Option<&Checked> {
        self.sections.iter().find(|s| s.section.name == name)
    }

    /// All entries of a directive.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a Entry> + use<'a, 'n> {
        self.entries.iter().filter(move |e| e.directive.name == name)
    }

    /// The entry of a directive.
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        self.all(name).next()
    }

    fn value(&self, name: &str) -> Option<&Value> {
        self.entry(name)?.values.first()
    }

    /// A time.
    pub fn duration(&self, name: &str) -> Duration {
        match self.value(name) {
            Some(Value::Duration(d)) => *d,
            _ => Duration::ZERO,
        }
    }

    /// A share between 0 and 1.
    pub fn share(&self, name: &str) -> f64 {
        match self.value(name) {
            Some(Value::Percent(p)) => p / 100.0,
            _ => 0.0,
        }
    }

    /// A number, a size or a file mode.
    pub fn number(&self, name: &str) -> u64 {
        match self.value(name) {
            Some(Value::Count(n) | Value::Size(n)) => *n,
            Some(Value::Mode(m)) => u64::from(*m),
            _ => 0,
        }
    }

    /// On or off.
    pub fn on(&self, name: &str) -> bool {
        matches!(self.value(name), Some(Value::Switch(true)))
    }

    /// An address.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        match self.value(name) {
            Some(Value::Address(a)) => Some(*a),
            _ => None,
        }
    }

    /// A word; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.entry(name).map_or("", |e| e.text(0))
    }

    /// A path.
    pub fn path(&self, name: &str) -> Option<&Path> {
        match self.value(name) {
            Some(Value::Path(p)) => Some(p),
            _ => None,
        }
    }

    /// All networks of a directive.
    pub fn networks(&self, name: &str) -> Vec<IpNet> {
        let values = self.all(name).flat_map(|e| &e.values);
        values.filter_map(|v| if let Value::Network(n) = v { Some(*n) } else { None }).collect()
    }
}

/// Holds a tree against the table. Whatever is wrong is told; what is right counts all the same.
pub fn check(tree: &Tree, section: &'static Section, problems: &mut Vec<Problem>) -> Checked {
    let place = tree.line.as_ref().map_or(Place::default(), |l| l.place);
    if let Some(line) = tree.line.as_ref().filter(|l| l.words.len() > 1) {
        problems.push(Problem::new(line.place_of(1), format!("section `{}` takes no words", section.name)));
    }
    let mut entries = given_entries(tree, section, problems);
    entries.extend(defaults(tree, section, place, problems));
    entries.sort_by_key(|e| section.directives.iter().position(|d| d.name == e.directive.name));
    let sections = inner_sections(tree, section, problems);
    Checked { section, place, entries, sections }
}

/// The directives that stand in a section.
fn given_entries(tree: &Tree, section: &'static Section, problems: &mut Vec<Problem>) -> Vec<Entry> {
    let mut entries: Vec<Entry> = Vec::new();
    for line in &tree.lines {
        let Some(directive) = section.directives.iter().find(|d| d.name == line.name()) else {
            problems.push(unknown(line, section));
            continue;
        };
        let Some(values) = read(line, directive, problems) else { continue };
        let same = |e: &&Entry| match directive.repeat {
            Repeat::Once => e.directive.name == directive.name,
            Repeat::Many => e.directive.name == directive.name && e.values.first() == values.first(),
        };
        if let Some(before) = entries.iter().find(same) {
            let at = before.line.as_ref().map_or(0, |l| l.place.line);
            let what = format!("`{}` stands a second time, first in line {at}", directive.name);
            problems.push(Problem::new(line.place, what));
            continue;
        }
        entries.push(Entry { directive, values, line: Some(line.clone()) });
    }
    entries
}

/// The defaults of the directives that do not stand in a section; one that must is told.
fn defaults(tree: &Tree, section: &'static Section, place: Place, problems: &mut Vec<Problem>) -> Vec<Entry> {
    let mut entries = Vec::new();
    for directive in section.directives {
        if tree.lines.iter().any(|line| line.name() == directive.name) {
            continue;
        }
        match directive.need {
            Need::Required => {
                let what = format!("section `{}` lacks `{}`", section.name, directive.name);
                problems.push(Problem::new(place, what));
            }
            Need::Optional => {}
            Need::Default(words) => {
                let values = values(directive, words).unwrap_or_default();
                entries.push(Entry { directive, values, line: None });
            }
        }
    }
    entries
}

/// The sections in a section, in the order of the table: those that stand there, and those that always hold.
fn inner_sections(tree: &Tree, section: &'static Section, problems: &mut Vec<Problem>) -> Vec<Checked> {
    let mut sections: Vec<Checked> = Vec::new();
    for inner in &tree.sections {
        let Some(line) = &inner.line else { continue };
        match section.sections.iter().find(|s| s.name == line.name()) {
            Some(known) if sections.iter().any(|s| s.section.name == known.name) => {
                let what = format!("section `{}` stands a second time", known.name);
                problems.push(Problem::new(line.place, what));
            }
            Some(known) => sections.push(check(inner, known, problems)),
            None => problems.push(unknown(line, section)),
        }
    }
    for inner in section.sections.iter().filter(|s| s.always) {
        if !sections.iter().any(|s| s.section.name == inner.name) {
            sections.push(check(&Tree::default(), inner, problems));
        }
    }
    sections.sort_by_key(|s| section.sections.iter().position(|k| k.name == s.section.name));
    sections
}

fn unknown(line: &Line, section: &Section) -> Problem {
    let name = line.name();
    let known: Vec<&str> = section.directives.iter().map(|d| d.name).collect();
    let inner: Vec<&str> = section.sections.iter().map(|s| s.name).collect();
    let what = match section.name {
        "" => format!("`{name}` is not known here"),
        within => format!("`{name}` is not known in section `{within}`"),
    };
    let mut problem = Problem::new(line.place, what);
    if inner.contains(&name) {
        problem.help = Some(format!("`{name}` is a section: `{name} {{`"));
        return problem;
    }
    if known.contains(&name) {
        problem.help = Some(format!("`{name}` is a directive and takes no braces"));
        return problem;
    }
    problem.near(name, known.into_iter().chain(inner).chain(["include"]))
}

/// The kind of a word, from 0 behind the name.
fn kind(directive: &Directive, word: usize) -> Option<Kind> {
    let last = directive.words.last().copied().filter(|_| directive.rest);
    directive.words.get(word).copied().or(last)
}

fn values(directive: &Directive, words: &[&str]) -> Option<Vec<Value>> {
    words.iter().enumerate().map(|(i, w)| kind(directive, i)?.read(w)).collect()
}

fn read(line: &Line, directive: &'static Directive, problems: &mut Vec<Problem>) -> Option<Vec<Value>> {
    let before = problems.len();
    let mut values = Vec::new();
    for (i, word) in line.words.iter().enumerate().skip(1) {
        let Some(kind) = kind(directive, i - 1) else {
            let most = directive.words.len();
            let what = format!("`{}` takes {most} word{}", directive.name, if most == 1 { "" } else { "s" });
            problems.push(Problem::new(line.place_of(i), what));
            break;
        };
        match kind.read(&word.text) {
            Some(value) => values.push(value),
            None => {
                let what = format!("`{}` wants {}", directive.name, kind.expects());
                let words = kind.words().iter().copied();
                problems.push(Problem::new(line.place_of(i), what).near(&word.text, words));
            }
        }
    }
    if let Some(missing) = directive.words.get(line.words.len() - 1) {
        let what = format!("`{}` lacks {}", directive.name, missing.expects());
        problems.push(Problem::new(line.place_of(line.words.len()), what));
    }
    (problems.len() == before).then_some(values)
}

/// A difference between two files.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The directive or section, with the sections that it stands in, as `checks.agent`.
    pub path: String,
    /// When it takes effect.
    pub takes: Takes,
}

/// In what a new file differs from an old one.
pub fn changes(old: &Checked, new: &Checked) -> Vec<Change> {
    let mut all = Vec::new();
    compare("", old, new, &mut all);
    all
}

fn compare(within: &str, old: &Checked, new: &Checked, all: &mut Vec<Change>) {
    let path = |name: &str| if within.is_empty() { name.to_string() } else { format!("{within}.{name}") };
    for directive in old.section.directives {
        let of =
            |c: &Checked| -> Vec<Vec<Value>> { c.all(directive.name).map(|e| e.values.clone()).collect() };
        if of(old) != of(new) {
            all.push(Change { path: path(directive.name), takes: directive.takes });
        }
    }
    for section in old.section.sections {
        match (old.within(section.name), new.within(section.name)) {
            (Some(old), Some(new)) => compare(&path(section.name), old, new, all),
            (None, None) => {}
            // Whether a part is there at all is decided at the start.
            _ => all.push(Change { path: path(section.name), takes: Takes::Restart }),
        }
    }
}
