//! Reads files into a tree of sections and directives, and follows includes.

use std::io;
use std::path::{Path, PathBuf};

use crate::lines::{tokenize, LineError, Token};
use crate::problem::{Problem, Source, SourceSpan};

/// Limits on the input. A file that exceeds one of them is not a plausible settings file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadLimits {
    /// Maximum size of all files together, bytes.
    pub max_bytes: usize,
    /// Maximum number of files, included ones counted.
    pub max_files: usize,
    /// Maximum nesting depth of sections.
    pub max_depth: usize,
    /// Maximum number of problems that reading reports.
    pub max_problems: usize,
}

impl Default for LoadLimits {
    fn default() -> Self {
        LoadLimits { max_bytes: 4 << 20, max_files: 64, max_depth: 8, max_problems: 100 }
    }
}

/// A line, split into tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// The position of the first token.
    pub span: SourceSpan,
    /// The tokens, the name of the directive or section first.
    pub tokens: Vec<Token>,
}

impl Line {
    /// The name of the directive or section.
    pub fn name(&self) -> &str {
        self.tokens.first().map_or("", |t| &t.text)
    }

    /// The position of a token, by index; behind the last token if there is none at the index.
    pub fn span_of(&self, token: usize) -> SourceSpan {
        let (start, end) = match (self.tokens.get(token), self.tokens.last()) {
            (Some(t), _) => (t.start, t.end),
            (None, Some(last)) => (last.end, last.end),
            (None, None) => (0, 0),
        };
        SourceSpan { start, end, ..self.span }
    }
}

/// A section, or the file outside of all sections.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SectionTree {
    /// The line that opens the section, without the brace; `None` for the file.
    pub line: Option<Line>,
    /// The directives of the section.
    pub lines: Vec<Line>,
    /// The sections nested in the section.
    pub sections: Vec<SectionTree>,
}

struct Loader<'a> {
    read: &'a dyn Fn(&Path) -> io::Result<String>,
    bounds: LoadLimits,
    sources: Vec<Source>,
    bytes: usize,
    problems: Vec<Problem>,
}

/// Reads a file and its includes, with `read` as the file system. Reading continues after a problem, so that all problems are
/// reported.
pub fn load(
    path: &Path,
    bounds: LoadLimits,
    read: &dyn Fn(&Path) -> io::Result<String>,
) -> (SectionTree, Vec<Source>, Vec<Problem>) {
    let mut loader = Loader { read, bounds, sources: Vec::new(), bytes: 0, problems: Vec::new() };
    let mut tree = SectionTree::default();
    loader.load_file(path.to_path_buf(), None, &mut Vec::new(), &mut tree);
    (tree, loader.sources, loader.problems)
}

/// A file whose lines are being read.
struct OpenFile<'a> {
    path: &'a Path,
    /// The sections that are open in this file, outermost first.
    open_sections: Vec<SectionTree>,
    /// The section that receives the lines outside of this file's sections.
    parent: &'a mut SectionTree,
}

impl OpenFile<'_> {
    /// The innermost open section.
    fn innermost(&mut self) -> &mut SectionTree {
        self.open_sections.last_mut().unwrap_or(self.parent)
    }
}

