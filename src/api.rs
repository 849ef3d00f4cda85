//! The interface of the decisions: what a router hands in ([`Settings`], [`Event`]) and what it gets back
//! ([`Action`]). Plain data; every time and every span is in nanoseconds ([`Nanos`]).

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
pub(crate) use self::settings::usable;
pub use self::settings::{Class, LoadField, Settings, SettingsError, Tenant};
pub use crate::effect::{DeduplicationScope, Effect};
pub use crate::served_report::TenantsDigest;
