//! Leader election: this controller's view of which controller holds the leader's
//! key, and this controller's claims of that key.
//!
//! The key is bound to a lease; the version at which it was written is the leader's
//! fencing token. Election does not decide what a leader does, and does not judge
//! whether another leader is alive: [`super::failure_detector`] does.

mod activation;
mod claim;
mod leader_key;
mod lease;
mod state;

pub use state::ElectionState;

use super::Reply;
use super::effects::{Effects, PendingCalls};
use super::format_version::FormatVersion;
use super::format_version::member_versions::{Activation, MemberVersions};
use crate::types::{FencingToken, NodeId, Time, TimeSpan, Version};
use crate::wire::backoff::Backoff;

/// Timeout of a read or write of the key-value store.
const CALL_TIMEOUT: TimeSpan = TimeSpan::millis(2000);

/// Initial and maximum delay of the exponential backoff after failed calls.
const INITIAL_BACKOFF: TimeSpan = TimeSpan::millis(150);
const MAX_BACKOFF: TimeSpan = TimeSpan::millis(1000);

/// Delay before the key is read again after leadership or a claim was lost: the
/// winner is writing the key during this time.
const RESTART_DELAY: TimeSpan = TimeSpan::millis(50);

/// How long a controller that stepped down makes no claim, so that a peer can claim
/// the key: about the time that a peer needs to notice the vacancy and claim.
const YIELD_DURATION: TimeSpan = TimeSpan::millis(3000);

/// The election state machine of one controller.
#[derive(Debug)]
pub struct Election {
    /// This controller's state in the election.
    pub state: ElectionState,
    /// The leader and its fencing token, as last read from the key-value store.
    pub leader: Option<(NodeId, FencingToken)>,
    /// When the most recent answered read was sent; `None`: no read was answered yet.
    pub last_contact: Option<Time>,
    /// Calls whose reply has not arrived yet.
    pub pending_calls: PendingCalls<PendingCall>,
    /// The active format version, and the versions that each controller supports.
    pub member_versions: MemberVersions,
    node_id: NodeId,
    /// Time to live of the leader's lease.
    lease_ttl: TimeSpan,
    /// Identifies this controller's last claim: a read of the key shows by it whether
    /// a claim whose reply was lost has been applied.
    nonce: u64,
    /// The store's revision up to which changes were read.
    revision: Version,
    /// Whether a call is in flight. At most one call is in flight at any time.
    has_call_in_flight: bool,
    /// No call is made before this time.
    not_before: Time,
    backoff: Backoff,
    /// When the lease's keep-alive must be extended next.
    keep_alive_due: Time,
    /// The highest format version that the policy allows.
    max_version: FormatVersion,
    /// Whether the store holds nothing but member records and the policy allows the first
    /// fenced format version. No controller has led yet then, and the first claim also
    /// activates that version.
    store_is_empty: bool,
    /// The activation of a format version that the next claim carries.
    activation: Option<Activation>,
    /// Whether this controller already leads and claims the key again to activate
    /// a format version.
    claims_as_leader: bool,
    /// The format version that the claim in flight activates.
    claimed_version: Option<FormatVersion>,
}

/// The purpose of a call of the election.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// Read of the leader's key, while this controller's state is unknown.
    ReadLeader {
        /// When the request was sent.
        sent: Time,
    },
    /// Long poll of a follower for changes of the leader's key.
    WatchLeader {
        /// When the request was sent.
        sent: Time,
    },
    /// Request for a lease to which the leader's key is to be bound.
    GrantLease,
    /// Write of this controller's member record.
    Register,
    /// The transaction that claims the leader's key.
    Claim {
        /// The lease to which the claim binds the key.
        lease: u64,
    },
    /// Read of the leader's key after a claim whose reply was lost.
    ReadAfterClaim {
        /// The lease to which the claim binds the key.
        lease: u64,
    },
}

/// Whether a reply made this controller the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionOutcome {
    /// The reply did not make this controller the leader.
    None,
    /// This controller leads from now on.
    Elected {
        /// The fencing token: the version at which the leader's key was written.
        token: FencingToken,
        /// The lease to which the leader's key is bound.
        lease: u64,
    },
}

