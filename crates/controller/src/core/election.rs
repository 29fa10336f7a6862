//! Leader election: this controller's view of who holds the leader's key, and its
//! own claims of that key.
//!
//! The key hangs on a lease; the version at which it was written is the leader's
//! fencing token. Election never decides what a leader does, and never judges
//! whether another leader is alive: see [`super::failure_detector`].

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

/// How long a read or write of the key-value store may take.
const CALL_TIMEOUT: TimeSpan = TimeSpan::millis(2000);

/// First and longest pause after calls that failed, with exponential backoff.
const FIRST_BACKOFF: TimeSpan = TimeSpan::millis(150);
const MAX_BACKOFF: TimeSpan = TimeSpan::millis(1000);

/// Pause before the key is read again after leadership or a claim was lost:
/// whoever won writes it about now.
const RESTART_PAUSE: TimeSpan = TimeSpan::millis(50);

/// How long a controller that gave leadership up leaves it to its peers to claim
/// the key: about the time in which a peer notices and claims.
const YIELD_TO_PEERS: TimeSpan = TimeSpan::millis(3000);

/// One controller's part in the election.
#[derive(Debug)]
pub struct Election {
    /// The state of this controller.
    pub state: ElectionState,
    /// The leader and its token, as the key-value store last said.
    pub leader: Option<(NodeId, FencingToken)>,
    /// When the last read that was answered was sent.
    pub last_contact: Option<Time>,
    /// Calls under way.
    pub pending_calls: PendingCalls<PendingCall>,
    /// The active format version, and those that the controllers support.
    pub member_versions: MemberVersions,
    node_id: NodeId,
    /// Time to live of the leader's lease.
    lease_ttl: TimeSpan,
    /// Identifies the last claim, so that it is found again if its answer is lost.
    nonce: u64,
    /// The store's revision up to which changes are known.
    revision: Version,
    /// Whether a call is under way; there is one at a time.
    is_calling: bool,
    /// No call is made before this.
    not_before: Time,
    backoff: Backoff,
    /// When the lease's keep-alive must be extended next.
    keep_alive_due: Time,
    /// The highest format version that the policy allows.
    max_version: FormatVersion,
    /// Nobody has led yet, and the store may begin at the first fenced version.
    store_is_empty: bool,
    /// The activation of a format version that the next claim carries.
    activation: Option<Activation>,
    /// Whether this controller leads already and claims the key anew, to activate
    /// a format version.
    claims_as_leader: bool,
    /// The format version that the claim under way activates.
    claimed_version: Option<FormatVersion>,
}

/// What a call of the election is for.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// Read of the leader's key.
    ReadLeader {
        /// When it was sent.
        sent: Time,
    },
    /// A follower's watch of the leader's key.
    WatchLeader {
        /// When it was sent.
        sent: Time,
    },
    /// Request for a lease.
    NewLease,
    /// Write of this controller's member record.
    Register,
    /// The transaction that claims the leader's key.
    Claim {
        /// The lease that the key is to hang on.
        lease: u64,
    },
    /// Read of the leader's key after a claim whose answer was lost.
    ClaimRead {
        /// The lease that the key was to hang on.
        lease: u64,
    },
}

/// What a reply leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionOutcome {
    /// Nothing new.
    None,
    /// This controller leads from now on.
    Elected {
        /// Its fencing token.
        token: FencingToken,
        /// The lease that its key hangs on.
        lease: u64,
    },
}

impl Election {
    /// The election at the start of a process.
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
            is_calling: false,
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

    /// Starts over, after leadership ended.
    pub fn reset(&mut self, now: Time) {
        self.state = ElectionState::Unknown;
        self.is_calling = false;
        self.leader = None;
        self.activation = None;
        self.claims_as_leader = false;
        // Calls under way are void: what they led to is read from the store.
        self.pending_calls = PendingCalls::default();
        self.not_before = now + RESTART_PAUSE;
    }

    /// The leader's key under the active format version.
    pub fn holder_key(&self) -> &'static str {
        self.member_versions.holder_key()
    }

    /// Claims the key from its holder, if it still has this version: the claim
    /// compares it. Writes of the holder up to the claim stand, later ones fail.
    pub fn challenge(&mut self, version: Version) {
        if self.state != ElectionState::Following(version) {
            return;
        }
        // The reply to the watch under way is not needed any more.
        self.pending_calls = PendingCalls::default();
        self.is_calling = false;
        self.state = ElectionState::Vacant(version);
    }

    /// Leaves it to the peers to claim the key first. If none does, this controller
    /// claims it again.
    pub fn yield_to_peers(&mut self, now: Time) {
        self.not_before = now + YIELD_TO_PEERS;
    }

    /// Makes the next call, if one is due.
    pub fn tick(&mut self, effects: &mut Effects) {
        if self.is_calling || effects.now.time < self.not_before {
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
            // A controller that does not support the active format version follows
            // one that does.
            _ => self.watch_leader(effects),
        }
    }

    /// Handles the reply to one of its calls.
    pub fn handle_reply(
        &mut self,
        effects: &mut Effects,
        call: PendingCall,
        reply: Reply,
    ) -> ElectionOutcome {
        self.is_calling = false;
        match call {
            PendingCall::ReadLeader { sent } => self.handle_leader_read(effects, sent, &reply),
            PendingCall::WatchLeader { sent } => self.handle_watch(effects, sent, &reply),
            PendingCall::NewLease => self.handle_lease(effects, &reply),
            PendingCall::Register => self.handle_registration(effects, &reply),
            PendingCall::Claim { lease } => return self.handle_claim(effects, lease, &reply),
            PendingCall::ClaimRead { lease } => {
                return self.handle_claim_read(effects, lease, &reply);
            }
        }
        ElectionOutcome::None
    }

    /// Delays the next call after one that failed.
    fn back_off(&mut self, effects: &mut Effects) {
        let jitter = effects.jitter();
        let pause = self.backoff.failed(FIRST_BACKOFF, MAX_BACKOFF, jitter);
        self.not_before = effects.now.time + pause;
    }

    /// Notes that a read sent at this time was answered.
    fn record_contact(&mut self, sent: Time) {
        self.backoff.succeeded();
        self.last_contact = Some(self.last_contact.map_or(sent, |last| last.max(sent)));
    }

    /// Reads the leader's key again, after a pause that grows with each failure.
    fn restart_with_backoff(&mut self, effects: &mut Effects) {
        self.state = ElectionState::Unknown;
        self.back_off(effects);
    }
}

#[cfg(test)]
mod tests;
