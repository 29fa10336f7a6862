//! State of provisioning and terminating machines. Each provision and termination is stored
//! as an intent in the key-value store before it is requested, so that a successor completes
//! it. These types make no calls and do not depend on the leader: their callers pass in the
//! observations, and the types return what to write and what to request.

pub mod cloud_proxy;
pub mod intents;
pub mod state;
