//! Transactions that the key-value store refuses with status 400: which of their items are
//! written again at once, in smaller transactions, and which are delayed. Nothing is sent
//! here.

use crate::core::effects::Effects;
use crate::core::job_records::{BuiltTransaction, CommitItem};
use crate::core::store_limits::{Division, RefusalCause, TransactionSize};
use crate::types::{Time, TimeSpan};
use crate::wire::kvstore::{Operation, error_text};
use std::collections::VecDeque;

/// Pause before a write is repeated that the store refuses for another reason than its
/// size.
const REFUSED_WRITE_PAUSE: TimeSpan = TimeSpan::millis(10_000);

/// The writes that the store refuses for another reason than their size, and the search
/// for them.
#[derive(Debug, Default)]
pub(in crate::core) struct RefusedWrites {
    /// Whether the next transaction has a single item, to find out which one is refused.
    isolates_next_item: bool,
    /// Refused items, and when each is written again, in the order of these times.
    delayed: VecDeque<(Time, CommitItem)>,
}

impl RefusedWrites {
    /// Handles the refusal of a transaction, of which nothing was executed. Returns the
    /// items to write again at once. An item that is refused by itself and not for its
    /// size is delayed, so that no other waits for it.
    pub fn handle_refusal(
        &mut self,
        effects: &mut Effects,
        refused: BuiltTransaction,
        body: &[u8],
    ) -> Vec<CommitItem> {
        let BuiltTransaction { transaction, items } = refused;
        let size = TransactionSize::of(&transaction);
        let cause = effects.record_store_refusal(size, Division::Parts(items.len()));
        self.isolates_next_item = cause == RefusalCause::OneOfItsParts;
        if cause != RefusalCause::NotItsSize {
            return items;
        }
        let keys: Vec<&str> = transaction.ops.iter().map(Operation::key).collect();
        let error = error_text(body);
        tracing::error!(
            ?keys,
            error,
            "the key-value store refuses a write; it is repeated later"
        );
        let retry_at = effects.now.time + REFUSED_WRITE_PAUSE;
        let delayed = items.into_iter().map(|item| (retry_at, item));
        self.delayed.extend(delayed);
        Vec::new()
    }

    /// Whether the next transaction is to have a single item. True only once for each
    /// refusal.
    pub fn take_isolation(&mut self) -> bool {
        std::mem::take(&mut self.isolates_next_item)
    }

    /// Takes out a delayed item whose pause is over.
    pub fn take_due(&mut self, now: Time) -> Option<CommitItem> {
        let next = self.delayed.pop_front_if(|(retry_at, _)| now >= *retry_at);
        next.map(|(_, item)| item)
    }
}

#[cfg(test)]
mod tests;
