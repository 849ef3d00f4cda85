//! Applies messages of the endpoint list to the connection pool and the decision module.

use std::rc::Rc;

use rustc_hash::FxHashSet;
use tallypin::api::{EndpointEntry, EndpointState, ListUpdate, ReplicaId};
use tallypin::deployment::Deployment;

use super::context::EndpointListContext;
use super::message::{EndpointListMessage, EndpointRecord};

/// A record of a message, and its conversion for the decision module.
struct DecodedRecord<'a> {
    record: &'a EndpointRecord,
    entry: EndpointEntry,
}

/// Applies a message. A new replica is added to the connection pool before the decision module can choose it, and a removed
/// one is removed from the pool afterwards.
pub fn apply(context: &Rc<EndpointListContext>, message: &EndpointListMessage, kind: ListUpdate) {
    let records = last_records(message, &context.deployment);
    if records.len() < message.endpoints.len() {
        tracing::warn!(target: "node_list", version = message.version, records = message.endpoints.len(),
            replicas = records.len(), "endpoint list names a replica more than once: its last record is used");
    }
    for DecodedRecord { record, entry } in &records {
        tracing::debug!(target: "node_list", version = message.version, ?kind, replica = %record.id,
            state = %record.state, started_ms = record.started_ms, machine = %record.kind, "endpoint record");
        if entry.state != EndpointState::Gone {
            let ready = entry.state == EndpointState::Ready;
            context.replicas.upsert(entry.replica, record.addr, record.started_ms, ready);
            context.replicas.set_name(entry.replica, &record.id);
        }
    }
    let entries: Vec<EndpointEntry> = records.into_iter().map(|decoded| decoded.entry).collect();
    let (removed, listed): (Vec<&EndpointEntry>, Vec<&EndpointEntry>) =
        entries.iter().partition(|entry| entry.state == EndpointState::Gone);
    let removed: Vec<ReplicaId> = removed.iter().map(|entry| entry.replica).collect();
    let listed: FxHashSet<ReplicaId> = listed.iter().map(|entry| entry.replica).collect();
    context.dispatcher.with_core(|core, now| core.endpoints_changed(now, kind, entries));
    match kind {
        ListUpdate::Delta | ListUpdate::Override => context.replicas.remove(&removed),
        ListUpdate::Full | ListUpdate::Cached => context.replicas.retain(|id| listed.contains(&id)),
        ListUpdate::Failed | ListUpdate::Silent | ListUpdate::TurnedAway | ListUpdate::Truncated => {}
    }
}

/// Returns the records of a message in their order, keeping only the last one of each replica.
fn last_records<'a>(message: &'a EndpointListMessage, deployment: &Deployment) -> Vec<DecodedRecord<'a>> {
    let mut seen = FxHashSet::default();
    let decode = |record: &'a EndpointRecord| DecodedRecord { record, entry: record.to_entry(deployment) };
    let newest_first = message.endpoints.iter().rev().map(decode);
    let mut records: Vec<_> = newest_first.filter(|decoded| seen.insert(decoded.entry.replica)).collect();
    records.reverse();
    records
}
