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

/// One file while its lines are read.
struct OpenFile<'a> {
    path: &'a Path,
    /// The sections that are open in it; the last is the innermost.
    open_sections: Vec<Tree>,
    /// Where lines outside of all sections of the file go.
    into: &'a mut Tree,
}

impl OpenFile<'_> {
    /// The innermost section that is open.
    fn innermost(&mut self) -> &mut Tree {
        self.open_sections.last_mut().unwrap_or(self.into)
    }
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
        let whole = from.unwrap_or(Place { file: number, ..Place::default() });
        let Some(text) = self.text(&path, whole) else { return };
        open.push(path.clone());
        let mut file = OpenFile { path: &path, open_sections: Vec::new(), into };
        for (n, text) in text.lines().enumerate() {
            let place = Place { file: number, line: n + 1, start: 0, end: text.len() };
            if let Some(line) = self.line(text, place) {
                self.take_line(line, &mut file, open);
            }
        }
        self.close_what_is_left(&mut file, whole);
        open.pop();
    }

    /// The text of a file, noted among the sources; `None` if it can't be used, which is told at `whole`.
    fn text(&mut self, path: &Path, whole: Place) -> Option<String> {
        let (text, error) = match (self.read)(path) {
            Ok(text) => (text, None),
            Err(error) => (String::new(), Some(error)),
        };
        self.bytes = self.bytes.saturating_add(text.len());
        let too_large = self.bytes > self.bounds.bytes;
        let text = if too_large { String::new() } else { text };
        self.sources.push(Source { path: path.to_path_buf(), text: text.clone() });
        if let Some(error) = error {
            self.wrong(whole, format!("{} cannot be read: {error}", path.display()));
            return None;
        }
        if too_large {
            self.wrong(whole, format!("the files have more than {} bytes", self.bounds.bytes));
            return None;
        }
        Some(text)
    }

    /// The words of a line; `None` if it has none, or they can't be told apart.
    fn line(&mut self, text: &str, place: Place) -> Option<Line> {
        // A byte-order mark is no part of the first word.
        match words(text.strip_prefix('\u{feff}').unwrap_or(text)) {
            Ok(words) => {
                let first = words.first()?;
                Some(Line { place: Place { start: first.start, end: first.end, ..place }, words })
            }
            Err(torn) => {
                let what = match torn {
                    Torn::Quote(_) => "a quote that opens here is not closed on this line",
                    Torn::Escape(_) => "a backslash before nothing; a directive has one line",
                    Torn::Control(_) => "a control character",
                };
                self.wrong(Place { start: torn.at(), end: torn.at() + 1, ..place }, what);
                None
            }
        }
    }

    /// A line opens or closes a section, includes a file, or is a directive.
    fn take_line(&mut self, line: Line, file: &mut OpenFile, open: &mut Vec<PathBuf>) {
        let brace = |w: Option<&Word>, b: &str| w.is_some_and(|w| w.bare && w.text == b);
        if brace(line.words.first(), "}") {
            self.close_section(&line, file);
        } else if brace(line.words.last(), "{") {
            self.open_section(line, file);
        } else if line.name() == "include" {
            self.include(&line, file, open);
        } else {
            file.innermost().lines.push(line);
        }
    }

    fn close_section(&mut self, line: &Line, file: &mut OpenFile) {
        if line.words.len() > 1 {
            self.wrong(line.place_of(1), "nothing may follow a closing brace on its line");
        }
        match file.open_sections.pop() {
            Some(done) => file.innermost().sections.push(done),
            None => self.wrong(line.place, "a closing brace, but no section is open in this file"),
        }
    }

    fn open_section(&mut self, mut line: Line, file: &mut OpenFile) {
        let brace = line.place_of(line.words.len() - 1);
        line.words.pop();
        if line.words.is_empty() {
            self.wrong(brace, "a section without a name");
        }
        if file.open_sections.len() >= self.bounds.depth {
            self.wrong(line.place, format!("more than {} sections in each other", self.bounds.depth));
        }
        file.open_sections.push(Tree { line: Some(line), ..Tree::default() });
    }

    fn include(&mut self, line: &Line, file: &mut OpenFile, open: &mut Vec<PathBuf>) {
        let [included] = &line.words[1..] else {
            return self.wrong(line.place, "include takes one path");
        };
        let path = file.path.parent().unwrap_or(Path::new("")).join(&included.text);
        self.file(path, Some(line.place_of(1)), open, file.innermost());
    }

    /// What is left open at the end of a file is kept, so that its directives are checked all the same.
    fn close_what_is_left(&mut self, file: &mut OpenFile, whole: Place) {
        while let Some(left) = file.open_sections.pop() {
            let place = left.line.as_ref().map_or(whole, |l| l.place);
            self.wrong(place, "this section is not closed in its file");
            file.innermost().sections.push(left);
        }
    }
}
