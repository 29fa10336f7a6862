//! Who leads: the holder of a key that hangs on a lease. Its version is the
//! token.

use super::io::{Io, Waits};
use super::ledger::{self, LeaderValue};
use super::{Keep, Reply, Target};
use crate::types::{Label, Span, Time, Token, Version};
use crate::wire;
use crate::wire::pace::Backoff;
use crate::wire::state::{Changes, Condition, Entry, Lease, LeaseRequest, Op, Revision, Txn};
use rand::RngExt;

/// Hold of a follower's watch.
const HOLD: Span = Span::millis(2000);

/// How long the lease is kept for a leader that says nothing meanwhile.
const KEPT_FOR: Span = Span::millis(10_000);

/// Renewals are at most so far apart: they show whether the state service answers.
const RENEWED: Span = Span::millis(250);

/// How long a node that handed its duties over waits for others to take them.
const OTHERS_FIRST: Span = Span::millis(3000);

/// Where this node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
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
}

/// Election's state.
#[derive(Debug)]
pub struct Election {
    /// Where this node stands.
    pub standing: Standing,
    label: Label,
    ttl: Span,
    nonce: u64,
    revision: Version,
    calling: bool,
    not_before: Time,
    backoff: Backoff,
    keep_due: Time,
    /// Who leads, as the state service last said.
    pub leader: Option<(Label, Token)>,
    /// When the last answered read was sent.
    pub contact: Option<Time>,
    /// Calls under way.
    pub waits: Waits<Awaits>,
}

/// What the election waits for.
#[derive(Clone, Debug)]
pub enum Awaits {
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
pub enum Outcome {
    /// Nothing new.
    None,
    /// This node leads now, with this token and lease.
    Elected(Token, u64),
}

impl Election {
    /// At the start of a process.
    pub fn new(label: Label, ttl: Span) -> Election {
        Election {
            standing: Standing::Unknown,
            label,
            ttl,
            nonce: 0,
            revision: Version(0),
            calling: false,
            not_before: Time(0),
            backoff: Backoff::default(),
            keep_due: Time(0),
            leader: None,
            contact: None,
            waits: Waits::default(),
        }
    }

    /// Starts over, after leadership ended.
    pub fn reset(&mut self, now: Time) {
        self.standing = Standing::Unknown;
        self.calling = false;
        self.leader = None;
        self.not_before = now + Span::millis(50);
    }

    /// Takes the key from its holder, if it still has this version: the claim
    /// compares it. What the holder has written by then stands, what it writes
    /// later fails.
    pub fn depose(&mut self, version: Version) {
        if self.standing == Standing::Following(version) {
            // The watch under way has nothing more to say.
            self.waits = Waits::default();
            self.calling = false;
            self.standing = Standing::Vacant(version);
        }
    }

    /// Leaves it to others to claim the key first. If nobody does, this node
    /// stands again.
    pub fn let_others_go_first(&mut self, now: Time) {
        self.not_before = now + OTHERS_FIRST;
    }

    /// Makes the next call, if one is due.
    pub fn tick(&mut self, io: &mut Io) {
        let now = io.now.time;
        if self.calling || now < self.not_before {
            return;
        }
        let mut call = |io: &mut Io, method, path: String, body, timeout, awaits| {
            self.calling = true;
            let id = io.call(Target::State, method, path, body, timeout);
            self.waits.add(id, awaits);
        };
        match self.standing {
            Standing::Unknown => call(
                io,
                "GET",
                format!("/keys/{}", ledger::LEADER),
                Vec::new(),
                Span::secs(2.0),
                Awaits::ReadLeader { sent: now },
            ),
            Standing::Following(_) => {
                let path = format!(
                    "/changes?starts={}&since={}&hold_ms={}",
                    ledger::LEADER,
                    self.revision,
                    HOLD.as_millis()
                );
                let timeout = HOLD + Span::secs(2.0);
                call(
                    io,
                    "GET",
                    path,
                    Vec::new(),
                    timeout,
                    Awaits::WatchLeader { sent: now },
                );
            }
            Standing::Vacant(version) => {
                let request = LeaseRequest {
                    ttl_ms: self.ttl.as_millis(),
                };
                call(
                    io,
                    "POST",
                    "/leases".into(),
                    wire::encode(&request),
                    Span::secs(2.0),
                    Awaits::NewLease,
                );
                self.standing = Standing::Leasing(version);
            }
            Standing::Leasing(_) | Standing::Claiming(_) | Standing::Leading => {}
        }
    }

