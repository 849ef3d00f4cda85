//! What is wrong with a file, told with its place, its line and what may have been meant.

use std::fmt;
use std::path::PathBuf;

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};

/// Where something stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Place {
    /// The file, by its number in the order of reading.
    pub file: usize,
    /// The line, from 1; 0: the file as a whole.
    pub line: usize,
    /// The bytes of the line.
    pub start: usize,
    /// Behind them.
    pub end: usize,
}

/// Something wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Where.
    pub place: Place,
    /// What.
    pub what: String,
    /// What may have been meant.
    pub help: Option<String>,
}

impl Problem {
    /// A problem without advice.
    pub fn new(place: Place, what: impl Into<String>) -> Problem {
        Problem { place, what: what.into(), help: None }
    }

    /// The same with the nearest of the words that are known, if one is near.
    pub fn near<'a>(mut self, word: &str, known: impl IntoIterator<Item = &'a str>) -> Problem {
        self.help = nearest(word, known).map(|near| format!("did you mean `{near}`?"));
        self
    }
}

/// The known word that a mistyped one is nearest to, unless it is near none.
pub fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    // One slip in three letters is still a slip; more is another word.
    let most = (word.chars().count() / 3).max(1);
    let far = |k: &&str| strsim::damerau_levenshtein(&word.to_lowercase(), k);
    known.into_iter().map(|k| (far(&k), k)).filter(|(d, _)| *d <= most).min().map(|(_, k)| k)
}

/// A file as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// Its path.
    pub path: PathBuf,
    /// Its text.
    pub text: String,
}

/// All that is wrong, with the files it stands in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems {
    /// The files read.
    pub sources: Vec<Source>,
    /// What is wrong, in the order of files and lines.
    pub all: Vec<Problem>,
}

impl Problems {
    /// Sorted by place.
    pub fn new(sources: Vec<Source>, mut all: Vec<Problem>) -> Problems {
        all.sort_by_key(|p| (p.place.file, p.place.line, p.place.start));
        Problems { sources, all }
    }

    /// The place in one line: file, line, and column in characters, both from 1.
    pub fn at(&self, place: Place) -> String {
        let Some(source) = self.sources.get(place.file) else { return String::new() };
        let path = source.path.display();
        let Some(line) = place.line.checked_sub(1).and_then(|n| source.text.lines().nth(n)) else {
            return path.to_string();
        };
        let column = line.get(..place.start).map_or(0, |before| before.chars().count()) + 1;
        format!("{path}:{}:{column}", place.line)
    }

    /// Each problem in one line, for a log.
    pub fn short(&self) -> impl Iterator<Item = String> + '_ {
        self.all.iter().map(|p| {
            let help = p.help.as_ref().map_or(String::new(), |h| format!(" ({h})"));
            format!("{}: {}{help}", self.at(p.place), p.what)
        })
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let renderer = Renderer::plain();
        for problem in &self.all {
            let place = problem.place;
            let source = self.sources.get(place.file);
            let line = source.and_then(|s| s.text.lines().nth(place.line.checked_sub(1)?));
            let title = Level::ERROR.primary_title(problem.what.as_str());
            let report = match (source, line) {
                (Some(source), Some(line)) => {
                    let path = source.path.display().to_string();
                    let end = place.end.min(line.len()).max(place.start.min(line.len()));
                    let mark = AnnotationKind::Primary.span(place.start.min(line.len())..end);
                    let shown = Snippet::source(line).path(path).line_start(place.line).annotation(mark);
                    let mut group = title.element(shown);
                    if let Some(help) = &problem.help {
                        group = group.element(Level::HELP.message(help.as_str()));
                    }
                    renderer.render(&[group])
                }
                _ => {
                    let path = source.map_or(String::new(), |s| format!("{}: ", s.path.display()));
                    format!("error: {path}{}", problem.what)
                }
            };
            writeln!(f, "{report}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
