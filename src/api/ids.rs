//! Time, and the numbers that stand for what takes part.

/// A point in time or a span, in nanoseconds. Points are of the router's own monotonic clock.
pub type Nanos = u64;

/// One second.
pub const SECOND: Nanos = 1_000_000_000;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// A replica. The same number must mean the same replica at every router: rendezvous hashing
    /// relies on it.
    ReplicaId(u64)
);
id!(
    /// A request, as the router numbers it. Never used twice within one incarnation of a router.
    RequestId(u64)
);
id!(
    /// A tenant: its index in [`Settings::tenants`](crate::api::Settings::tenants).
    TenantId(u32)
);
id!(
    /// A class of requests: its index in [`Settings::classes`](crate::api::Settings::classes).
    ClassId(u32)
);
id!(
    /// A zone: its index in the list of zones that all routers share.
    ZoneId(u32)
);
id!(
    /// A peer: its index among the routers.
    PeerId(u32)
);
id!(
    /// A session, hashed from its name in the same way at every router.
    SessionKey(u64)
);
id!(
    /// A prefix that prompts of several sessions share, hashed in the same way at every router.
    PrefixKey(u64)
);
