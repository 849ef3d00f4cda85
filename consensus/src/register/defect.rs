//! Deliberate defects that the tests of this crate must detect. They are compiled in only with the feature `defects`.

/// A deliberate defect of an acceptor or a proposer; a test enables one at a time.
#[cfg(feature = "defects")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Defect {
    /// A promise of any incarnation counts.
    AnyIncarnation,
    /// One member less than a majority suffices.
    OneShortOfMajority,
    /// An acceptor does not store its promises.
    ForgetsPromise,
    /// The proposer builds on the oldest reported value instead of the newest.
    BuildsOnOldest,
    /// A restarted acceptor takes part immediately, and its replies count.
    JoinsAtOnce,
    /// An acceptor accepts older values after newer ones.
    AcceptsOlder,
    /// A reply that arrives twice counts twice.
    CountsDuplicates,
}

/// Without the feature `defects` no defect can be enabled, and the checks for one are compiled away.
#[cfg(not(feature = "defects"))]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Defect {}

/// Whether the defect of this name is enabled in `$self`.
macro_rules! defect {
    ($self:ident, $name:ident) => {{
        #[cfg(feature = "defects")]
        let enabled = $self.defect == Some($crate::register::Defect::$name);
        #[cfg(not(feature = "defects"))]
        let enabled = $self.defect.is_some();
        enabled
    }};
}
pub(super) use defect;
