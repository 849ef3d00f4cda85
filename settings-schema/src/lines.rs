//! Lines into words, each with its place. Quotes and escapes are those of a POSIX shell, decoded by `shlex`;
//! a `#` at the start of a word begins a comment.

/// A word of a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Word {
    /// Its text, quotes undone.
    pub text: String,
    /// Where it starts in the line, bytes.
    pub start: usize,
    /// Where it ends, bytes.
    pub end: usize,
    /// It stood without quotes or escapes: only such a brace opens or closes a section.
    pub bare: bool,
}

/// Why a line is not made of words.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Torn {
    /// A quote that opens here, in bytes, is not closed on its line.
    Quote(usize),
    /// A backslash here stands before nothing.
    Escape(usize),
    /// A control character here: a file that is none of ours, or a damaged one.
    Control(usize),
}

impl Torn {
    /// Where, in bytes from the start of the line.
    pub fn at(self) -> usize {
        match self {
            Torn::Quote(at) | Torn::Escape(at) | Torn::Control(at) => at,
        }
    }
}

/// The words of one line.
pub fn words(line: &str) -> Result<Vec<Word>, Torn> {
    let mut words = Vec::new();
    let mut chars = line.char_indices().peekable();
    while let Some(&(start, c)) = chars.peek() {
        if c == ' ' || c == '\t' || c == '\r' {
            chars.next();
            continue;
        }
        if c == '#' {
            break;
        }
        // One raw word: up to the first space outside of quotes.
        let (mut quote, mut bare, mut end) = (None, true, line.len());
        while let Some(&(at, c)) = chars.peek() {
            if c.is_control() && c != '\t' && c != '\r' {
                return Err(Torn::Control(at));
            }
            match (quote, c) {
                (None, ' ' | '\t' | '\r') => {
                    end = at;
                    break;
                }
                (None, '\'' | '"') => (quote, bare) = (Some((c, at)), false),
                (Some((open, _)), c) if c == open => quote = None,
                // In single quotes a backslash is one.
                (None | Some(('"', _)), '\\') => {
                    bare = false;
                    chars.next();
                    if chars.peek().is_none_or(|(_, c)| *c == '\r') {
                        return Err(Torn::Escape(at));
                    }
                }
                _ => {}
            }
            chars.next();
        }
        if let Some((_, at)) = quote {
            return Err(Torn::Quote(at));
        }
        let raw = &line[start..end];
        // A `#` within a word is part of it, which `shlex` sees alike; a bare word needs no decoding.
        let text = match bare {
            true => raw.to_string(),
            false => shlex::split(raw).and_then(|mut w| w.pop()).ok_or(Torn::Quote(start))?,
        };
        words.push(Word { text, start, end, bare });
    }
    Ok(words)
}
