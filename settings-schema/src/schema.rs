//! The schema of a file: its sections and directives. Checking, printing and the help text use it.

use crate::value::Kind;

/// How often a directive may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// At most once.
    Once,
    /// Any number of times, with different first arguments.
    Many,
}

/// Whether a directive has to be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It must be given.
    Required,
    /// It may be left out, and then has no value.
    Optional,
    /// It may be left out, and then has these arguments.
    Default(&'static [&'static str]),
}

/// When a changed directive takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakesEffect {
    /// When the file is reloaded.
    OnReload,
    /// When the program is restarted.
    OnRestart,
}

/// A directive: a name followed by arguments.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Directive {
    /// Its name.
    pub name: &'static str,
    /// The kinds of its arguments.
    pub arguments: &'static [Kind],
    /// Whether the last argument may be repeated.
    pub repeats_last: bool,
    /// Whether it has to be given.
    pub presence: Presence,
    /// How often it may be given.
    pub repeat: Repeat,
    /// When a change of it takes effect.
    pub takes_effect: TakesEffect,
    /// Its help text, one line.
    pub about: &'static str,
}

impl Directive {
    /// A directive that must be given exactly once; changes take effect after a restart.
    pub const fn required(name: &'static str, arguments: &'static [Kind], about: &'static str) -> Directive {
        let (presence, repeat, takes_effect) = (Presence::Required, Repeat::Once, TakesEffect::OnRestart);
        Directive { name, arguments, repeats_last: false, presence, repeat, takes_effect, about }
    }

    /// A directive that may be left out, without a default.
    pub const fn optional(name: &'static str, arguments: &'static [Kind], about: &'static str) -> Directive {
        Directive { presence: Presence::Optional, ..Directive::required(name, arguments, about) }
    }

    /// A directive that may be left out, with default arguments.
    pub const fn with(
        name: &'static str,
        arguments: &'static [Kind],
        default: &'static [&'static str],
        about: &'static str,
    ) -> Directive {
        Directive { presence: Presence::Default(default), ..Directive::required(name, arguments, about) }
    }

    /// Makes the directive repeatable and optional.
    pub const fn many(self) -> Directive {
        Directive { repeat: Repeat::Many, presence: Presence::Optional, ..self }
    }

    /// Makes the last argument repeatable.
    pub const fn rest(self) -> Directive {
        Directive { repeats_last: true, ..self }
    }

    /// Makes changes take effect on reload.
    pub const fn live(self) -> Directive {
        Directive { takes_effect: TakesEffect::OnReload, ..self }
    }
}

/// A section, or the file outside of all sections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Section {
    /// Its name.
    pub name: &'static str,
    /// Whether it applies with its defaults when it is not given; other sections are disabled then.
    pub always_present: bool,
    /// Its help text, one line.
    pub about: &'static str,
    /// The directives in it.
    pub directives: &'static [Directive],
    /// The sections in it.
    pub sections: &'static [Section],
}
