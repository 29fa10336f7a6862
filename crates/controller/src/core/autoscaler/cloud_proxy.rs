//! Who carries out what the holder of a duty means to have done. Holding a
//! duty and being able to do it differ: a holder that alone does not reach the
//! cloud asks a peer to call it. Intents make that safe: whoever carries one
//! out, and however often, it is the same hire or release.

use crate::types::{NodeId, Time, TimeSpan};

/// Calls of our own in a row that were not answered before a peer is asked.
const PATIENCE: u32 = 2;
/// How long a peer is asked before our own way is tried again, at first.
const PAUSE: TimeSpan = TimeSpan::millis(10_000);
/// The longest such time. It doubles each time our own way still fails.
const LONGEST: TimeSpan = TimeSpan::millis(160_000);

/// The hands of a duty.
#[derive(Clone, Debug)]
pub struct CloudProxy {
    peers: Vec<NodeId>,
    /// The peer that is asked.
    peer: Option<usize>,
    failures: u32,
    pause: TimeSpan,
    /// When our own way is tried again.
    again: Time,
    /// When a call was last answered.
    pub progress: Option<Time>,
    /// How often the hands changed.
    pub changes: u64,
}

impl CloudProxy {
    /// Our own, with these peers to fall back on.
    pub fn new(peers: Vec<NodeId>) -> CloudProxy {
        CloudProxy {
            peers,
            peer: None,
            failures: 0,
            pause: PAUSE,
            again: Time(0),
            progress: None,
            changes: 0,
        }
    }

    /// Whom to ask now; `None`: nobody, we call ourselves.
    pub fn peer(&self, now: Time) -> Option<&NodeId> {
        self.peer
            .filter(|_| now < self.again)
            .and_then(|i| self.peers.get(i))
    }

    /// A call was answered, whatever the answer.
    pub fn answered(&mut self, now: Time, by: Option<&NodeId>) {
        self.progress = Some(now);
        self.failures = 0;
        if by.is_none() {
            if self.peer.take().is_some() {
                self.changes += 1;
            } else if now.since(self.again) > TimeSpan(self.pause.0 * 4) {
                // Our own way has held for long: the next failure is a new one.
                self.pause = PAUSE;
            }
        }
    }

    /// A call was not answered.
    pub fn unanswered(&mut self, now: Time, by: Option<&NodeId>) {
        if by.is_some() {
            // The next peer; after the last one our own way.
            let next = self.peer.map_or(0, |i| i + 1);
            self.changes += 1;
            if next < self.peers.len() {
                self.peer = Some(next);
            } else {
                self.peer = None;
                self.failures = 0;
            }
            return;
        }
        self.failures += 1;
        // Once our own way has failed, one more failure is enough.
        if !self.peers.is_empty() && (self.failures >= PATIENCE || self.peer.is_some()) {
            if self.peer.is_some() {
                self.pause = TimeSpan(self.pause.0 * 2).min(LONGEST);
            }
            self.peer.get_or_insert(0);
            self.again = now + self.pause;
            self.changes += 1;
        }
    }
}

#[cfg(test)]
mod tests;
