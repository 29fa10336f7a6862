//! What a node holds of the leader, and when that is enough to replace it.
//!
//! The leader's beats are the signs of life; each says how long ago the state
//! service last answered it. A doubt is looked into before it is acted on: the
//! leader is asked directly, the other nodes for their opinion, the state service
//! for the key. A verdict is only ever a commit on the key's version, so nothing
//! here has to be right for the rules to hold; it has to be right for nobody to
//! be replaced in vain.

use super::accrual::Accrual;
use crate::types::{FencingToken, MachineId, NodeId, Time, TimeSpan};
use crate::wire::peers::LeaderHeartbeat;
use std::collections::BTreeMap;
use std::fmt;

/// Beats come this often.
pub const BEAT_EVERY: TimeSpan = TimeSpan::millis(250);
/// How long what is looked into may take.
pub const LOOKED_INTO: TimeSpan = TimeSpan::millis(400);

/// What an asked node agrees to, of what it takes to doubt: it may have heard a
/// beat a moment later.
const AGREES: f64 = 0.6;
/// However regular the beats are, less than this is none.
const LEAST_SILENCE: TimeSpan = TimeSpan::millis(500);
/// A leader that the state service has not answered for so long may have lost it:
/// of its renewals, four a second, one or two are lost now and then.
const STATE_SILENCE: TimeSpan = TimeSpan::millis(1600);
/// A judge whose own ticks came later than this was itself not there.
const LATE: TimeSpan = TimeSpan::millis(300);
/// And for so long after that it says nothing.
const SETTLES: TimeSpan = TimeSpan::millis(1000);
/// Time between two looks into the same doubt.
const LOOK_AGAIN: TimeSpan = TimeSpan::millis(200);
/// A later successor leaves so much time to each earlier one.
const RANK: TimeSpan = TimeSpan::millis(150);
/// Pause after a verdict; it doubles with each one.
const PAUSE: TimeSpan = TimeSpan::millis(5_000);
const LONGEST_PAUSE: TimeSpan = TimeSpan::millis(160_000);
/// After so long without a verdict the pauses begin anew.
const FORGIVES: TimeSpan = TimeSpan::millis(600_000);
/// After a direct answer nothing is held for so long.
const EXCUSED: TimeSpan = TimeSpan::millis(1000);
/// A refused connection says nothing: a node without free sockets refuses, and so
/// does a packet filter. But workers that leave a leader did not reach it either.
/// So many of them, of all nodes that agree, tell the two apart ...
const CAME_OVER: usize = 3;
/// ... if they came within this time.
const LATELY: TimeSpan = TimeSpan::millis(1500);
/// Time between two looks while connections are refused.
const REFUSED_AGAIN: TimeSpan = TimeSpan::millis(600);

/// What is doubted of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing is heard of it.
    Silent,
    /// The state service does not answer it.
    NoState,
}

impl fmt::Display for Suspicion {
    /// The spelling in `/inspect`, whatever the variants are called.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Suspicion::Silent => "Silent",
            Suspicion::NoState => "NoState",
        })
    }
}

/// What came of asking the leader directly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It answered.
    Answered,
    /// The connection was refused, which says nothing.
    NotServing,
    /// No answer in time.
    Silent,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    None,
    /// Ask the leader, the others and the state service.
    Probe(Suspicion),
    /// Replace the holder of this token.
    Depose(FencingToken, Suspicion),
}

/// A doubt that is being looked into.
#[derive(Clone, Debug)]
struct Investigation {
    doubt: Suspicion,
    looked: Time,
    /// Whether the leader was asked and did not answer, or the connection was
    /// refused.
    silent: bool,
    refused: bool,
    /// Whether the state service answered this node since.
    state: bool,
    /// Who agrees, and how many workers came over there.
    agree: BTreeMap<NodeId, u32>,
    /// Since when all is there that a verdict takes.
    ripe: Option<Time>,
}

/// What a node holds of the leader.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    /// Nodes that agree for a verdict, this one among them.
    quorum: usize,
    /// How unlikely, in powers of ten, a silence is that is doubted; 0: none is.
    phi: f64,
    subject: Option<(NodeId, FencingToken)>,
    alive: Accrual,
    /// As the last beat said: how long the state service had not answered, and
    /// how late the leader's own work was.
    state_age: TimeSpan,
    late: TimeSpan,
    beat: Time,
    ticked: Option<Time>,
    steady_since: Time,
    case: Option<Investigation>,
    /// Workers that came over from the leader since its last beat.
    came: BTreeMap<MachineId, Time>,
    pause: TimeSpan,
    not_before: Time,
    judged: Option<Time>,
    /// Verdicts come to, and doubts that were refuted.
    pub verdicts: u64,
    /// Doubts that came to nothing.
    pub refuted: u64,
}

