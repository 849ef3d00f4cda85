//! Files into a tree of directives and sections, includes followed.

use std::io;
use std::path::{Path, PathBuf};

use crate::lines::{words, Torn, Word};
use crate::problem::{Place, Problem, Source};

/// How far a file may go; more is a mistake, not a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The bytes of all files together.
    pub bytes: usize,
    /// Files, the included ones counted.
    pub files: usize,
    /// Sections within sections.
    pub depth: usize,
    /// Problems told in one run.
    pub problems: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { bytes: 4 << 20, files: 64, depth: 8, problems: 100 }
    }
}

/// A line with its words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// File and line; the bytes are those of the first word.
    pub place: Place,
    /// The words, the directive's name first.
    pub words: Vec<Word>,
}

impl Line {
    /// The name.
    pub fn name(&self) -> &str {
        self.words.first().map_or("", |w| &w.text)
    }

    /// The place of a word, or behind the last one.
    pub fn place_of(&self, word: usize) -> Place {
        let (start, end) = match (self.words.get(word), self.words.last()) {
            (Some(w), _) => (w.start, w.end),
            (None, Some(last)) => (last.end, last.end),
            (None, None) => (0, 0),
        };
        Place { start, end, ..self.place }
    }
}

/// A section, or the whole file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tree {
    /// The line that opens it, without the brace; none for the whole file.
    pub line: Option<Line>,
    /// The directives.
    pub lines: Vec<Line>,
    /// The sections in it.
    pub sections: Vec<Tree>,
}

struct Loader<'a> {
    read: &'a dyn Fn(&Path) -> io::Result<String>,
    bounds: Bounds,
    sources: Vec<Source>,
    bytes: usize,
    problems: Vec<Problem>,
}

/// Reads a file and what it includes. What is wrong does not end the reading.
pub fn load(
    path: &Path,
    bounds: Bounds,
    read: &dyn Fn(&Path) -> io::Result<String>,
) -> (Tree, Vec<Source>, Vec<Problem>) {
    let mut loader = Loader { read, bounds, sources: Vec::new(), bytes: 0, problems: Vec::new() };
    let mut tree = Tree::default();
    loader.file(path.to_path_buf(), None, &mut Vec::new(), &mut tree);
    (tree, loader.sources, loader.problems)
}

impl Loader<'_> {
    fn wrong(&mut self, place: Place, what: impl Into<String>) {
        if self.problems.len() < self.bounds.problems {
            self.problems.push(Problem::new(place, what));
        }
    }

    /// Reads one file into a section; `from` is the line that includes it, `open` the files that lead there.
    fn file(&mut self, path: PathBuf, from: Option<Place>, open: &mut Vec<PathBuf>, into: &mut Tree) {
        if open.contains(&path) {
            return self.wrong(from.unwrap_or_default(), format!("{} includes itself", path.display()));
        }
        if self.sources.len() >= self.bounds.files {
            return self.wrong(from.unwrap_or_default(), format!("more than {} files", self.bounds.files));
        }
        let number = self.sources.len();
        let (text, why) = match (self.read)(&path) {
            Ok(text) => (text, None),
            Err(e) => (String::new(), Some(e)),
        };
        self.bytes = self.bytes.saturating_add(text.len());
        let large = self.bytes > self.bounds.bytes;
        let text = if large { String::new() } else { text };
        self.sources.push(Source { path: path.clone(), text: text.clone() });
        let whole = from.unwrap_or(Place { file: number, ..Place::default() });
        if let Some(e) = why {
            return self.wrong(whole, format!("{} cannot be read: {e}", path.display()));
        }
        if large {
            return self.wrong(whole, format!("the files have more than {} bytes", self.bounds.bytes));
        }
        open.push(path.clone());
        // The sections that are open in this file; the last is the innermost.
        let mut stack: Vec<Tree> = Vec::new();
        for (n, text) in text.lines().enumerate() {
            let place = Place { file: number, line: n + 1, start: 0, end: text.len() };
            // A byte-order mark is no part of the first word.
            let words = match words(text.strip_prefix('\u{feff}').unwrap_or(text)) {
                Ok(words) => words,
                Err(torn) => {
                    let what = match torn {
                        Torn::Quote(_) => "a quote that opens here is not closed on this line",
                        Torn::Escape(_) => "a backslash before nothing; a directive has one line",
                        Torn::Control(_) => "a control character",
                    };
                    self.wrong(Place { start: torn.at(), end: torn.at() + 1, ..place }, what);
                    continue;
                }
            };
            let Some(first) = words.first() else { continue };
            let place = Place { start: first.start, end: first.end, ..place };
            let mut line = Line { place, words };
            let brace = |w: Option<&Word>, b: &str| w.is_some_and(|w| w.bare && w.text == b);
            if brace(line.words.first(), "}") {
                if line.words.len() > 1 {
                    self.wrong(line.place_of(1), "nothing may follow a closing brace on its line");
                }
                match stack.pop() {
                    Some(done) => stack.last_mut().unwrap_or(into).sections.push(done),
                    None => self.wrong(place, "a closing brace, but no section is open in this file"),
                }
            } else if brace(line.words.last(), "{") {
                let at = line.place_of(line.words.len() - 1);
                line.words.pop();
                if line.words.is_empty() {
                    self.wrong(at, "a section without a name");
                }
                if stack.len() >= self.bounds.depth {
                    self.wrong(place, format!("more than {} sections in each other", self.bounds.depth));
                }
                stack.push(Tree { line: Some(line), ..Tree::default() });
            } else if line.name() == "include" {
                match &line.words[1..] {
                    [file] => {
                        let to = path.parent().unwrap_or(Path::new("")).join(&file.text);
                        let at = line.place_of(1);
                        let within = stack.last_mut().unwrap_or(into);
                        self.file(to, Some(at), open, within);
                    }
                    _ => self.wrong(place, "include takes one path"),
                }
            } else {
                stack.last_mut().unwrap_or(into).lines.push(line);
            }
        }
        // What is left open is kept, so that its directives are checked all the same.
        while let Some(left) = stack.pop() {
            let place = left.line.as_ref().map_or(whole, |l| l.place);
            self.wrong(place, "this section is not closed in its file");
            stack.last_mut().unwrap_or(into).sections.push(left);
        }
        open.pop();
    }
}
