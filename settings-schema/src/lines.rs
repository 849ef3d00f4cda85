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

/// The characters of a line with their places, as they are taken one by one.
type Characters<'a> = std::iter::Peekable<std::str::CharIndices<'a>>;

/// A space between words.
fn is_space(c: char) -> bool {
    matches!(c, ' ' | '\t' | '\r')
}

/// The words of one line.
///
/// # Errors
///
/// The first quote, backslash or control character that makes it no line of words.
pub fn words(line: &str) -> Result<Vec<Word>, Torn> {
    let mut words = Vec::new();
    let mut characters = line.char_indices().peekable();
    while let Some(&(start, c)) = characters.peek() {
        if is_space(c) {
            characters.next();
            continue;
        }
        if c == '#' {
            break;
        }
        let (end, bare) = raw_word(&mut characters, line.len())?;
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

/// Passes over one word, up to the first space outside of quotes; where it ends, and whether it stood without quotes
/// or escapes.
fn raw_word(characters: &mut Characters, line_length: usize) -> Result<(usize, bool), Torn> {
    let (mut quote, mut bare) = (None, true);
    while let Some(&(at, c)) = characters.peek() {
        if c.is_control() && c != '\t' && c != '\r' {
            return Err(Torn::Control(at));
        }
        match (quote, c) {
            (None, c) if is_space(c) => return Ok((at, bare)),
            (None, '\'' | '"') => (quote, bare) = (Some((c, at)), false),
            (Some((open, _)), c) if c == open => quote = None,
            // In single quotes a backslash is one.
            (None | Some(('"', _)), '\\') => {
                bare = false;
                characters.next();
                if characters.peek().is_none_or(|(_, c)| *c == '\r') {
                    return Err(Torn::Escape(at));
                }
            }
            _ => {}
        }
        characters.next();
    }
    match quote {
        Some((_, at)) => Err(Torn::Quote(at)),
        None => Ok((line_length, bare)),
    }
}
