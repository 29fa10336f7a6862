//! Handling of storage failures: replies that depend on changes which may not be stored
//! are replaced, and all requests get 503 until a write succeeds again.

use super::reply::Reply;
use super::{HeldReply, RequestOutcome, Service};
use crate::storage::{Batch, Storage};
use pebblefold_wire::types::{Time, TimeSpan};

/// Delay before the first retry after a failed write.
const MIN_RETRY_DELAY: TimeSpan = TimeSpan::millis(200);
/// Maximum delay between retries; the delay doubles up to this value.
const MAX_RETRY_DELAY: TimeSpan = TimeSpan::millis(2000);

/// A storage failure that lasts, and the time of the next retry.
#[derive(Debug)]
pub(super) struct StorageFault {
    retry_at: Time,
    delay: TimeSpan,
    /// Whether the state in memory was loaded from storage after the last failed write.
    reloaded: bool,
}

impl StorageFault {
    fn new(now: Time, delay: TimeSpan, reloaded: bool) -> StorageFault {
        StorageFault {
            retry_at: now + delay,
            delay,
            reloaded,
        }
    }
}

impl<S: Storage> Service<S> {
    /// Decides the replies that were held for a batch whose write failed. The batch may
    /// have been stored all the same, which only a reload shows. If it was stored, the
    /// replies remain valid; if not, none of its changes happened and all requests get
    /// 503. If the reload fails too, the outcome of the changes is unknown, and only
    /// requests without changes get 503.
    pub(super) fn handle_write_failure(
        &mut self,
        now: Time,
        batch: &Batch,
        held: &mut [HeldReply],
    ) {
        let reloaded = self.reload(now);
        let stored = reloaded && self.state.counters.batch == batch.counters.batch;
        if !stored {
            for reply in held {
                reply.outcome = if reloaded || !reply.writes {
                    RequestOutcome::Reply(Reply::empty(503))
                } else {
                    RequestOutcome::Unanswered
                };
            }
        }
        self.storage_fault = Some(StorageFault::new(now, MIN_RETRY_DELAY, reloaded));
    }

    fn reload(&mut self, now: Time) -> bool {
        match self.storage.load() {
            Ok(state) => {
                self.state = state;
                self.restore_leases(now);
                true
            }
            Err(e) => {
                tracing::error!(error = %e, "cannot load the stored state");
                false
            }
        }
    }

    /// Once the retry is due, writes a batch without changes; if that succeeds, the
    /// service accepts requests again.
    pub(super) fn retry_storage(&mut self, now: Time) {
        let Some(fault) = &self.storage_fault else {
            return;
        };
        if now < fault.retry_at {
            return;
        }
        let delay = (fault.delay + fault.delay).min(MAX_RETRY_DELAY);
        let reloaded = fault.reloaded || self.reload(now);
        if reloaded && self.write_counters() {
            tracing::info!("storage accepts writes again");
            self.storage_fault = None;
            self.renew_all_leases(now);
            self.watches_outdated = true;
            return;
        }
        // A failed write may have been executed: the stored state has to be loaded again
        // before the next write.
        self.storage_fault = Some(StorageFault::new(now, delay, false));
    }

    fn write_counters(&mut self) -> bool {
        self.state.counters.batch += 1;
        let probe = Batch {
            counters: self.state.counters,
            ..Batch::default()
        };
        self.storage.write(&probe).is_ok()
    }
}
