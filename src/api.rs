//! Interface of the decisions: their inputs ([`Settings`], [`Event`]) and their outputs ([`Action`]). All are plain
//! data; times and durations are in nanoseconds ([`Nanos`]).

mod action;
pub(crate) mod endpoint;
mod event;
pub(crate) mod ids;
mod request;
mod settings;

pub use self::action::Action;
pub use self::endpoint::{
    list_call_interval, EndpointEntry, EndpointListMode, EndpointState, ListUpdate, NOTIFICATION_LIMIT,
};
pub use self::event::Event;
pub use self::ids::{
    ClassId, Nanos, PeerId, PrefixKey, ReplicaId, RequestId, SessionKey, TenantId, ZoneId, SECOND,
};
pub use self::request::{AttemptEnded, Outcome, RejectReason, Request};
pub(crate) use self::settings::is_finite_non_negative;
pub use self::settings::{Class, LoadField, Settings, SettingsError, Tenant};
pub use crate::effect::{DeduplicationScope, Effect};
pub use crate::served_report::TenantsDigest;
