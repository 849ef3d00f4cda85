//! Splits a line into tokens. Quotes and escapes are those of a POSIX shell, decoded by `shlex`; a `#` at the start of a
//! token begins a comment.

/// A token of a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// The text, with quotes and escapes decoded.
    pub text: String,
    /// Offset of the first byte in the line.
    pub start: usize,
    /// Offset behind the last byte in the line.
    pub end: usize,
    /// Whether the token has no quotes or escapes. Only an unquoted brace opens or closes a section.
    pub unquoted: bool,
}

/// Why a line cannot be split into tokens; with the byte offset in the line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineError {
    /// A quote is opened at the offset and not closed on the line.
    UnclosedQuote(usize),
    /// A backslash ends the line.
    TrailingBackslash(usize),
    /// A control character: the file is damaged or not a settings file.
    ControlCharacter(usize),
}

impl LineError {
    /// The byte offset in the line.
    pub fn offset(self) -> usize {
        match self {
            LineError::UnclosedQuote(offset)
            | LineError::TrailingBackslash(offset)
            | LineError::ControlCharacter(offset) => offset,
        }
    }
}

/// The characters of a line with their byte offsets.
type Characters<'a> = std::iter::Peekable<std::str::CharIndices<'a>>;

/// Whether a character separates tokens.
fn is_separator(c: char) -> bool {
    matches!(c, ' ' | '\t' | '\r')
}

/// Splits one line into tokens.
///
/// # Errors
///
/// The first unclosed quote, trailing backslash or control character.
pub fn tokenize(line: &str) -> Result<Vec<Token>, LineError> {
    let mut tokens = Vec::new();
    let mut characters = line.char_indices().peekable();
    while let Some(&(start, c)) = characters.peek() {
        if is_separator(c) {
            characters.next();
            continue;
        }
        if c == '#' {
            break;
        }
        let (end, unquoted) = scan_token(&mut characters, line.len())?;
        let raw = &line[start..end];
        // Unquoted tokens need no decoding. A `#` within a token is part of it, for `shlex` as well.
        let text = match unquoted {
            true => raw.to_string(),
            false => {
                shlex::split(raw).and_then(|mut parts| parts.pop()).ok_or(LineError::UnclosedQuote(start))?
            }
        };
        tokens.push(Token { text, start, end, unquoted });
    }
    Ok(tokens)
}

/// Consumes one token, up to the first separator outside of quotes; returns its end and whether it has no quotes or
/// escapes.
fn scan_token(characters: &mut Characters, line_length: usize) -> Result<(usize, bool), LineError> {
    let (mut quote, mut unquoted) = (None, true);
    while let Some(&(offset, c)) = characters.peek() {
        if c.is_control() && c != '\t' && c != '\r' {
            return Err(LineError::ControlCharacter(offset));
        }
        match (quote, c) {
            (None, c) if is_separator(c) => return Ok((offset, unquoted)),
            (None, '\'' | '"') => (quote, unquoted) = (Some((c, offset)), false),
            (Some((open, _)), c) if c == open => quote = None,
            // Within single quotes a backslash is an ordinary character.
            (None | Some(('"', _)), '\\') => {
                unquoted = false;
                characters.next();
                if characters.peek().is_none_or(|(_, c)| *c == '\r') {
                    return Err(LineError::TrailingBackslash(offset));
                }
            }
            _ => {}
        }
        characters.next();
    }
    match quote {
        Some((_, offset)) => Err(LineError::UnclosedQuote(offset)),
        None => Ok((line_length, unquoted)),
    }
}
