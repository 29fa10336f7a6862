//! What happens when storage fails: nothing is answered that may not last, and the
//! service goes on once a write succeeds again.

use super::reply::Reply;
use super::{HeldReply, RequestOutcome, Service};
use crate::storage::{Batch, Storage};
use pebblefold_wire::types::{Time, TimeSpan};

/// Pause before the first retry of a failed write.
const FIRST_RETRY: TimeSpan = TimeSpan::millis(200);
/// Longest pause between retries; it doubles up to this.
const LONGEST_RETRY: TimeSpan = TimeSpan::millis(2000);

/// A failure to store, and when to try again.
#[derive(Debug)]
pub(super) struct StorageFault {
    retry_at: Time,
    pause: TimeSpan,
    /// Whether memory shows what is stored.
    reloaded: bool,
}

impl StorageFault {
    fn new(now: Time, pause: TimeSpan, reloaded: bool) -> StorageFault {
        StorageFault {
            retry_at: now + pause,
            pause,
            reloaded,
        }
    }
}

impl<S: Storage> Service<S> {
    /// Decides the replies of a batch whose write failed. Whether it got there can be
    /// told only by reading: if so its replies stand, if not nothing of it happened, and
    /// if nothing can be read nobody can say.
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
        self.storage_fault = Some(StorageFault::new(now, FIRST_RETRY, reloaded));
    }

    fn reload(&mut self, now: Time) -> bool {
        match self.storage.load() {
            Ok(state) => {
                self.state = state;
                self.restore_leases(now);
                true
            }
            Err(e) => {
                tracing::error!(error = %e, "cannot read what is stored");
                false
            }
        }
    }

    /// Tries to write the counters, which changes nothing; service goes on once that
    /// succeeds.
    pub(super) fn retry_storage(&mut self, now: Time) {
        let Some(fault) = &self.storage_fault else {
            return;
        };
        if now < fault.retry_at {
            return;
        }
        let pause = (fault.pause + fault.pause).min(LONGEST_RETRY);
        let reloaded = fault.reloaded || self.reload(now);
        if reloaded && self.write_counters() {
            tracing::info!("stores again");
            self.storage_fault = None;
            self.renew_all_leases(now);
            self.watches_outdated = true;
            return;
        }
        // A write that failed may have been carried out: what is stored has to be read
        // again before the next.
        self.storage_fault = Some(StorageFault::new(now, pause, false));
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
