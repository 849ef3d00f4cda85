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
    /// The directive must be given.
    Required,
    /// The directive may be left out, and then has no value.
    Optional,
    /// The directive may be left out, and then has these arguments.
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
    /// Name of the directive.
    pub name: &'static str,
    /// Kinds of the directive's arguments.
    pub arguments: &'static [Kind],
    /// Whether the last argument may be repeated.
    pub repeats_last: bool,
    /// Whether the directive has to be given.
    pub presence: Presence,
    /// How often the directive may be given.
    pub repeat: Repeat,
    /// When a change of the directive takes effect.
    pub takes_effect: TakesEffect,
    /// Help text, one line.
    pub about: &'static str,
}

impl Directive {
    /// Declares a directive that must be given exactly once; changes take effect after a restart.
    pub const fn required(name: &'static str, arguments: &'static [Kind], about: &'static str) -> Directive {
        let (presence, repeat, takes_effect) = (Presence::Required, Repeat::Once, TakesEffect::OnRestart);
        Directive { name, arguments, repeats_last: false, presence, repeat, takes_effect, about }
    }

    /// Declares a directive that may be left out, without a default.
    pub const fn optional(name: &'static str, arguments: &'static [Kind], about: &'static str) -> Directive {
        Directive { presence: Presence::Optional, ..Directive::required(name, arguments, about) }
    }

    /// Declares a directive that may be left out, with default arguments.
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
    /// Name of the section.
    pub name: &'static str,
    /// Whether the section applies with its defaults if the file does not contain it; other sections are then disabled.
    pub always_present: bool,
    /// Help text, one line.
    pub about: &'static str,
    /// The directives of the section.
    pub directives: &'static [Directive],
    /// The sections nested in the section.
    pub sections: &'static [Section],
}