impl Loader<'_> {
    fn report(&mut self, span: SourceSpan, message: impl Into<String>) {
        if self.problems.len() < self.bounds.max_problems {
            self.problems.push(Problem::new(span, message));
        }
    }

    /// Reads a file into `parent`; `included_at` is its `include` directive, `including` the chain of files that include it.
    fn load_file(
        &mut self,
        path: PathBuf,
        included_at: Option<SourceSpan>,
        including: &mut Vec<PathBuf>,
        parent: &mut SectionTree,
    ) {
        if including.contains(&path) {
            return self
                .report(included_at.unwrap_or_default(), format!("{} includes itself", path.display()));
        }
        if self.sources.len() >= self.bounds.max_files {
            return self.report(
                included_at.unwrap_or_default(),
                format!("more than {} files are included", self.bounds.max_files),
            );
        }
        let number = self.sources.len();
        let file_span = included_at.unwrap_or(SourceSpan { file: number, ..SourceSpan::default() });
        let Some(text) = self.read_text(&path, file_span) else { return };
        including.push(path.clone());
        let mut file = OpenFile { path: &path, open_sections: Vec::new(), parent };
        for (n, text) in text.lines().enumerate() {
            let span = SourceSpan { file: number, line: n + 1, start: 0, end: text.len() };
            if let Some(line) = self.parse_line(text, span) {
                self.add_line(line, &mut file, including);
            }
        }
        self.close_unclosed_sections(&mut file, file_span);
        including.pop();
    }

    /// Reads a file and adds it to the sources; `None`, with a problem reported at `file_span`, if it cannot be used.
    fn read_text(&mut self, path: &Path, file_span: SourceSpan) -> Option<String> {
        let (text, error) = match (self.read)(path) {
            Ok(text) => (text, None),
            Err(error) => (String::new(), Some(error)),
        };
        self.bytes = self.bytes.saturating_add(text.len());
        let too_large = self.bytes > self.bounds.max_bytes;
        let text = if too_large { String::new() } else { text };
        self.sources.push(Source { path: path.to_path_buf(), text: text.clone() });
        if let Some(error) = error {
            self.report(file_span, format!("{} cannot be read: {error}", path.display()));
            return None;
        }
        if too_large {
            self.report(
                file_span,
                format!("the files have more than {} bytes in total", self.bounds.max_bytes),
            );
            return None;
        }
        Some(text)
    }

    /// Splits a line into tokens; `None` if it has none or is malformed, which is reported.
    fn parse_line(&mut self, text: &str, span: SourceSpan) -> Option<Line> {
        // A byte order mark is not part of the first token.
        match tokenize(text.strip_prefix('\u{feff}').unwrap_or(text)) {
            Ok(tokens) => {
                let first = tokens.first()?;
                Some(Line { span: SourceSpan { start: first.start, end: first.end, ..span }, tokens })
            }
            Err(error) => {
                let message = match error {
                    LineError::UnclosedQuote(_) => "the quote opened here is not closed on this line",
                    LineError::TrailingBackslash(_) => {
                        "a backslash ends this line; a directive cannot continue on the next line"
                    }
                    LineError::ControlCharacter(_) => "a control character is not allowed in this file",
                };
                self.report(SourceSpan { start: error.offset(), end: error.offset() + 1, ..span }, message);
                None
            }
        }
    }

    /// Opens or closes a section, includes a file, or adds a directive, depending on the line.
    fn add_line(&mut self, line: Line, file: &mut OpenFile, including: &mut Vec<PathBuf>) {
        let is_brace = |t: Option<&Token>, brace: &str| t.is_some_and(|t| t.unquoted && t.text == brace);
        if is_brace(line.tokens.first(), "}") {
            self.close_section(&line, file);
        } else if is_brace(line.tokens.last(), "{") {
            self.open_section(line, file);
        } else if line.name() == "include" {
            self.include(&line, file, including);
        } else {
            file.innermost().lines.push(line);
        }
    }

    fn close_section(&mut self, line: &Line, file: &mut OpenFile) {
        if line.tokens.len() > 1 {
            self.report(line.span_of(1), "nothing may follow a closing brace on its line");
        }
        match file.open_sections.pop() {
            Some(closed) => file.innermost().sections.push(closed),
            None => self.report(line.span, "unexpected closing brace: no section is open in this file"),
        }
    }

    fn open_section(&mut self, mut line: Line, file: &mut OpenFile) {
        let brace = line.span_of(line.tokens.len() - 1);
        line.tokens.pop();
        if line.tokens.is_empty() {
            self.report(brace, "this section has no name");
        }
        if file.open_sections.len() >= self.bounds.max_depth {
            self.report(line.span, format!("sections are nested more than {} deep", self.bounds.max_depth));
        }
        file.open_sections.push(SectionTree { line: Some(line), ..SectionTree::default() });
    }

    fn include(&mut self, line: &Line, file: &mut OpenFile, including: &mut Vec<PathBuf>) {
        let [included] = &line.tokens[1..] else {
            return self.report(line.span, "`include` takes exactly one path");
        };
        let path = file.path.parent().unwrap_or(Path::new("")).join(&included.text);
        self.load_file(path, Some(line.span_of(1)), including, file.innermost());
    }

    /// Reports the sections that are still open at the end of a file, and keeps them so that their directives are checked.
    fn close_unclosed_sections(&mut self, file: &mut OpenFile, file_span: SourceSpan) {
        while let Some(unclosed) = file.open_sections.pop() {
            let span = unclosed.line.as_ref().map_or(file_span, |l| l.span);
            self.report(span, "this section is not closed in its file");
            file.innermost().sections.push(unclosed);
        }
    }
}
