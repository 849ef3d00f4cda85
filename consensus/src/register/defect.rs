//! Deliberate defects, compiled in by the feature `defects` alone, which the tests of this crate have to detect.

/// A deliberate defect of an acceptor or a proposer; a test enables one at a time.
#[cfg(feature = "defects")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Defect {
    /// A promise counts whatever incarnation gave it.
    AnyIncarnation,
    /// One member less than a majority is enough.
    OneShortOfMajority,
    /// An acceptor forgets what it has promised.
    ForgetsPromise,
    /// The proposer builds on the oldest accepted value that was reported, not on the newest.
    BuildsOnOldest,
    /// An acceptor that has restarted takes part at once, and its replies count.
    JoinsAtOnce,
    /// An acceptor accepts older values after newer ones.
    AcceptsOlder,
    /// A reply that arrives twice counts twice.
    CountsDuplicates,
}

/// Without the feature there is no defect to enable, and the checks for one are compiled away.
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
