//! Time, and identifiers of replicas, requests, tenants and other entities.

/// A point in time or a duration, in nanoseconds. Points in time are on the router's own monotonic clock.
pub type Nanos = u64;

/// One second in nanoseconds.
pub const SECOND: Nanos = 1_000_000_000;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub $inner);
    };
}

id!(
    /// Identifier of a replica. It must be the same at every router, as rendezvous hashing relies on it.
    ReplicaId(u64)
);
id!(
    /// Identifier of a request. It is never reused within one incarnation of a router.
    RequestId(u64)
);
id!(
    /// Index of a tenant in [`Settings::tenants`](crate::api::Settings::tenants).
    TenantId(u32)
);
id!(
    /// Index of a request class in [`Settings::classes`](crate::api::Settings::classes).
    ClassId(u32)
);
id!(
    /// Index of a zone in the list of zones that all routers share.
    ZoneId(u32)
);
id!(
    /// Index of a router among all routers.
    PeerId(u32)
);
id!(
    /// Hash of a session's name, the same at every router.
    SessionKey(u64)
);
id!(
    /// Hash of the name of a prefix that prompts of several sessions share, the same at every router.
    PrefixKey(u64)
);