impl Election {
    /// The election at the start of a process. `lease_ttl` is the time to live of the
    /// lease that this controller requests for a claim, `max_version` the highest
    /// format version that the policy allows.
    pub fn new(
        node_id: NodeId,
        lease_ttl: TimeSpan,
        member_versions: MemberVersions,
        max_version: FormatVersion,
    ) -> Election {
        Election {
            state: ElectionState::Unknown,
            leader: None,
            last_contact: None,
            pending_calls: PendingCalls::default(),
            member_versions,
            node_id,
            lease_ttl,
            nonce: 0,
            revision: Version(0),
            has_call_in_flight: false,
            not_before: Time(0),
            backoff: Backoff::default(),
            keep_alive_due: Time(0),
            max_version,
            store_is_empty: false,
            activation: None,
            claims_as_leader: false,
            claimed_version: None,
        }
    }

    /// Restarts the election after this controller's leadership ended.
    pub fn reset(&mut self, now: Time) {
        self.state = ElectionState::Unknown;
        self.has_call_in_flight = false;
        self.leader = None;
        self.activation = None;
        self.claims_as_leader = false;
        // Replies to calls in flight are ignored: the next read of the store shows
        // their effect.
        self.pending_calls = PendingCalls::default();
        self.not_before = now + RESTART_DELAY;
    }

    /// The leader's key under the active format version.
    pub fn leader_key(&self) -> &'static str {
        self.member_versions.leader_key()
    }

    /// Starts a claim of the key from its present holder. The claim compares the key's
    /// version with `version`. Writes of the holder committed before the claim remain
    /// in force, later ones fail.
    pub fn claim_from_leader(&mut self, version: Version) {
        if self.state != ElectionState::Following(version) {
            return;
        }
        // The reply to the watch in flight is no longer needed.
        self.pending_calls = PendingCalls::default();
        self.has_call_in_flight = false;
        self.state = ElectionState::Vacant(version);
    }

    /// Makes no claim for a while, so that a peer can claim the key first. If no peer
    /// does, this controller claims it again.
    pub fn yield_to_peers(&mut self, now: Time) {
        self.not_before = now + YIELD_DURATION;
    }

    /// Makes the next call, if one is due and none is in flight.
    pub fn tick(&mut self, effects: &mut Effects) {
        if self.has_call_in_flight || effects.now.time < self.not_before {
            return;
        }
        match self.state {
            ElectionState::Unknown => self.read_leader(effects),
            ElectionState::Following(_) | ElectionState::Vacant(_) => {
                self.register_watch_or_claim(effects);
            }
            ElectionState::Leasing(_)
            | ElectionState::Claiming(_)
            | ElectionState::Leading
            | ElectionState::Activating => {}
        }
    }

    fn register_watch_or_claim(&mut self, effects: &mut Effects) {
        if let Some(registration) = self.member_versions.registration() {
            return self.register(effects, &registration);
        }
        match self.state {
            ElectionState::Vacant(version) if self.member_versions.check_serving().is_ok() => {
                self.request_lease(effects, version);
            }
            // A controller that does not support the active format version makes no
            // claim, and follows a controller that does.
            _ => self.watch_leader(effects),
        }
    }

    /// Handles the reply to a call of the election. The caller has removed the call
    /// from [`Election::pending_calls`].
    pub fn handle_reply(
        &mut self,
        effects: &mut Effects,
        call: PendingCall,
        reply: Reply,
    ) -> ElectionOutcome {
        self.has_call_in_flight = false;
        match call {
            PendingCall::ReadLeader { sent } => self.handle_leader_read(effects, sent, &reply),
            PendingCall::WatchLeader { sent } => self.handle_watch(effects, sent, &reply),
            PendingCall::GrantLease => self.handle_lease_grant(effects, &reply),
            PendingCall::Register => self.handle_registration(effects, &reply),
            PendingCall::Claim { lease } => return self.handle_claim(effects, lease, &reply),
            PendingCall::ReadAfterClaim { lease } => {
                return self.handle_claim_read(effects, lease, &reply);
            }
        }
        ElectionOutcome::None
    }

    /// Delays the next call after a failed one.
    fn back_off(&mut self, effects: &mut Effects) {
        let jitter = effects.jitter();
        let delay = self
            .backoff
            .next_pause(INITIAL_BACKOFF, MAX_BACKOFF, jitter);
        self.not_before = effects.now.time + delay;
    }

    /// Records that a read sent at `sent` was answered.
    fn record_contact(&mut self, sent: Time) {
        self.backoff.succeeded();
        self.last_contact = Some(self.last_contact.map_or(sent, |last| last.max(sent)));
    }

    /// Reads the leader's key again, after a delay that grows with each failure.
    fn restart_with_backoff(&mut self, effects: &mut Effects) {
        self.state = ElectionState::Unknown;
        self.back_off(effects);
    }
}

#[cfg(test)]
mod tests;
