//! Provisioning and terminating machines, as plain values: what the leader means to
//! have done stands in the key-value store before it is done, so that a successor
//! finishes it. Nothing here knows the leader; it is told what is so, and says what to
//! write and what to ask for.

pub mod cloud_proxy;
pub mod intents;
pub mod state;
