//! Who leads: the holder of a key that hangs on a lease. Its version is the
//! token.

use super::effects::{Effects, PendingCalls};
use super::format_version::member_versions::{self, MemberVersions};
use super::format_version::{FENCED, FormatVersion};
use super::job_records::{self, LeaderRecord};
use super::{LeaseKeepAlive, Reply, Target};
use crate::types::{FencingToken, NodeId, Time, TimeSpan, Version};
use crate::wire;
use crate::wire::backoff::Backoff;
use crate::wire::kvstore::{
    Entry, EntryPage, LeaseGrant, LeaseGrantRequest, Operation, Precondition, Transaction,
    TransactionResponse, WatchResponse,
};
use rand::RngExt;
use std::fmt;

/// Hold of a follower's watch.
const HOLD: TimeSpan = TimeSpan::millis(2000);

/// How long the lease is kept for a leader that says nothing meanwhile.
const KEPT_FOR: TimeSpan = TimeSpan::millis(10_000);

/// Renewals are at most so far apart: they show whether the state service answers.
const RENEWED: TimeSpan = TimeSpan::millis(250);

/// How long a node that handed its duties over waits for others to take them.
const OTHERS_FIRST: TimeSpan = TimeSpan::millis(3000);

/// Where this node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionState {
    /// Does not know yet who leads.
    Unknown,
    /// Somebody leads, or the key was there at this version.
    Following(Version),
    /// Nobody leads, or an earlier life of this node does (its version).
    Vacant(Version),
    /// Has asked for a lease, to claim against this version.
    Leasing(Version),
    /// Has asked for the key.
    Claiming(u64),
    /// Leads.
    Leading,
    /// Leads, and has asked for a lease to rise to the first fenced level.
    Rising,
}

impl fmt::Display for ElectionState {
    /// The spelling in `/inspect`, whatever the variants are called.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ElectionState::Unknown => f.write_str("Unknown"),
            ElectionState::Following(version) => write!(f, "Following(Version({version}))"),
            ElectionState::Vacant(version) => write!(f, "Vacant(Version({version}))"),
            ElectionState::Leasing(version) => write!(f, "Leasing(Version({version}))"),
            ElectionState::Claiming(lease) => write!(f, "Claiming({lease})"),
            ElectionState::Leading => f.write_str("Leading"),
            ElectionState::Rising => f.write_str("Rising"),
        }
    }
}

/// Election's state.
#[derive(Debug)]
pub struct Election {
    /// Where this node stands.
    pub standing: ElectionState,
    node_id: NodeId,
    ttl: TimeSpan,
    nonce: u64,
    revision: Version,
    calling: bool,
    not_before: Time,
    backoff: Backoff,
    keep_due: Time,
    /// Who leads, as the state service last said.
    pub leader: Option<(NodeId, FencingToken)>,
    /// When the last answered read was sent.
    pub contact: Option<Time>,
    /// Calls under way.
    pub pending_calls: PendingCalls<PendingCall>,
    /// The level in force, and what the nodes serve.
    pub registry: MemberVersions,
    /// The highest level that the policy allows.
    highest: FormatVersion,
    /// Nobody has led yet: the store may begin at the first fenced level.
    virgin: bool,
    /// Conditions and changes of a rise that the next claim carries.
    rise: Option<member_versions::Activation>,
    /// Whether the claim under way is a leader's, to rise.
    rising: bool,
    /// The level that the claim under way brings.
    brings: Option<FormatVersion>,
}

/// What the election waits for.
#[derive(Clone, Debug)]
pub enum PendingCall {
    /// The leader's key.
    ReadLeader {
        /// When it was asked for.
        sent: Time,
    },
    /// A follower's watch.
    WatchLeader {
        /// When it was asked for.
        sent: Time,
    },
    /// A new lease.
    NewLease,
    /// What this node wrote about itself.
    Register,
    /// The claim of the leader's key.
    Claim {
        /// The lease.
        lease: u64,
    },
    /// The leader's key, after a claim whose answer was lost.
    ClaimRead {
        /// The lease.
        lease: u64,
    },
}

