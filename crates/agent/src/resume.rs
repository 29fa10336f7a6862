//! Decides whether a starting agent resumes the epoch that it finds on disk. This module
//! only decides: it reads no file, ends no process and writes nothing.
//!
//! Times are of `CLOCK_BOOTTIME` ([`crate::shim::boottime_us`]): within a boot this clock
//! never goes back, and it advances while the machine sleeps.

use crate::journal::JournalContents;
use crate::link::{LinkState, LinkTimes};
use crate::shim::Lease;
use pebblefold_wire::types::{AgentEpoch, HeartbeatSequence, Time};

/// Why a stored lease isn't resumed. Whatever the reason, everything of the last epoch is
/// ended and the next epoch begins.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseRefusal {
    /// No agent has run in this directory before.
    #[error("the journal holds no epoch: the directory is new")]
    FirstStart,
    /// The lease file is missing, torn or of another format.
    #[error("the stored lease cannot be read: {0}")]
    Unreadable(String),
    /// The machine has been rebooted since the lease was written.
    #[error("the stored lease is of boot {lease}, this is boot {machine}")]
    OtherBoot {
        /// The id of the boot that the lease was written in.
        lease: String,
        /// The id of the current boot.
        machine: String,
    },
    /// The lease's epoch isn't the journal's.
    #[error("the stored lease is of epoch {lease}, the journal is at epoch {journal}")]
    OtherEpoch {
        /// The lease's epoch.
        lease: u64,
        /// The journal's epoch.
        journal: u64,
    },
    /// The lease has expired, or is too close to its end to be relied on.
    #[error("the stored lease ended at {until_us} us, now is {now_us} us since the boot")]
    Expired {
        /// When the lease ends, in microseconds since the boot.
        until_us: u64,
        /// The current time, in microseconds since the boot.
        now_us: u64,
    },
    /// The lease ends later than a whole lease from now, which no agent writes.
    #[error("the stored lease ends at {until_us} us, a whole lease from now at {max_us} us")]
    TooLong {
        /// When the lease ends, in microseconds since the boot.
        until_us: u64,
        /// The latest possible end of a lease, in microseconds since the boot.
        max_us: u64,
    },
}

/// How an agent starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartDecision {
    /// The state that the agent's link starts with.
    pub link: LinkState,
    /// Why the last epoch ends; `None`: the epoch and its attempts are resumed.
    pub refusal: Option<LeaseRefusal>,
}

/// Decides how an agent starts, from its journal and its stored lease, or the reason why
/// the lease cannot be read.
pub fn decide_start(
    contents: &JournalContents,
    lease: Result<Lease, String>,
    boot: &str,
    now: Time,
    link_times: LinkTimes,
) -> StartDecision {
    match usable_lease(contents, lease, boot, now, link_times) {
        Ok((epoch, until_us)) => StartDecision {
            link: LinkState {
                epoch,
                token: contents.token,
                // The lease is resumed with its remaining time, and not extended.
                lease_start: Time(until_us.saturating_sub(link_times.lease_duration.0)),
                // Earlier heartbeats of this epoch were numbered, and the controllers
                // ignore a number that isn't higher than the last. Numbers rise by one a
                // message, and a message takes longer than a microsecond: none had a number
                // as great as the microseconds since the boot.
                sequence: HeartbeatSequence(now.0),
            },
            refusal: None,
        },
        Err(refusal) => StartDecision {
            link: LinkState {
                epoch: AgentEpoch(contents.epoch.map_or(1, |last| last.0 + 1)),
                token: contents.token,
                lease_start: now,
                sequence: HeartbeatSequence(0),
            },
            refusal: Some(refusal),
        },
    }
}

/// The epoch to resume, and when its lease ends, in microseconds since the boot.
fn usable_lease(
    contents: &JournalContents,
    lease: Result<Lease, String>,
    boot: &str,
    now: Time,
    link_times: LinkTimes,
) -> Result<(AgentEpoch, u64), LeaseRefusal> {
    let epoch = contents.epoch.ok_or(LeaseRefusal::FirstStart)?;
    let lease = lease.map_err(LeaseRefusal::Unreadable)?;
    if lease.boot != boot {
        return Err(LeaseRefusal::OtherBoot {
            lease: lease.boot,
            machine: boot.into(),
        });
    }
    if lease.epoch != epoch.0 {
        return Err(LeaseRefusal::OtherEpoch {
            lease: lease.epoch,
            journal: epoch.0,
        });
    }
    let until_us = lease.until_us;
    if lease.is_unusable(boot, epoch.0, now.0) {
        let now_us = now.0;
        return Err(LeaseRefusal::Expired { until_us, now_us });
    }
    let max_us = (now + link_times.lease_duration).0;
    if until_us > max_us {
        return Err(LeaseRefusal::TooLong { until_us, max_us });
    }
    Ok((epoch, until_us))
}