impl FailureDetector {
    /// A judge among so many nodes, which doubts a silence that is by so many
    /// powers of ten unlikely; 0: it doubts nobody. With two there is nobody to agree with, and
    /// only the leader's lease decides.
    pub fn new(nodes: usize, phi: f64) -> FailureDetector {
        let others = nodes.saturating_sub(1);
        FailureDetector {
            phi,
            quorum: (others / 2 + 1).max(2),
            subject: None,
            alive: Accrual::default(),
            state_age: TimeSpan::ZERO,
            late: TimeSpan::ZERO,
            beat: Time(0),
            ticked: None,
            steady_since: Time(0),
            case: None,
            came: BTreeMap::new(),
            pause: PAUSE,
            not_before: Time(0),
            judged: None,
            verdicts: 0,
            refuted: 0,
        }
    }

    /// Who leads, as far as known; nobody while this node does.
    pub fn follow(&mut self, leader: Option<&(NodeId, FencingToken)>) {
        if self.subject.as_ref() != leader {
            self.subject = leader.cloned();
            self.alive = Accrual::default();
            (self.state_age, self.late) = (TimeSpan::ZERO, TimeSpan::ZERO);
            self.case = None;
            self.came.clear();
        }
    }

    /// A worker that carries the leader's token reports here instead.
    pub fn came_over(&mut self, now: Time, token: FencingToken, machine: &MachineId) {
        let of_leader = self.subject.as_ref().is_some_and(|(_, t)| *t == token);
        if of_leader && (self.came.len() < CAME_OVER || self.came.contains_key(machine)) {
            self.came.insert(machine.clone(), now);
        } else if of_leader {
            self.came.retain(|_, t| now.since(*t) <= LATELY);
            self.came.insert(machine.clone(), now);
        }
    }

    /// How many came over lately, as far as that matters.
    pub fn came_lately(&self, now: Time) -> u32 {
        let lately = self.came.values().filter(|t| now.since(**t) <= LATELY);
        lately.count().min(CAME_OVER) as u32
    }

    /// This node's own time goes on. One that was not there heard nothing, and
    /// what waits for it unread may be what it misses: it doubts nobody until it
    /// has caught up.
    pub fn tick(&mut self, now: Time) {
        let gap = self.ticked.map_or(TimeSpan::ZERO, |t| now.since(t));
        self.ticked = Some(now);
        if gap > LATE {
            self.steady_since = now;
            self.alive.excuse(now);
            (self.beat, self.case) = (now, None);
        }
        if self.judged.is_some_and(|t| now.since(t) > FORGIVES) {
            self.pause = PAUSE;
        }
    }

    /// A beat of the leader.
    pub fn heard(&mut self, now: Time, beat: &LeaderHeartbeat) {
        let of = |(node_id, token): &(NodeId, FencingToken)| {
            *node_id == beat.node_id && *token == beat.token
        };
        if !self.subject.as_ref().is_some_and(of) {
            return;
        }
        if self.ticked.is_some_and(|t| now.since(t) > LATE) {
            // It waited here unread: the interval says nothing of the leader.
            self.alive.excuse(now);
        }
        self.alive.heard(now);
        self.came.clear();
        self.beat = now;
        self.state_age = TimeSpan::millis(beat.state_ms);
        self.late = TimeSpan::millis(beat.late_ms);
        if self
            .case
            .as_ref()
            .is_some_and(|c| c.doubt == Suspicion::Silent)
        {
            self.refute();
        }
    }

    fn refute(&mut self) {
        self.case = None;
        self.refuted += 1;
    }

    fn is_steady(&self, now: Time) -> bool {
        now.since(self.steady_since) >= SETTLES && self.ticked.is_some()
    }

    fn doubt(&self, now: Time, phi: f64) -> Option<Suspicion> {
        if self.phi <= 0.0 {
            return None;
        }
        let silence = self.alive.silence(now)?;
        if silence >= LEAST_SILENCE && self.alive.phi(now) >= phi {
            return Some(Suspicion::Silent);
        }
        // Its word is as old as its last beat.
        let age = self.state_age + now.since(self.beat);
        let said = self.state_age >= STATE_SILENCE;
        (said && age >= STATE_SILENCE).then_some(Suspicion::NoState)
    }

