//! Every order of the steps around a team at its limit: its one task runs on a machine
//! that is cut off and reached again, its job is called off, leaders come and go, and
//! another job of the team waits for the room. Until when an older leader may answer and
//! what a report proves is told by the real core; time goes in steps of a second.

use pebblefold_controller::core::assignment::{Assignment, PresenceProof};
use pebblefold_controller::core::failpoints::{SafetyCheck, disable_check};
use pebblefold_controller::core::leader_authority::AuthorityBounds;
use pebblefold_controller::settings::WorkerTimes;
use pebblefold_controller::types::{
    AgentEpoch, Attempt, FencingToken, HeartbeatSequence, TimeSpan,
};
use pebblefold_controller::wire::workers::{ReportedTask, TaskState};
use std::collections::HashSet;

/// A worker's lease, and how long it waits for an answer.
const LEASE: u8 = 2;
const PATIENCE: u8 = 1;
/// Ages from this on are all alike: whatever waits for them is over.
const OLD: u8 = 8;
/// More worlds than this are a fault of the search.
const MOST: usize = 4_000_000;

/// Wrong versions of what frees room under the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Wrong {
    Nothing,
    /// A job that is over holds nothing.
    EndedHoldsNothing,
    /// A machine that a new leader has not heard for a lease has nothing.
    SilentForALease,
    /// A report under any token proves absence.
    AnyToken,
    /// A task that was told to stop is gone.
    ToldIsGone,
    /// What is recorded of a job goes with its cancellation.
    GoesAtOnce,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Leads {
    /// Since it took office, and since a read showed it everything.
    office: u8,
    contact: u8,
    /// Whether the task may be somewhere, and its job is known to be over.
    place: bool,
    over: bool,
    /// Whether it has heard the machine, since when under its token, and when it last
    /// answered it.
    heard: bool,
    ours: Option<u8>,
    answered: Option<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Heartbeat {
    lists: bool,
    token: usize,
    epoch: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Flight {
    None,
    Heartbeat(u8, usize, Heartbeat),
    /// Since its report was sent, by whose token, and what it says of the task.
    Answer(u8, usize, Word),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Word {
    Nothing,
    Start,
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct World {
    /// The machine: whether the task is on it, since when its lease runs, whether it is
    /// cut off, its highest token and its session.
    on: bool,
    leased: u8,
    cut: bool,
    cuts: u8,
    token: usize,
    epoch: u8,
    flight: Flight,
    /// A copy of a report that arrives some time, once.
    copy: Option<Heartbeat>,
    cancelled: bool,
    recorded: bool,
    leaders: [Option<Leads>; 3],
    /// The other job's task runs.
    other: bool,
}

fn bounds() -> AuthorityBounds {
    let any = TimeSpan::secs(1.0);
    AuthorityBounds::new(&WorkerTimes {
        report: any,
        lease: TimeSpan::secs(f64::from(LEASE)),
        gang_wait: any,
        gang_peer: any,
        cancel: TimeSpan::secs(6.1),
    })
}

fn secs(age: u8) -> TimeSpan {
    TimeSpan::secs(f64::from(age))
}

/// Whether a report proves that the task is not on its machine.
fn proves_absence(r: Heartbeat, ours: usize) -> bool {
    let place = Assignment::inherited("host-1".into(), AgentEpoch(1), Attempt(1));
    let listed = ReportedTask {
        task: "wk-1/0".into(),
        attempt: Attempt(1),
        state: TaskState::Running,
        why: None,
        saved: None,
    };
    let epoch = AgentEpoch(u64::from(r.epoch) + 1);
    let (token, ours) = (
        FencingToken(r.token as u64 + 1),
        FencingToken(ours as u64 + 1),
    );
    let listed = r.lists.then_some(&listed);
    place.check_presence(epoch, HeartbeatSequence(9), token, ours, listed) == PresenceProof::Absent
}

impl World {
    fn newest(&self) -> usize {
        self.leaders.iter().rposition(Option::is_some).unwrap_or(0)
    }

    fn tick(mut self) -> World {
        let older = |age: u8| (age + 1).min(OLD);
        self.leased = older(self.leased);
        if self.leased > LEASE {
            (self.on, self.leased) = (false, 0);
            self.epoch = (self.epoch + 1).min(2);
            self.flight = Flight::None;
        }
        let newest = self.newest();
        for (n, l) in self.leaders.iter_mut().enumerate() {
            if let Some(l) = l {
                l.office = older(l.office);
                // Whoever leads may read at any moment; one that is replaced learns
                // nothing any more.
                l.contact = if n == newest { 0 } else { older(l.contact) };
                (l.ours, l.answered) = (l.ours.map(older), l.answered.map(older));
            }
        }
        self.flight = match self.flight {
            Flight::Heartbeat(age, ..) | Flight::Answer(age, ..) if age >= PATIENCE => Flight::None,
            Flight::Heartbeat(age, to, r) => Flight::Heartbeat(age + 1, to, r),
            Flight::Answer(age, by, word) => Flight::Answer(age + 1, by, word),
            Flight::None => Flight::None,
        };
        self
    }

    fn hear(&mut self, wrong: Wrong, n: usize, r: Heartbeat) {
        let Some(l) = &mut self.leaders[n] else {
            return;
        };
        l.heard = true;
        if r.token == n {
            l.ours.get_or_insert(0);
        }
        if proves_absence(r, n) || wrong == Wrong::AnyToken && !r.lists {
            l.place = false;
        }
    }

    fn next(&self, wrong: Wrong) -> Vec<World> {
        let mut out = Vec::new();
        let mut step = |change: &dyn Fn(&mut World)| {
            let mut w = *self;
            change(&mut w);
            if w != *self {
                out.push(w);
            }
        };
        step(&|w| *w = w.tick());
        if self.cuts > 0 {
            step(&|w| (w.cut, w.cuts) = (!w.cut, w.cuts - 1));
        }
        step(&|w| w.cancelled = true);
        let newest = self.newest();
        if newest + 1 < self.leaders.len() {
            step(&|w| {
                w.leaders[newest + 1] = Some(Leads {
                    office: 0,
                    contact: 0,
                    place: w.recorded,
                    over: w.cancelled,
                    heard: false,
                    ours: None,
                    answered: None,
                });
            });
        }
        match self.flight {
            Flight::None if !self.cut => {
                let r = Heartbeat {
                    lists: self.on,
                    token: self.token,
                    epoch: self.epoch,
                };
                for to in 0..=newest {
                    step(&|w| w.flight = Flight::Heartbeat(0, to, r));
                }
            }
            Flight::None => {}
            Flight::Heartbeat(age, to, r) => {
                if let Some(l) = self.leaders[to]
                    && to >= r.token
                    && secs(l.contact) < bounds().hold()
                {
                    step(&|w| {
                        w.hear(wrong, to, r);
                        let Some(l) = &mut w.leaders[to] else { return };
                        l.answered = Some(0);
                        let stops = l.over;
                        let word = if stops { Word::Stop } else { Word::Nothing };
                        w.flight = Flight::Answer(age, to, word);
                        if stops && wrong == Wrong::ToldIsGone {
                            l.place = false;
                        }
                    });
                }
            }
            Flight::Answer(age, by, word) if !self.cut => step(&|w| {
                w.flight = Flight::None;
                if by >= w.token {
                    (w.token, w.leased) = (by, age);
                    w.on = match word {
                        Word::Start => true,
                        Word::Stop => false,
                        Word::Nothing => w.on,
                    };
                }
            }),
            Flight::Answer(..) => {}
        }
        // It reaches the newest leader, which takes it in unless it has heard a newer one.
        if let Some(r) = self.copy {
            step(&|w| {
                w.copy = None;
                if w.leaders[newest].is_some_and(|l| !l.heard) && r.token <= newest {
                    w.hear(wrong, newest, r);
                }
            });
        }
        let Some(l) = self.leaders[newest] else {
            return out;
        };
        step(&|w| {
            if let Some(l) = &mut w.leaders[newest] {
                l.over = w.cancelled;
            }
            if w.cancelled && wrong == Wrong::GoesAtOnce {
                w.recorded = false;
            }
        });
        // Silence, as `expire` reckons with it.
        let lease = secs(LEASE).scaled(1.0005) + TimeSpan::secs(1.0);
        let inherited = match wrong {
            Wrong::SilentForALease => lease,
            _ => bounds().earlier_leader_window(),
        };
        let answered = l.answered.map_or(u8::MAX, |a| a);
        let silent = match l.ours {
            Some(since) => secs(answered.min(since)) >= lease,
            None => secs(l.office) >= inherited && secs(answered) >= lease,
        };
        if l.place && silent {
            step(&|w| {
                if let Some(l) = &mut w.leaders[newest] {
                    l.place = false;
                }
            });
        }
        if l.over && !l.place {
            step(&|w| w.recorded = false);
        }
        let holds = l.place && !(l.over && wrong == Wrong::EndedHoldsNothing);
        if !holds {
            step(&|w| w.other = true);
        }
        out
    }

    /// Without what makes no difference any more.
    fn plain(mut self) -> World {
        let newest = self.newest();
        for (n, l) in self.leaders.iter_mut().enumerate() {
            let Some(l) = l else { continue };
            if n < newest {
                // Only what it may still answer counts.
                let (contact, over) = (l.contact.min(3), l.over);
                *l = Leads {
                    office: OLD,
                    contact,
                    place: true,
                    over,
                    heard: true,
                    ours: None,
                    answered: None,
                };
            } else {
                if l.ours.is_some() {
                    l.office = OLD;
                }
                let most = LEASE + 2;
                (l.ours, l.answered) =
                    (l.ours.map(|a| a.min(most)), l.answered.map(|a| a.min(most)));
            }
        }
        self
    }

    fn breaks(&self) -> bool {
        self.on && self.other
    }
}

/// Looks through every order; how many worlds there were, whether the moment came (the
/// job over, its machine out of reach under a leader that never heard it), and whether
/// both ran.
fn explore(wrong: Wrong) -> (usize, bool, bool) {
    let first = World {
        on: false,
        leased: 0,
        cut: false,
        cuts: 3,
        token: 0,
        epoch: 0,
        flight: Flight::Answer(0, 0, Word::Start),
        // Made before the start arrived.
        copy: Some(Heartbeat {
            lists: false,
            token: 0,
            epoch: 0,
        }),
        cancelled: false,
        recorded: true,
        leaders: [
            Some(Leads {
                office: OLD,
                contact: 0,
                place: true,
                over: false,
                heard: true,
                ours: Some(OLD),
                answered: Some(0),
            }),
            None,
            None,
        ],
        other: false,
    };
    let mut seen = HashSet::from([first]);
    let mut queue = vec![first];
    let (mut reached, mut broken) = (false, false);
    while let Some(world) = queue.pop() {
        let newest = world.leaders[world.newest()];
        reached |= world.on && world.cut && newest.is_some_and(|l| l.over && l.place && !l.heard);
        if world.breaks() {
            broken = true;
            break;
        }
        assert!(seen.len() < MOST, "{wrong:?}: more worlds than meant");
        for next in world.next(wrong) {
            // Once the task is gone nothing can come of it.
            let there = next.on || matches!(next.flight, Flight::Answer(_, _, Word::Start));
            let next = next.plain();
            if there && seen.insert(next) {
                queue.push(next);
            }
        }
    }
    (seen.len(), reached, broken)
}

#[test]
fn no_order_puts_a_team_over_its_limit() {
    let (worlds, reached, broken) = explore(Wrong::Nothing);
    println!("{worlds} worlds: one machine, three cuts, an old report, three leaders");
    assert!(reached && worlds > 10_000, "{worlds}");
    assert!(!broken);
}

#[test]
fn nothing_else_frees_room() {
    for wrong in [
        Wrong::EndedHoldsNothing,
        Wrong::SilentForALease,
        Wrong::AnyToken,
        Wrong::ToldIsGone,
        Wrong::GoesAtOnce,
    ] {
        let (worlds, _, broken) = explore(wrong);
        println!("{wrong:?}: {broken} after {worlds} worlds");
        assert!(broken, "{wrong:?} was not missed");
    }
    disable_check(&[SafetyCheck::AbsenceNeedsOurToken]);
    let (worlds, _, broken) = explore(Wrong::Nothing);
    disable_check(&[]);
    println!("AbsenceNeedsOurToken off: {broken} after {worlds} worlds");
    assert!(broken);
}