    /// Takes a reply to one of its calls.
    pub fn on_reply(&mut self, io: &mut Io, what: Awaits, reply: Reply) -> Outcome {
        match what {
            Awaits::ReadLeader { sent } => self.on_read(io, sent, reply),
            Awaits::WatchLeader { sent } => {
                self.on_watch(io, sent, reply);
                Outcome::None
            }
            Awaits::NewLease => {
                self.on_lease(io, reply);
                Outcome::None
            }
            Awaits::Claim { lease } => self.on_claim(io, lease, reply),
            Awaits::ClaimRead { lease } => self.on_claim_read(io, lease, reply),
        }
    }

    /// Has the leader's lease kept alive for as long as this is called at least
    /// every few seconds: a leader that is behind must not lose office for it,
    /// as the next one would have as much to do; one that does nothing must.
    pub fn keep(&mut self, io: &mut Io, lease: u64, token: Token) {
        let now = io.now.time;
        if now < self.keep_due {
            return;
        }
        self.keep_due = now + KEPT_FOR.scaled(0.25);
        io.keep(Keep {
            lease,
            every: self.ttl.scaled(0.25).min(RENEWED),
            until: now + KEPT_FOR,
            token,
        });
    }

    /// Ends the lease of a leader that is none any more, and its renewals: were
    /// the word of its end lost, they would keep the key from everybody.
    pub fn give_up(&mut self, io: &mut Io, lease: u64, token: Token) {
        io.keep(Keep {
            lease,
            every: RENEWED,
            until: io.now.time,
            token,
        });
        self.drop_lease(io, lease);
    }

    fn failed(&mut self, io: &mut Io) {
        let jitter = io.jitter();
        self.not_before = io.now.time
            + self
                .backoff
                .failed(Span::millis(150), Span::secs(1.0), jitter);
    }

    fn contact(&mut self, sent: Time) {
        self.backoff.succeeded();
        self.contact = Some(self.contact.map_or(sent, |c| c.max(sent)));
    }

    /// Judges the leader's key as read.
    fn found(&mut self, io: &Io, key: Option<(Option<LeaderValue>, Version)>) {
        match key {
            None => {
                self.leader = None;
                self.standing = Standing::Vacant(Version(0));
            }
            Some((value, version)) => {
                self.revision = self.revision.max(version);
                // The key names this very node while it does not lead: it is
                // left from an earlier life, or from a claim whose answer was
                // lost. Nobody else can act on it, so it is taken over.
                let own = value.as_ref().is_some_and(|v| v.label == self.label);
                self.leader = value.map(|v| (v.label, Token(version.0)));
                self.standing = if own {
                    Standing::Vacant(version)
                } else {
                    Standing::Following(version)
                };
                if !own {
                    tracing::debug!(now = ?io.now.time, %version, "following");
                }
            }
        }
    }

    /// The leader's key was read, or not.
    pub fn on_read(&mut self, io: &mut Io, sent: Time, reply: Reply) -> Outcome {
        self.calling = false;
        match reply {
            Reply::Answer(200, body) => match wire::decode::<Entry>(&body) {
                Some(e) => {
                    self.contact(sent);
                    let value: Option<LeaderValue> = ledger::read(&e.value);
                    self.found(io, Some((value, e.version)));
                }
                None => self.failed(io),
            },
            Reply::Answer(404, body) => {
                self.contact(sent);
                if let Some(r) = wire::decode::<Revision>(&body) {
                    self.revision = r.revision;
                }
                self.found(io, None);
            }
            _ => self.failed(io),
        }
        Outcome::None
    }