/// What an answer leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionOutcome {
    /// Nothing new.
    None,
    /// This node leads now, with this token and lease.
    Elected(FencingToken, u64),
}

impl Election {
    /// At the start of a process.
    pub fn new(
        node_id: NodeId,
        ttl: TimeSpan,
        registry: MemberVersions,
        highest: FormatVersion,
    ) -> Election {
        Election {
            registry,
            highest,
            virgin: false,
            rise: None,
            rising: false,
            brings: None,
            standing: ElectionState::Unknown,
            node_id,
            ttl,
            nonce: 0,
            revision: Version(0),
            calling: false,
            not_before: Time(0),
            backoff: Backoff::default(),
            keep_due: Time(0),
            leader: None,
            contact: None,
            pending_calls: PendingCalls::default(),
        }
    }

    /// Starts over, after leadership ended.
    pub fn reset(&mut self, now: Time) {
        self.standing = ElectionState::Unknown;
        self.calling = false;
        self.leader = None;
        (self.rise, self.rising) = (None, false);
        // Whatever was under way is void: what it led to is read.
        self.pending_calls = PendingCalls::default();
        self.not_before = now + TimeSpan::millis(50);
    }

    /// Where the leader's key is.
    pub fn holder_key(&self) -> &'static str {
        self.registry.holder_key()
    }

    /// This node leads and rises to the first fenced level: the leader's key moves,
    /// so it is claimed anew, in the commit that raises the level.
    pub fn rise(
        &mut self,
        effects: &mut Effects,
        token: FencingToken,
        rise: member_versions::Activation,
    ) {
        if self.standing == ElectionState::Leading && !self.calling {
            (self.rise, self.rising) = (Some(rise), true);
            self.standing = ElectionState::Vacant(Version(token.0));
            self.tick(effects);
            if self.calling {
                self.standing = ElectionState::Rising;
            } else {
                self.goes_on();
            }
        }
    }

    /// Takes the key from its holder, if it still has this version: the claim
    /// compares it. What the holder has written by then stands, what it writes
    /// later fails.
    pub fn depose(&mut self, version: Version) {
        if self.standing == ElectionState::Following(version) {
            // The watch under way has nothing more to say.
            self.pending_calls = PendingCalls::default();
            self.calling = false;
            self.standing = ElectionState::Vacant(version);
        }
    }

    /// Leaves it to others to claim the key first. If nobody does, this node
    /// stands again.
    pub fn let_others_go_first(&mut self, now: Time) {
        self.not_before = now + OTHERS_FIRST;
    }

    /// Makes the next call, if one is due.
    pub fn tick(&mut self, effects: &mut Effects) {
        let now = effects.now.time;
        if self.calling || now < self.not_before {
            return;
        }
        let registration = self.registry.registration();
        let serves = self.registry.serves().is_ok();
        let mut call = |effects: &mut Effects, method, path: String, body, timeout, awaits| {
            self.calling = true;
            let id = effects.call(Target::State, method, path, body, timeout);
            self.pending_calls.add(id, awaits);
        };
        // One that cannot serve the level in force follows whoever can.
        let standing = match self.standing {
            ElectionState::Vacant(version) if !serves => ElectionState::Following(version),
            standing => standing,
        };
        match standing {
            ElectionState::Unknown => call(
                effects,
                "GET",
                format!("/keys?starts={}&most=1000", member_versions::PREFIX),
                Vec::new(),
                TimeSpan::secs(2.0),
                PendingCall::ReadLeader { sent: now },
            ),
            ElectionState::Following(_) | ElectionState::Vacant(_) if registration.is_some() => {
                let body = registration.map(|txn| wire::encode(&txn));
                call(
                    effects,
                    "POST",
                    "/commit".into(),
                    body.unwrap_or_default(),
                    TimeSpan::secs(2.0),
                    PendingCall::Register,
                );
            }
            ElectionState::Following(_) => {
                let path = format!(
                    "/changes?starts={}&since={}&hold_ms={}",
                    member_versions::PREFIX,
                    self.revision,
                    HOLD.as_millis()
                );
                let timeout = HOLD + TimeSpan::secs(2.0);
                call(
                    effects,
                    "GET",
                    path,
                    Vec::new(),
                    timeout,
                    PendingCall::WatchLeader { sent: now },
                );
            }
            ElectionState::Vacant(version) => {
                let request = LeaseGrantRequest {
                    ttl_ms: self.ttl.as_millis(),
                };
                call(
                    effects,
                    "POST",
                    "/leases".into(),
                    wire::encode(&request),
                    TimeSpan::secs(2.0),
                    PendingCall::NewLease,
                );
                self.standing = ElectionState::Leasing(version);
            }
            ElectionState::Leasing(_)
            | ElectionState::Claiming(_)
            | ElectionState::Leading
            | ElectionState::Rising => {}
        }
    }

    /// Takes a reply to one of its calls.
    pub fn on_reply(
        &mut self,
        effects: &mut Effects,
        what: PendingCall,
        reply: Reply,
    ) -> ElectionOutcome {
        match what {
            PendingCall::ReadLeader { sent } => self.on_read(effects, sent, reply),
            PendingCall::WatchLeader { sent } => {
                self.on_watch(effects, sent, reply);
                ElectionOutcome::None
            }
            PendingCall::NewLease => {
                self.on_lease(effects, reply);
                ElectionOutcome::None
            }
            PendingCall::Register => {
                self.on_registered(effects, reply);
                ElectionOutcome::None
            }
            PendingCall::Claim { lease } => self.on_claim(effects, lease, reply),
            PendingCall::ClaimRead { lease } => self.on_claim_read(effects, lease, reply),
        }
    }

    /// Has the leader's lease kept alive for as long as this is called at least
    /// every few seconds: a leader that is behind must not lose office for it,
    /// as the next one would have as much to do; one that does nothing must.
    pub fn keep(&mut self, effects: &mut Effects, lease: u64, token: FencingToken) {
        let now = effects.now.time;
        if now < self.keep_due {
            return;
        }
        self.keep_due = now + KEPT_FOR.scaled(0.25);
        effects.keep(LeaseKeepAlive {
            lease,
            every: self.ttl.scaled(0.25).min(RENEWED),
            until: now + KEPT_FOR,
            token,
        });
    }

    /// The lease is another one: it is kept from now on.
    pub fn keep_anew(&mut self) {
        self.keep_due = Time(0);
    }

    /// Ends the lease of a leader that is none any more, and its renewals: were
    /// the word of its end lost, they would keep the key from everybody.
    pub fn give_up(&mut self, effects: &mut Effects, lease: u64, token: FencingToken) {
        effects.keep(LeaseKeepAlive {
            lease,
            every: RENEWED,
            until: effects.now.time,
            token,
        });
        self.drop_lease(effects, lease);
    }

    fn failed(&mut self, effects: &mut Effects) {
        let jitter = effects.jitter();
        self.not_before = effects.now.time
            + self
                .backoff
                .failed(TimeSpan::millis(150), TimeSpan::secs(1.0), jitter);
    }

    fn contact(&mut self, sent: Time) {
        self.backoff.succeeded();
        self.contact = Some(self.contact.map_or(sent, |c| c.max(sent)));
    }

    /// Judges the leader's key as read.
    fn found(&mut self, effects: &Effects, key: Option<(Option<LeaderRecord>, Version)>) {
        match key {
            None => {
                self.leader = None;
                self.standing = ElectionState::Vacant(Version(0));
            }
            Some((value, version)) => {
                self.revision = self.revision.max(version);
                // The key names this very node while it does not lead: it is
                // left from an earlier life, or from a claim whose answer was
                // lost. Nobody else can act on it, so it is taken over.
                let own = value.as_ref().is_some_and(|v| v.node_id == self.node_id);
                self.leader = value.map(|v| (v.node_id, FencingToken(version.0)));
                self.standing = if own {
                    ElectionState::Vacant(version)
                } else {
                    ElectionState::Following(version)
                };
                if !own {
                    tracing::debug!(now = ?effects.now.time, %version, "following");
                }
            }
        }
    }

    /// The leader's key and the levels were read, or not.
    pub fn on_read(&mut self, effects: &mut Effects, sent: Time, reply: Reply) -> ElectionOutcome {
        self.calling = false;
        let page = match &reply {
            Reply::Answer(200, body) => wire::decode::<EntryPage>(body),
            _ => None,
        };
        let Some(page) = page else {
            self.failed(effects);
            return ElectionOutcome::None;
        };
        self.contact(sent);
        self.registry.load(&page.items);
        self.revision = page.revision;
        let fences = self.highest >= FENCED;
        self.virgin = fences && self.registry.is_virgin(page.revision, page.items.len());
        let key = self.holder_key();
        let holder = page.items.into_iter().find(|e| e.key == key);
        self.found(
            effects,
            holder.map(|e| (job_records::read(&e.value), e.version)),
        );
        ElectionOutcome::None
    }

    /// What this node wrote about itself is stored, or not.
    fn on_registered(&mut self, effects: &mut Effects, reply: Reply) {
        self.calling = false;
        match reply {
            Reply::Answer(200, body) => {
                if let Some(r) = wire::decode::<TransactionResponse>(&body) {
                    self.registry.registered(r.revision);
                }
                // A new store has one change more now. Otherwise the watch goes on
                // from what was read: what others changed since was not seen yet.
                if self.virgin {
                    self.standing = ElectionState::Unknown;
                }
            }
            // Something else was stored meanwhile, or this was after all.
            _ => {
                self.standing = ElectionState::Unknown;
                self.failed(effects);
            }
        }
    }

    /// A follower's watch was answered, or not.
    pub fn on_watch(&mut self, effects: &mut Effects, sent: Time, reply: Reply) {
        self.calling = false;
        match reply {
            Reply::Answer(200, body) => {
                let Some(changes) = wire::decode::<WatchResponse>(&body) else {
                    self.standing = ElectionState::Unknown;
                    return self.failed(effects);
                };
                self.contact(sent);
                self.revision = self.revision.max(changes.revision);
                for e in &changes.events {
                    self.registry.apply(e);
                }
                // After a rise it may be another one than before.
                let key = self.holder_key();
                let last = changes
                    .events
                    .into_iter()
                    .rfind(|e| e.put.as_deref() == Some(key) || e.delete.as_deref() == Some(key));
                if let Some(e) = last {
                    let put = e.put.is_some();
                    self.found(
                        effects,
                        put.then(|| (job_records::read(&e.value), e.version)),
                    );
                }
            }
            Reply::Answer(410, _) => self.standing = ElectionState::Unknown,
            _ => {
                // A watch that was lost may have missed a change.
                self.standing = ElectionState::Unknown;
                self.failed(effects);
            }
        }
    }

    /// A lease was granted, or not.
    pub fn on_lease(&mut self, effects: &mut Effects, reply: Reply) {
        self.calling = false;
        let (version, rises) = match (self.standing, &self.leader) {
            (ElectionState::Leasing(version), _) => (version, false),
            (ElectionState::Rising, Some((_, token))) => (Version(token.0), true),
            _ => return,
        };
        let lease = match reply {
            Reply::Answer(200, body) => wire::decode::<LeaseGrant>(&body),
            _ => None,
        };
        let Some(LeaseGrant { lease }) = lease else {
            if rises {
                return self.goes_on();
            }
            self.standing = ElectionState::Unknown;
            return self.failed(effects);
        };
        self.nonce = effects.rng.random();
        let value = LeaderRecord {
            node_id: self.node_id.clone(),
            nonce: self.nonce,
        };
        let mut txn = Transaction {
            conditions: vec![Precondition {
                key: self.holder_key().into(),
                version,
            }],
            ops: Vec::new(),
        };
        let mut key = self.holder_key();
        self.brings = None;
        if let Some(rise) = self.rise.take() {
            (key, self.brings) = (member_versions::LEADER_KEY, Some(rise.to));
            txn.conditions.extend(rise.conditions);
            txn.ops = rise.ops;
            txn.ops.push(Operation::Put {
                key: member_versions::LEGACY_LEADER_KEY.into(),
                value: member_versions::stone(),
                lease: None,
            });
        } else {
            txn.conditions
                .extend(self.registry.fence().map(member_versions::fence));
            if self.virgin {
                (key, self.brings) = (member_versions::LEADER_KEY, Some(FENCED));
                txn.ops = self.registry.begin();
            }
        }
        txn.ops.push(Operation::Put {
            key: key.into(),
            value: job_records::leader_record(&value),
            lease: Some(lease),
        });
        self.standing = ElectionState::Claiming(lease);
        self.calling = true;
        let id = effects.call(
            Target::State,
            "POST",
            "/commit".into(),
            wire::encode(&txn),
            TimeSpan::secs(2.0),
        );
        self.pending_calls.add(id, PendingCall::Claim { lease });
    }

    /// The claim was answered, or not.
    pub fn on_claim(&mut self, effects: &mut Effects, lease: u64, reply: Reply) -> ElectionOutcome {
        self.calling = false;
        if self.standing != ElectionState::Claiming(lease) {
            return ElectionOutcome::None;
        }
        match reply {
            Reply::Answer(200, body) => match wire::decode::<TransactionResponse>(&body) {
                Some(r) => self.elected(effects, FencingToken(r.revision.0), lease),
                None => {
                    self.standing = ElectionState::Unknown;
                    ElectionOutcome::None
                }
            },
            Reply::Lost => {
                // It may have gone through, or may yet: the nonce tells.
                self.calling = true;
                let id = effects.call(
                    Target::State,
                    "GET",
                    format!("/keys?starts={}&most=1000", member_versions::PREFIX),
                    Vec::new(),
                    TimeSpan::secs(2.0),
                );
                self.pending_calls.add(id, PendingCall::ClaimRead { lease });
                ElectionOutcome::None
            }
            _ => {
                self.drop_lease(effects, lease);
                if self.rising {
                    self.goes_on();
                    return ElectionOutcome::None;
                }
                self.standing = ElectionState::Unknown;
                self.not_before = effects.now.time + TimeSpan::millis(50);
                ElectionOutcome::None
            }
        }
    }

    /// The key was read after a claim whose answer was lost.
    pub fn on_claim_read(
        &mut self,
        effects: &mut Effects,
        lease: u64,
        reply: Reply,
    ) -> ElectionOutcome {
        self.calling = false;
        if let Reply::Answer(200, body) = reply
            && let Some(page) = wire::decode::<EntryPage>(&body)
        {
            self.registry.load(&page.items);
            let has_our_token = |e: &&Entry| {
                let value = job_records::read::<LeaderRecord>(&e.value);
                value.is_some_and(|v| v.nonce == self.nonce)
            };
            if let Some(e) = page.items.iter().find(has_our_token) {
                return self.elected(effects, FencingToken(e.version.0), lease);
            }
        }
        // If the claim still goes through later, the key will name this node
        // while it does not lead, which a later read resolves.
        self.drop_lease(effects, lease);
        if self.rising {
            self.goes_on();
            return ElectionOutcome::None;
        }
        self.standing = ElectionState::Unknown;
        ElectionOutcome::None
    }

    /// A rise came to nothing, or nobody can tell: the leader goes on as it was.
    /// If it went through after all, its next commit fails, and it starts over.
    fn goes_on(&mut self) {
        (self.standing, self.rise, self.rising) = (ElectionState::Leading, None, false);
    }

    fn elected(&mut self, effects: &Effects, token: FencingToken, lease: u64) -> ElectionOutcome {
        self.goes_on();
        self.virgin = false;
        if let Some(level) = self.brings.take() {
            self.registry.risen(level, Version(token.0));
        }
        self.leader = Some((self.node_id.clone(), token));
        self.keep_due = effects.now.time;
        ElectionOutcome::Elected(token, lease)
    }

    /// Ends a lease that is of no use any more.
    fn drop_lease(&self, effects: &mut Effects, lease: u64) {
        effects.call(
            Target::State,
            "DELETE",
            format!("/leases/{lease}"),
            Vec::new(),
            TimeSpan::secs(2.0),
        );
    }
}

#[cfg(test)]
mod tests;
