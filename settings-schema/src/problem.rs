//! Problems found in a file, and reports that show their position, the line and a suggestion.

use std::fmt;
use std::path::PathBuf;

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};

/// A position in the files that were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SourceSpan {
    /// Index of the file, in the order of reading.
    pub file: usize,
    /// Line number, from 1; 0 for the whole file.
    pub line: usize,
    /// Byte offset of the start in the line.
    pub start: usize,
    /// Byte offset of the end in the line, exclusive.
    pub end: usize,
}

/// A problem in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Position of the problem.
    pub span: SourceSpan,
    /// The error message.
    pub message: String,
    /// A suggestion, if there is one.
    pub help: Option<String>,
}

impl Problem {
    /// Creates a problem without a suggestion.
    pub fn new(span: SourceSpan, message: impl Into<String>) -> Problem {
        Problem { span, message: message.into(), help: None }
    }

    /// Adds the closest of the known names as a suggestion, if one is close to `name`.
    pub fn suggest_closest<'a>(mut self, name: &str, known: impl IntoIterator<Item = &'a str>) -> Problem {
        self.help = closest_match(name, known).map(|closest| format!("did you mean `{closest}`?"));
        self
    }
}

/// The known name with the smallest edit distance to `name`; `None` if no name is close enough.
pub fn closest_match<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    // One edit for every three letters counts as a typing error; beyond that, it is another name.
    let max_distance = (name.chars().count() / 3).max(1);
    let distance = |k: &&str| strsim::damerau_levenshtein(&name.to_lowercase(), k);
    known.into_iter().map(|k| (distance(&k), k)).filter(|(d, _)| *d <= max_distance).min().map(|(_, k)| k)
}

/// A file that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// Path of the file.
    pub path: PathBuf,
    /// Content of the file.
    pub text: String,
}

/// All problems found, with the files that were read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problems {
    /// The files, in the order of reading.
    pub sources: Vec<Source>,
    /// The problems, in the order of files and lines.
    pub problems: Vec<Problem>,
}

impl Problems {
    /// Sorts the problems by position.
    pub fn new(sources: Vec<Source>, mut problems: Vec<Problem>) -> Problems {
        problems.sort_by_key(|p| (p.span.file, p.span.line, p.span.start));
        Problems { sources, problems }
    }

    /// Formats a position as `file:line:column`; line and column, in characters, count from 1.
    pub fn format_span(&self, span: SourceSpan) -> String {
        let Some(source) = self.sources.get(span.file) else { return String::new() };
        let path = source.path.display();
        let Some(line) = span.line.checked_sub(1).and_then(|n| source.text.lines().nth(n)) else {
            return path.to_string();
        };
        let column = line.get(..span.start).map_or(0, |before| before.chars().count()) + 1;
        format!("{path}:{}:{column}", span.line)
    }

    /// Returns each problem as one line, for a log.
    pub fn short(&self) -> impl Iterator<Item = String> + '_ {
        self.problems.iter().map(|p| {
            let help = p.help.as_ref().map_or(String::new(), |h| format!(" ({h})"));
            format!("{}: {}{help}", self.format_span(p.span), p.message)
        })
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let renderer = Renderer::plain();
        for problem in &self.problems {
            let span = problem.span;
            let source = self.sources.get(span.file);
            let line = source.and_then(|s| s.text.lines().nth(span.line.checked_sub(1)?));
            let title = Level::ERROR.primary_title(problem.message.as_str());
            let report = match (source, line) {
                (Some(source), Some(line)) => {
                    let path = source.path.display().to_string();
                    let end = span.end.min(line.len()).max(span.start.min(line.len()));
                    let mark = AnnotationKind::Primary.span(span.start.min(line.len())..end);
                    let shown = Snippet::source(line).path(path).line_start(span.line).annotation(mark);
                    let mut group = title.element(shown);
                    if let Some(help) = &problem.help {
                        group = group.element(Level::HELP.message(help.as_str()));
                    }
                    renderer.render(&[group])
                }
                _ => {
                    let path = source.map_or(String::new(), |s| format!("{}: ", s.path.display()));
                    format!("error: {path}{}", problem.message)
                }
            };
            writeln!(f, "{report}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
