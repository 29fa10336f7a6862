//! Whether an agent that starts goes on with the epoch that it finds on disk. It only
//! decides: it reads no file, ends no process and writes nothing.
//!
//! Time counts by `CLOCK_BOOTTIME` ([`crate::shim::steady_us`]): it never goes back
//! within a start of the machine, and counts on while the machine sleeps.

use crate::journal::Kept;
use crate::link::{LinkState, Pace};
use crate::shim::Lease;
use pebblefold_wire::types::{AgentEpoch, HeartbeatSequence, Time};

/// Why a stored lease is not gone on with. Whatever the reason, everything of the last
/// epoch is ended and the next epoch begins.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseRefusal {
    /// Nothing ran here before.
    #[error("the journal holds no epoch: the directory is new")]
    FirstStart,
    /// The lease's file is missing, torn or of another form.
    #[error("the stored lease cannot be read: {0}")]
    Unreadable(String),
    /// The machine was started again since.
    #[error("the stored lease is of boot {lease}, this is boot {machine}")]
    OtherBoot {
        /// The boot that the lease is bound to.
        lease: String,
        /// The machine's.
        machine: String,
    },
    /// It belongs to another epoch than the journal's.
    #[error("the stored lease is of epoch {lease}, the journal is at epoch {journal}")]
    OtherEpoch {
        /// The lease's epoch.
        lease: u64,
        /// The journal's epoch.
        journal: u64,
    },
    /// It is over, or will be before anything could rely on it.
    #[error("the stored lease ended at {until_us} us, now is {now_us} us since the boot")]
    Expired {
        /// When it ended, in microseconds since the boot.
        until_us: u64,
        /// Now, likewise.
        now_us: u64,
    },
    /// It claims more than a whole lease from now on.
    #[error("the stored lease ends at {until_us} us, a whole lease from now at {most_us} us")]
    TooLong {
        /// When it says it ends, in microseconds since the boot.
        until_us: u64,
        /// The latest that it could be, likewise.
        most_us: u64,
    },
}

/// How an agent starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// What its link starts with.
    pub link: LinkState,
    /// Why the last epoch ends; `None`: it goes on, and so do its attempts.
    pub refusal: Option<LeaseRefusal>,
}

/// Decides how an agent starts, from its journal and its stored lease (or why that
/// cannot be read).
pub fn start(
    kept: &Kept,
    lease: Result<Lease, String>,
    boot: &str,
    now: Time,
    pace: Pace,
) -> Start {
    match usable_lease(kept, lease, boot, now, pace) {
        Ok((epoch, until_us)) => Start {
            link: LinkState {
                epoch,
                token: kept.token,
                // The same epoch goes on, and not for longer.
                leased: Time(until_us.saturating_sub(pace.lease.0)),
                // Heartbeats of this epoch were numbered before, and the controllers
                // pass over older ones. A message takes longer than a microsecond, so
                // none had a number as great as this.
                sequence: HeartbeatSequence(now.0),
            },
            refusal: None,
        },
        Err(refusal) => Start {
            link: LinkState {
                epoch: AgentEpoch(kept.epoch.map_or(1, |last| last.0 + 1)),
                token: kept.token,
                leased: now,
                sequence: HeartbeatSequence(0),
            },
            refusal: Some(refusal),
        },
    }
}

/// The epoch that goes on, and until when its lease lasts.
fn usable_lease(
    kept: &Kept,
    lease: Result<Lease, String>,
    boot: &str,
    now: Time,
    pace: Pace,
) -> Result<(AgentEpoch, u64), LeaseRefusal> {
    let epoch = kept.epoch.ok_or(LeaseRefusal::FirstStart)?;
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
    if lease.over(boot, epoch.0, now.0) {
        let now_us = now.0;
        return Err(LeaseRefusal::Expired { until_us, now_us });
    }
    let most_us = (now + pace.lease).0;
    if until_us > most_us {
        return Err(LeaseRefusal::TooLong { until_us, most_us });
    }
    Ok((epoch, until_us))
}
