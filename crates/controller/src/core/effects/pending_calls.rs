//! The calls whose replies a module of the controller awaits.

use crate::core::CallId;
use std::collections::HashMap;

/// The calls whose replies a module awaits, each with its purpose. A reply that no
/// module awaits is ignored: a module that is dropped abandons its calls.
#[derive(Debug)]
pub struct PendingCalls<T>(HashMap<CallId, T>);

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        PendingCalls(HashMap::new())
    }
}

impl<T> PendingCalls<T> {
    /// Adds a call whose reply is awaited for this purpose.
    pub fn add(&mut self, call: CallId, purpose: T) {
        self.0.insert(call, purpose);
    }

    /// Removes a call and returns its purpose; `None` if no reply to it is awaited.
    pub fn take(&mut self, call: CallId) -> Option<T> {
        self.0.remove(&call)
    }
}