    /// This node's word for another that doubts the holder of a token. `state`:
    /// the state service has lately answered it.
    pub fn agrees(&self, now: Time, token: FencingToken, doubt: Suspicion, state: bool) -> bool {
        let same = self.subject.as_ref().is_some_and(|(_, t)| *t == token);
        let own = self.doubt(now, self.phi * AGREES);
        let holds = match doubt {
            Suspicion::Silent => own == Some(Suspicion::Silent),
            Suspicion::NoState => own.is_some() && state,
        };
        same && self.is_steady(now) && holds
    }

    /// What is to be done now; `rank`: how many of the nodes fit to succeed come
    /// before this one.
    pub fn step(&mut self, now: Time, rank: u32) -> Step {
        let Some((_, token)) = &self.subject else {
            return Step::None;
        };
        let token = *token;
        if !self.is_steady(now) || now < self.not_before {
            return Step::None;
        }
        let Some(doubt) = self.doubt(now, self.phi) else {
            if self.case.is_some() {
                self.refute();
            }
            return Step::None;
        };
        let came = self.came_lately(now) as usize;
        if let Some(c) = self.case.as_mut().filter(|c| c.doubt == doubt) {
            let came = came + c.agree.values().map(|n| *n as usize).sum::<usize>();
            let seen = doubt == Suspicion::NoState || c.silent || (c.refused && came >= CAME_OVER);
            if seen && c.state && c.agree.len() + 1 >= self.quorum {
                let ripe = *c.ripe.get_or_insert(now);
                if now.since(ripe) >= TimeSpan(RANK.0 * u64::from(rank)) {
                    self.convict(now);
                    return Step::Depose(token, doubt);
                }
            }
            let pause = if c.refused { REFUSED_AGAIN } else { LOOK_AGAIN };
            if now.since(c.looked) < pause {
                return Step::None;
            }
            c.looked = now;
        } else {
            self.case = Some(Investigation {
                doubt,
                looked: now,
                silent: false,
                refused: false,
                state: false,
                agree: BTreeMap::new(),
                ripe: None,
            });
        }
        Step::Probe(doubt)
    }

    fn convict(&mut self, now: Time) {
        self.case = None;
        self.verdicts += 1;
        self.judged = Some(now);
        self.not_before = now + self.pause;
        self.pause = TimeSpan(self.pause.0 * 2).min(LONGEST_PAUSE);
    }

    /// The leader was asked directly.
    pub fn probed(&mut self, now: Time, token: FencingToken, probe: ProbeOutcome) {
        if self.subject.as_ref().is_none_or(|(_, t)| *t != token) {
            return;
        }
        let Some(case) = &mut self.case else { return };
        match probe {
            ProbeOutcome::Silent => (case.silent, case.refused) = (true, false),
            ProbeOutcome::NotServing => (case.silent, case.refused) = (false, true),
            // Only its beats are lost.
            ProbeOutcome::Answered if case.doubt == Suspicion::Silent => {
                self.alive.excuse(now);
                self.not_before = self.not_before.max(now + EXCUSED);
                self.refute();
            }
            ProbeOutcome::Answered => {}
        }
    }

    /// Another node said what it holds, and how many workers came over to it.
    pub fn told(&mut self, node_id: NodeId, token: FencingToken, agrees: bool, came: u32) {
        let same = self.subject.as_ref().is_some_and(|(_, t)| *t == token);
        if let Some(case) = self.case.as_mut().filter(|_| same) {
            if agrees {
                case.agree.insert(node_id, came.min(CAME_OVER as u32));
            } else {
                case.agree.remove(&node_id);
                case.ripe = None;
            }
        }
    }

    /// The state service answered what was asked while a doubt was looked into.
    pub fn reached_state(&mut self) {
        if let Some(case) = &mut self.case {
            case.state = true;
        }
    }

    /// What it holds, for operators.
    pub fn inspect(&self, now: Time) -> serde_json::Value {
        serde_json::json!({
            "of": self.subject.as_ref().map(|(node_id, _)| node_id),
            "silent_s": self.alive.silence(now).map(TimeSpan::as_secs),
            "suspicion": self.alive.phi(now),
            "its_state_s_ago": self.state_age.as_secs(), "its_work_late_s": self.late.as_secs(),
            "doubt": self.case.as_ref().map(|c| c.doubt.to_string()),
            "agree": self.case.as_ref().map_or(0, |c| c.agree.len() + 1), "needed": self.quorum,
            "verdicts": self.verdicts, "refuted": self.refuted,
            "none_for_s": self.not_before.since(now).as_secs(),
        })
    }
}

#[cfg(test)]
mod tests;
