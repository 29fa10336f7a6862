//! Provisioning and terminating machines, as plain values: what the leader intends to
//! do is stored in the key-value store before it is done, so that a successor completes
//! it. Nothing here knows the leader: it is given what is known, and says what to write
//! and what to request.

pub mod cloud_proxy;
pub mod intents;
pub mod state;
