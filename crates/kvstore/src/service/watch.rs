//! Watches: long polls that are answered once a key with their prefix changes.

use super::reply::{Reply, integer_param, parse_query};
use super::{ClientId, RequestId, RequestOutcome, Service, decode_value};
use crate::persisted_state::ChangeRecord;
use crate::storage::Storage;
use pebblefold_wire::kvstore as wire;
use pebblefold_wire::types::{Time, TimeSpan, Version};
use std::collections::BTreeSet;

/// Maximum time that a watch stays open without a change; longer requested times
/// are reduced to it.
const MAX_WATCH_HOLD_MS: u64 = 60_000;

/// An open watch.
#[derive(Debug)]
pub(super) struct Watch {
    request_id: RequestId,
    client: ClientId,
    prefix: String,
    /// The watch reports changes of later revisions than this one.
    since: u64,
    /// The time at which the watch is answered even without changes.
    deadline: Time,
}

impl Watch {
    pub(super) fn is_due(&self, now: Time) -> bool {
        now >= self.deadline
    }
}

/// A change in the form of the protocol.
fn watch_event(revision: u64, change: &ChangeRecord) -> wire::WatchEvent {
    let (put, delete) = match change.value {
        Some(_) => (Some(change.key.clone()), None),
        None => (None, Some(change.key.clone())),
    };
    wire::WatchEvent {
        put,
        delete,
        value: change.value.as_ref().map(decode_value).unwrap_or_default(),
        version: Version(revision),
    }
}

impl<S: Storage> Service<S> {
    /// Opens a watch. `Ok(None)`: nothing to report yet; a later flush returns the
    /// reply.
    pub(super) fn open_watch(
        &mut self,
        now: Time,
        client: ClientId,
        request_id: RequestId,
        query: &str,
    ) -> Result<Option<Reply>, Reply> {
        let params = parse_query(query)?;
        let since = integer_param(&params, "since", 0)?;
        let hold_ms = integer_param(&params, "hold_ms", 0)?.min(MAX_WATCH_HOLD_MS);
        let watch = Watch {
            request_id,
            client,
            prefix: params.get("starts").copied().unwrap_or("").into(),
            since,
            deadline: now + TimeSpan::millis(hold_ms),
        };
        let reply = self.watch_reply(&watch, now);
        if reply.is_none() {
            self.watches.push(watch);
        }
        Ok(reply)
    }

    /// The reply to a watch; `None` if it has nothing to report and is not due yet.
    fn watch_reply(&self, watch: &Watch, now: Time) -> Option<Reply> {
        if watch.since < self.state.counters.compacted_revision {
            return Some(Reply::error(410, "changes since then are no longer kept"));
        }
        let log = &self.state.changes;
        let first = log.partition_point(|(change_id, _)| change_id.0 <= watch.since);
        let events: Vec<wire::WatchEvent> = log
            .range(first..)
            .filter(|(_, change)| change.key.starts_with(&watch.prefix))
            .map(|(change_id, change)| watch_event(change_id.0, change))
            .collect();
        if events.is_empty() && !watch.is_due(now) {
            return None;
        }
        let revision = Version(self.state.counters.revision);
        Some(Reply::message(
            200,
            &wire::WatchResponse { revision, events },
        ))
    }

    /// Answers the watches that have changes to report or reached their deadline; the
    /// others stay open.
    pub(super) fn answer_watches(&mut self, now: Time) {
        self.watches_outdated = false;
        if self.outage || self.storage_fault.is_some() {
            return;
        }
        for watch in std::mem::take(&mut self.watches) {
            // A refused client's watches stay open, as all watches do in an outage.
            let reply = if self.refused_clients.contains(&watch.client) {
                None
            } else {
                self.watch_reply(&watch, now)
            };
            match reply {
                Some(reply) => {
                    self.hold_reply(watch.request_id, RequestOutcome::Reply(reply), false);
                }
                None => self.watches.push(watch),
            }
        }
    }

    /// Removes the watches among `cancelled`, whose clients no longer wait for a reply.
    pub fn cancel_watches(&mut self, cancelled: &BTreeSet<RequestId>) {
        self.watches
            .retain(|watch| !cancelled.contains(&watch.request_id));
    }
}
