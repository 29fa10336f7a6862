//! The controller as a state machine: its inputs are events with their arrival times,
//! its outputs are calls, answers and lease renewals. No module here does I/O or reads a
//! clock; `crate::driver` does both.
//!
//! | subject | modules |
//! | --- | --- |
//! | inputs and outputs | [`inputs`], [`outputs`], [`lease_keep_alive`], [`effects`] |
//! | one controller and its peers | [`node`], [`election`], [`failure_detector`], [`self_health`], [`cache_hints`], [`leader_announcement`] |
//! | formats shared by several builds | [`format_version`] |
//! | users' requests | [`job_api`], [`read_coalescing`] |
//! | the leader | [`leader`], [`leader_authority`], [`pending_writes`], [`delivery`], [`quarantine`], [`circuit_breaker`], [`sent_starts`], [`machine`], [`assignment`], [`garbage_collection`] |
//! | scheduling decisions | [`scheduling_cycle`], [`preemption`], [`quota`], [`placement_tables`] |
//! | the cloud | [`autoscaler`] |
//! | stored records | [`job_records`], [`keys`] |
//! | safety checks that tests can disable | [`failpoints`] |

pub mod assignment;
pub mod autoscaler;
pub mod cache_hints;
pub mod circuit_breaker;
pub mod delivery;
pub mod effects;
pub mod election;
pub mod failpoints;
pub mod failure_detector;
pub mod format_version;
pub mod garbage_collection;
pub mod inputs;
pub mod job_api;
pub mod job_records;
pub mod keys;
pub mod leader;
pub mod leader_announcement;
pub mod leader_authority;
pub mod lease_keep_alive;
pub mod machine;
pub mod node;
pub mod outputs;
pub mod pending_writes;
pub mod placement_tables;
pub mod preemption;
pub mod quarantine;
pub mod quota;
pub mod read_coalescing;
pub mod scheduling_cycle;
pub mod self_health;
pub mod sent_starts;
pub mod store_limits;

pub use inputs::{CallId, Input, Listener, Now, Reply, RequestId};
pub use lease_keep_alive::LeaseKeepAlive;
pub use outputs::{Answer, Call, Output, Target};