    /// A follower's watch was answered, or not.
    pub fn on_watch(&mut self, io: &mut Io, sent: Time, reply: Reply) {
        self.calling = false;
        match reply {
            Reply::Answer(200, body) => {
                let Some(changes) = wire::decode::<Changes>(&body) else {
                    self.standing = Standing::Unknown;
                    return self.failed(io);
                };
                self.contact(sent);
                self.revision = self.revision.max(changes.revision);
                let last = changes.events.into_iter().rfind(|e| {
                    e.put.as_deref() == Some(ledger::LEADER)
                        || e.delete.as_deref() == Some(ledger::LEADER)
                });
                if let Some(e) = last {
                    let put = e.put.is_some();
                    self.found(io, put.then(|| (ledger::read(&e.value), e.version)));
                }
            }
            Reply::Answer(410, _) => self.standing = Standing::Unknown,
            _ => {
                // A watch that was lost may have missed a change.
                self.standing = Standing::Unknown;
                self.failed(io);
            }
        }
    }

    /// A lease was granted, or not.
    pub fn on_lease(&mut self, io: &mut Io, reply: Reply) {
        self.calling = false;
        let Standing::Leasing(version) = self.standing else {
            return;
        };
        let lease = match reply {
            Reply::Answer(200, body) => wire::decode::<Lease>(&body),
            _ => None,
        };
        let Some(Lease { lease }) = lease else {
            self.standing = Standing::Unknown;
            return self.failed(io);
        };
        self.nonce = io.rng.random();
        let value = LeaderValue {
            label: self.label.clone(),
            nonce: self.nonce,
        };
        let txn = Txn {
            conditions: vec![Condition {
                key: ledger::LEADER.into(),
                version,
            }],
            ops: vec![Op::Put {
                key: ledger::LEADER.into(),
                value: ledger::leader_value(&value),
                lease: Some(lease),
            }],
        };
        self.standing = Standing::Claiming(lease);
        self.calling = true;
        let id = io.call(
            Target::State,
            "POST",
            "/commit".into(),
            wire::encode(&txn),
            Span::secs(2.0),
        );
        self.waits.add(id, Awaits::Claim { lease });
    }

    /// The claim was answered, or not.
    pub fn on_claim(&mut self, io: &mut Io, lease: u64, reply: Reply) -> Outcome {
        self.calling = false;
        if self.standing != Standing::Claiming(lease) {
            return Outcome::None;
        }
        match reply {
            Reply::Answer(200, body) => match wire::decode::<Revision>(&body) {
                Some(r) => self.elected(io, Token(r.revision.0), lease),
                None => {
                    self.standing = Standing::Unknown;
                    Outcome::None
                }
            },
            Reply::Lost => {
                // It may have gone through, or may yet: the nonce tells.
                self.calling = true;
                let id = io.call(
                    Target::State,
                    "GET",
                    format!("/keys/{}", ledger::LEADER),
                    Vec::new(),
                    Span::secs(2.0),
                );
                self.waits.add(id, Awaits::ClaimRead { lease });
                Outcome::None
            }
            _ => {
                self.drop_lease(io, lease);
                self.standing = Standing::Unknown;
                self.not_before = io.now.time + Span::millis(50);
                Outcome::None
            }
        }
    }

    /// The key was read after a claim whose answer was lost.
    pub fn on_claim_read(&mut self, io: &mut Io, lease: u64, reply: Reply) -> Outcome {
        self.calling = false;
        if let Reply::Answer(200, body) = reply
            && let Some(e) = wire::decode::<Entry>(&body)
            && ledger::read::<LeaderValue>(&e.value).is_some_and(|v| v.nonce == self.nonce)
        {
            return self.elected(io, Token(e.version.0), lease);
        }
        // If the claim still goes through later, the key will name this node
        // while it does not lead, which a later read resolves.
        self.drop_lease(io, lease);
        self.standing = Standing::Unknown;
        Outcome::None
    }

    fn elected(&mut self, io: &Io, token: Token, lease: u64) -> Outcome {
        self.standing = Standing::Leading;
        self.leader = Some((self.label.clone(), token));
        self.keep_due = io.now.time;
        Outcome::Elected(token, lease)
    }

    /// Ends a lease that is of no use any more.
    fn drop_lease(&self, io: &mut Io, lease: u64) {
        io.call(
            Target::State,
            "DELETE",
            format!("/leases/{lease}"),
            Vec::new(),
            Span::secs(2.0),
        );
    }
}
