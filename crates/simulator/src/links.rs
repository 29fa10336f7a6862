//! What becomes of a message between two hosts: a delay, a loss, a hold until
//! a cut heals, or a reset. Both worlds ask here, message by message.

use crate::script::CutMode;
use pebblefold_controller::types::{Time, TimeSpan};
use rand::RngExt;
use rand::rngs::StdRng;

/// A host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// A controller.
    Node(usize),
    /// A machine's worker.
    Machine(String),
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// Users and the load balancer.
    Users,
}

/// Hosts that a cut is about.
#[derive(Clone, Debug, PartialEq)]
pub enum Group {
    /// These.
    These(Vec<Host>),
    /// All machines, also those to come.
    Machines,
    /// Everything in a zone, also machines to come.
    Zone(String),
}

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It arrives after this time.
    After(TimeSpan),
    /// It is lost; nobody hears of it.
    Lost,
    /// Its connection is reset.
    Reset,
}

#[derive(Clone, Debug)]
struct Cut {
    a: Group,
    b: Group,
    one_way: bool,
    mode: CutMode,
    until: Time,
}

/// The links.
#[derive(Debug)]
pub struct Links {
    cuts: Vec<Cut>,
    /// Delays of the state service and of the cloud, and until when.
    slow_state: Option<(TimeSpan, Time)>,
    slow_cloud: Option<(TimeSpan, Time)>,
    /// Whether messages take time of their own: on loopback they really do.
    delays: bool,
    held: u64,
}

impl Links {
    /// Links without cuts.
    pub fn new(delays: bool) -> Links {
        Links {
            cuts: Vec::new(),
            slow_state: None,
            slow_cloud: None,
            delays,
            held: 0,
        }
    }

    /// Cuts `a` from `b`, or only what `a` sends.
    pub fn cut(&mut self, a: Group, b: Group, one_way: bool, mode: CutMode, until: Time) {
        self.cuts.push(Cut {
            a,
            b,
            one_way,
            mode,
            until,
        });
    }

    /// Lets the state service answer late.
    pub fn slow_state(&mut self, by: TimeSpan, until: Time) {
        self.slow_state = Some((by, until));
    }

    /// Lets the cloud answer late.
    pub fn slow_cloud(&mut self, by: TimeSpan, until: Time) {
        self.slow_cloud = Some((by, until));
    }

    /// What becomes of a message that is sent now; `zone` tells where a host is.
    pub fn fate(
        &mut self,
        now: Time,
        from: &Host,
        to: &Host,
        zone: impl Fn(&Host) -> Option<String>,
        rng: &mut StdRng,
    ) -> Fate {
        let mut after = TimeSpan::ZERO;
        if self.delays {
            after = TimeSpan(rng.random_range(300..4000));
            if rng.random_bool(0.01) {
                after = after + TimeSpan(rng.random_range(50_000..500_000));
            }
        }
        let slow = match from {
            Host::State => self.slow_state,
            Host::Cloud => self.slow_cloud,
            _ => None,
        };
        if let Some((by, until)) = slow
            && now < until
        {
            after = after + by;
        }
        self.cuts.retain(|c| now < c.until);
        if self.cuts.is_empty() {
            return Fate::After(after);
        }
        let (from_zone, to_zone) = (zone(from), zone(to));
        let within = |g: &Group, h: &Host, z: &Option<String>| match g {
            Group::These(hosts) => hosts.contains(h),
            Group::Machines => matches!(h, Host::Machine(_)),
            Group::Zone(name) => z.as_ref() == Some(name),
        };
        for c in &self.cuts {
            let there = within(&c.a, from, &from_zone) && within(&c.b, to, &to_zone);
            let back = within(&c.b, from, &from_zone) && within(&c.a, to, &to_zone);
            if !(there || (back && !c.one_way)) {
                continue;
            }
            match c.mode {
                CutMode::Lose => return Fate::Lost,
                CutMode::Reset => return Fate::Reset,
                CutMode::Hold => {
                    // In order: a step apart for each that is held.
                    self.held += 1;
                    let left = c.until.since(now) + TimeSpan(self.held % 5000);
                    after = TimeSpan(after.0.max(left.0));
                }
            }
        }
        Fate::After(after)
    }
}
