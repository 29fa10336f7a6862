//! Chooses whether the leader calls the cloud directly or through a peer. The leader may lose
//! its connection to the cloud while its peers still have theirs; a peer then forwards the
//! leader's calls. Intents make that safe: an intent results in the same provision or
//! termination, whichever controller requests it and however often. Makes no calls itself.

use crate::types::{NodeId, Time, TimeSpan};

/// Unanswered direct calls in a row after which a peer is used.
const MAX_DIRECT_FAILURES: u32 = 2;
/// How long peers are used before the first retry of a direct call.
const INITIAL_BACKOFF: TimeSpan = TimeSpan::millis(10_000);
/// The longest time before such a retry. The time doubles with each retry that fails.
const MAX_BACKOFF: TimeSpan = TimeSpan::millis(160_000);
/// Once direct calls have worked for this many backoffs since the last backoff ended, the
/// backoff returns to its initial value.
const BACKOFFS_TO_RESET: u64 = 4;

/// Chooses between direct calls and calls through a peer.
#[derive(Clone, Debug)]
pub struct CloudProxy {
    peers: Vec<NodeId>,
    /// Index of the peer in use; `None`: calls are direct.
    peer: Option<usize>,
    /// Unanswered direct calls in a row.
    failures: u32,
    backoff: TimeSpan,
    /// When a direct call is next tried while a peer is in use.
    retry_direct_at: Time,
    /// When a call was last answered, direct or through a peer; `None`: never.
    pub last_answered: Option<Time>,
    /// How often the choice changed between direct calls and peers, for operators.
    pub changes: u64,
}

impl CloudProxy {
    /// Starts with direct calls; `peers` are used, in this order, when those fail.
    pub fn new(peers: Vec<NodeId>) -> CloudProxy {
        CloudProxy {
            peers,
            peer: None,
            failures: 0,
            backoff: INITIAL_BACKOFF,
            retry_direct_at: Time(0),
            last_answered: None,
            changes: 0,
        }
    }

    /// The peer to call through now; `None`: call directly.
    pub fn peer(&self, now: Time) -> Option<&NodeId> {
        self.peer
            .filter(|_| now < self.retry_direct_at)
            .and_then(|index| self.peers.get(index))
    }

    /// Records that the cloud answered a call, whatever the answer. `via`: the peer that
    /// forwarded the call; `None`: it was direct.
    pub fn answered(&mut self, now: Time, via: Option<&NodeId>) {
        self.last_answered = Some(now);
        self.failures = 0;
        if via.is_some() {
            return;
        }
        let reset_after = TimeSpan(self.backoff.0 * BACKOFFS_TO_RESET);
        if self.peer.take().is_some() {
            self.changes += 1;
        } else if now.since(self.retry_direct_at) > reset_after {
            self.backoff = INITIAL_BACKOFF;
        }
    }

    /// Records that a call was not answered. `via`: as for [`CloudProxy::answered`].
    pub fn unanswered(&mut self, now: Time, via: Option<&NodeId>) {
        match via {
            Some(_) => self.use_next_peer(),
            None => self.count_direct_failure(now),
        }
    }

    /// Switches to the next peer; after the last peer, to direct calls.
    fn use_next_peer(&mut self) {
        let next = self.peer.map_or(0, |index| index + 1);
        self.changes += 1;
        if next < self.peers.len() {
            self.peer = Some(next);
        } else {
            self.peer = None;
            self.failures = 0;
        }
    }

    /// Counts an unanswered direct call, and switches to a peer if direct calls are failing.
    fn count_direct_failure(&mut self, now: Time) {
        self.failures += 1;
        // While a peer is in use, a single failed retry is enough.
        let has_failed_before = self.peer.is_some();
        let is_failing = self.failures >= MAX_DIRECT_FAILURES || has_failed_before;
        if self.peers.is_empty() || !is_failing {
            return;
        }
        if has_failed_before {
            self.backoff = TimeSpan(self.backoff.0 * 2).min(MAX_BACKOFF);
        }
        self.peer.get_or_insert(0);
        self.retry_direct_at = now + self.backoff;
        self.changes += 1;
    }
}

#[cfg(test)]
mod tests;
