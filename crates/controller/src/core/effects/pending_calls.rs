//! The calls that a part waits for.

use crate::core::CallId;
use std::collections::HashMap;

/// The calls that a part waits for, each with what its reply is for. A reply that
/// no part waits for is void: a part that is gone takes its calls along.
#[derive(Debug)]
pub struct PendingCalls<T>(HashMap<CallId, T>);

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        PendingCalls(HashMap::new())
    }
}

impl<T> PendingCalls<T> {
    /// Notes what a call's reply is for.
    pub fn add(&mut self, call: CallId, purpose: T) {
        self.0.insert(call, purpose);
    }

    /// What a reply is for, if this part waits for it; given once.
    pub fn take(&mut self, call: CallId) -> Option<T> {
        self.0.remove(&call)
    }
}
