//! Who calls the cloud for the leader. Holding leadership and reaching the cloud
//! differ: a leader that alone does not reach the cloud has a peer call it. Intents
//! make that safe: whoever carries one out, and however often, it is the same
//! provision or termination. Nothing here sends a call.

use crate::types::{NodeId, Time, TimeSpan};

/// Direct calls in a row without an answer before a peer is used.
const MAX_DIRECT_FAILURES: u32 = 2;
/// How long a peer is used before a direct call is tried again, at first.
const INITIAL_BACKOFF: TimeSpan = TimeSpan::millis(10_000);
/// The longest such time. It doubles each time the direct call still fails.
const MAX_BACKOFF: TimeSpan = TimeSpan::millis(160_000);
/// Direct calls that have worked for this many backoffs since the last one ended the
/// backoff: the next failure is a new one.
const BACKOFFS_TO_RESET: u64 = 4;

/// Chooses between direct calls and calls through a peer.
#[derive(Clone, Debug)]
pub struct CloudProxy {
    peers: Vec<NodeId>,
    /// Index of the peer in use; `None`: calls are direct.
    peer: Option<usize>,
    /// Direct calls in a row without an answer.
    failures: u32,
    backoff: TimeSpan,
    /// When a direct call is tried again.
    retry_direct_at: Time,
    /// When a call was last answered.
    pub last_answered: Option<Time>,
    /// How often the way of calling changed.
    pub changes: u64,
}

impl CloudProxy {
    /// Direct calls, with these peers to fall back on.
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

    /// Records that a call was answered, whatever the answer. `by`: the peer that made
    /// it; `None`: it was direct.
    pub fn answered(&mut self, now: Time, by: Option<&NodeId>) {
        self.last_answered = Some(now);
        self.failures = 0;
        if by.is_some() {
            return;
        }
        let reset_after = TimeSpan(self.backoff.0 * BACKOFFS_TO_RESET);
        if self.peer.take().is_some() {
            self.changes += 1;
        } else if now.since(self.retry_direct_at) > reset_after {
            self.backoff = INITIAL_BACKOFF;
        }
    }

    /// Records that a call was not answered. `by`: as for [`CloudProxy::answered`].
    pub fn unanswered(&mut self, now: Time, by: Option<&NodeId>) {
        match by {
            Some(_) => self.use_next_peer(),
            None => self.count_direct_failure(now),
        }
    }

    /// Goes on to the next peer; after the last one to direct calls.
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

    fn count_direct_failure(&mut self, now: Time) {
        self.failures += 1;
        // Once direct calls have failed, one more failure is enough.
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
