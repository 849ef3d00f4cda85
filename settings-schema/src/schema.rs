//! What may stand in a file, as a table that reading, printing and the help share.

use crate::value::Kind;

/// How often something may stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Once.
    Once,
    /// Any number of times; the first word tells them apart.
    Many,
}

/// What holds if a directive is not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// It must be.
    Required,
    /// Nothing.
    Optional,
    /// These words.
    Default(&'static [&'static str]),
}

/// When a change takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Takes {
    /// As soon as the file is read again.
    Now,
    /// At the next start.
    Restart,
}

/// A directive: a name and its words.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Directive {
    /// Its name.
    pub name: &'static str,
    /// The kinds of its words.
    pub words: &'static [Kind],
    /// Whether the last kind may stand more than once.
    pub rest: bool,
    /// What holds without it.
    pub need: Need,
    /// How often it may stand.
    pub repeat: Repeat,
    /// When a change takes effect.
    pub takes: Takes,
    /// What it is for, in one line.
    pub about: &'static str,
}

impl Directive {
    /// A directive that must be given, with one word.
    pub const fn required(name: &'static str, words: &'static [Kind], about: &'static str) -> Directive {
        let (need, repeat, takes) = (Need::Required, Repeat::Once, Takes::Restart);
        Directive { name, words, rest: false, need, repeat, takes, about }
    }

    /// One that may be left out, and then means nothing.
    pub const fn optional(name: &'static str, words: &'static [Kind], about: &'static str) -> Directive {
        Directive { need: Need::Optional, ..Directive::required(name, words, about) }
    }

    /// One with a default.
    pub const fn with(
        name: &'static str,
        words: &'static [Kind],
        default: &'static [&'static str],
        about: &'static str,
    ) -> Directive {
        Directive { need: Need::Default(default), ..Directive::required(name, words, about) }
    }

    /// The same, any number of times.
    pub const fn many(self) -> Directive {
        Directive { repeat: Repeat::Many, need: Need::Optional, ..self }
    }

    /// The same, its last kind any number of times.
    pub const fn rest(self) -> Directive {
        Directive { rest: true, ..self }
    }

    /// The same, taken over by a running program.
    pub const fn live(self) -> Directive {
        Directive { takes: Takes::Now, ..self }
    }
}

/// A section, or the whole file.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Section {
    /// Its name.
    pub name: &'static str,
    /// It holds with its defaults even if it is not given; others are off then.
    pub always: bool,
    /// What it is for, in one line.
    pub about: &'static str,
    /// The directives.
    pub directives: &'static [Directive],
    /// The sections in it.
    pub sections: &'static [Section],
}
