//! What is wrong with a script's values, and on which line.

use super::{JobShape, Nodes, Script, Side, What};

/// A step of a field's path.
pub(super) enum Step {
    Key(&'static str),
    Index(usize),
}

/// Where, and what is wrong.
pub(super) type Problem = (Vec<Step>, String);

macro_rules! path {
    ($($step:expr),*) => { vec![$(Step::from($step)),*] };
}

impl From<&'static str> for Step {
    fn from(k: &'static str) -> Step {
        Step::Key(k)
    }
}
impl From<usize> for Step {
    fn from(i: usize) -> Step {
        Step::Index(i)
    }
}

impl Script {
    /// Everything that cannot be used, field by field.
    pub(super) fn problems(&self) -> Vec<Problem> {
        let mut out: Vec<Problem> = Vec::new();
        let c = &self.cluster;
        let mut bad = |path: Vec<Step>, reason: String| out.push((path, reason));
        let zone_known = |z: &str| c.zones.iter().any(|k| k == z);
        let zones = || c.zones.join(", ");
        if !(1.0..=86_400.0).contains(&self.length_s) {
            bad(path!["length_s"], "has to be 1 to 86400 seconds".into());
        }
        if c.zones.is_empty() {
            bad(path!["cluster", "zones"], "at least one is needed".into());
        }
        if !(1..=9).contains(&c.controllers.len()) {
            bad(path!["cluster", "controllers"], "1 to 9 are needed".into());
        }
        for (i, z) in c.controllers.iter().enumerate() {
            if !zone_known(z) {
                bad(
                    path!["cluster", "controllers", i],
                    format!("no zone {z}; there are {}", zones()),
                );
            }
        }
        let w = &c.workers;
        if w.lease_s <= 2.0 * w.report_s {
            bad(
                path!["cluster", "workers", "lease_s"],
                "has to be over twice report_s".into(),
            );
        }
        for (i, m) in c.machines.iter().enumerate() {
            if !c.kinds.iter().any(|k| k.name == m.kind) {
                bad(
                    path!["cluster", "machines", i, "kind"],
                    format!("no kind {}", m.kind),
                );
            }
            if !zone_known(&m.zone) {
                bad(
                    path!["cluster", "machines", i, "zone"],
                    format!("no zone {}; there are {}", m.zone, zones()),
                );
            }
            if m.up > m.capacity {
                bad(
                    path!["cluster", "machines", i, "up"],
                    format!("{} are up, but the capacity is {}", m.up, m.capacity),
                );
            }
        }
        for (i, j) in self.jobs.iter().enumerate() {
            let team = c.teams.iter().find(|t| t.name == j.team);
            if team.is_none() {
                bad(path!["jobs", i, "team"], format!("no team {}", j.team));
            }
            if !(1.0..=100_000.0).contains(&j.tasks.least()) || j.tasks.most() < j.tasks.least() {
                bad(
                    path!["jobs", i, "tasks"],
                    "1 to 100000, the least first".into(),
                );
            }
            if j.run_s.least() < 0.0 || j.run_s.most() < j.run_s.least() {
                bad(path!["jobs", i, "run_s"], "the least first".into());
            }
            if !c.kinds.iter().any(|k| j.needs().fits_within(&k.has())) {
                bad(
                    path!["jobs", i, "cpus"],
                    "a task fits no machine type".into(),
                );
            }
            let at_once = if j.shape == JobShape::Array {
                1.0
            } else {
                j.tasks.most()
            };
            if team.is_some_and(|t| t.gpus_max > 0.0 && j.gpus * at_once > t.gpus_max) {
                bad(
                    path!["jobs", i, "gpus"],
                    format!("a job takes more than its team's {}", "gpus_max"),
                );
            }
            if let Some(z) = j.zone.as_ref().filter(|z| !zone_known(z)) {
                bad(path!["jobs", i, "zone"], format!("no zone {z}"));
            }
            if !(0.0..=1.0).contains(&j.cancelled) {
                bad(path!["jobs", i, "cancelled"], "a share, 0 to 1".into());
            }
        }
        if let Some(name) = c.build.as_deref()
            && self.build(Some(name)).is_none()
        {
            bad(
                path!["cluster", "build"],
                format!("no build {name}; name it under [[builds]]"),
            );
        }
        let nodes = c.controllers.len();
        for (i, f) in self.faults.iter().enumerate() {
            if f.at_s.is_some() == f.when.is_some() {
                bad(
                    path!["faults", i, "kind"],
                    "needs either at_s or when".into(),
                );
            }
            if f.at_s.is_some_and(|s| !(0.0..=self.length_s).contains(&s)) {
                bad(
                    path!["faults", i, "at_s"],
                    "has to lie within length_s".into(),
                );
            }
            let class = f.when.as_ref().and_then(|w| w.class.as_ref());
            if let Some(k) = class.filter(|k| self.jobs.iter().all(|j| j.class != **k)) {
                bad(
                    path!["faults", i, "when", "class"],
                    format!("no jobs of class {k}"),
                );
            }
            let that = matches!(
                f.what,
                What::Vanish { that: true, .. }
                    | What::Hang { that: true, .. }
                    | What::LoseAnswer {}
            );
            if that && f.when.is_none() {
                bad(
                    path!["faults", i, "kind"],
                    "is about a moment: give when, not at_s".into(),
                );
            }
            let value = serde_json::to_value(&f.what).unwrap_or_default();
            if let Some(share) = value["share"].as_f64()
                && !(0.0..=1.0).contains(&share)
            {
                bad(
                    path!["faults", i, "share"],
                    format!("{share} is no share; it has to lie between 0 and 1"),
                );
            }
            for time in ["for_s", "hang_s", "notice_s", "delay_s", "most_s"] {
                // What is no number to JSON is none here either.
                if let Some(s) = value.get(time)
                    && !s.as_f64().is_some_and(|s| (0.0..=86_400.0).contains(&s))
                {
                    bad(
                        path!["faults", i, time],
                        format!("{s} is no time; it has to be 0 to 86400 seconds"),
                    );
                }
            }
            let missing = |n: &u32| *n as usize >= nodes;
            match &f.what {
                What::SitePower { zone, .. }
                | What::Vanish {
                    zone: Some(zone), ..
                }
                | What::Faulty {
                    zone: Some(zone), ..
                }
                | What::MachineDeaf {
                    zone: Some(zone), ..
                }
                | What::MachineMute {
                    zone: Some(zone), ..
                } if !zone_known(zone) => bad(
                    path!["faults", i, "zone"],
                    format!("no zone {zone}; there are {}", zones()),
                ),
                What::Kill {
                    nodes: Nodes::Number(n),
                    ..
                }
                | What::Pause {
                    nodes: Nodes::Number(n),
                    ..
                }
                | What::Busy {
                    nodes: Nodes::Number(n),
                    ..
                }
                | What::Roll {
                    nodes: Nodes::Number(n),
                    ..
                }
                | What::StateRefuses {
                    nodes: Nodes::Number(n),
                    ..
                } if missing(n) => bad(
                    path!["faults", i, "nodes"],
                    format!("no controller {n}; they are 0 to {}", nodes - 1),
                ),
                What::StateLimits {
                    value_kb,
                    txn_ops,
                    write_rps,
                    ..
                } => {
                    let limits = [
                        ("value_kb", *value_kb),
                        ("txn_ops", f64::from(*txn_ops)),
                        ("write_rps", *write_rps),
                    ];
                    for (name, limit) in limits.into_iter().filter(|(_, limit)| *limit <= 0.0) {
                        bad(
                            path!["faults", i, name],
                            format!("{limit} is no limit; it has to be above 0"),
                        );
                    }
                }
                What::Roll {
                    build: Some(name), ..
                } if self.build(Some(name)).is_none() => bad(
                    path!["faults", i, "build"],
                    format!("no build {name}; name it under [[builds]]"),
                ),
                What::Cut { a, b, .. } => {
                    for (name, side) in [("a", a), ("b", b)] {
                        match side {
                            Side::Zone(z) if !zone_known(z) => bad(
                                path!["faults", i, name],
                                format!("no zone {z}; there are {}", zones()),
                            ),
                            Side::Controller(n) if missing(n) => bad(
                                path!["faults", i, name],
                                format!("no controller {n}; they are 0 to {}", nodes - 1),
                            ),
                            _ => {}
                        }
                    }
                }
                _ => {}
            }
        }
        out
    }
}

/// A path as it is written in errors.
pub(super) fn name_of(path: &[Step]) -> String {
    let mut out = String::new();
    for step in path {
        match step {
            Step::Key(k) if out.is_empty() => out.push_str(k),
            Step::Key(k) => out.push_str(&format!(".{k}")),
            Step::Index(i) => out.push_str(&format!("[{i}]")),
        }
    }
    out
}

/// The line of a field, or of the nearest thing around it that is there.
pub(super) fn line_of(document: &toml_edit::Document<&str>, text: &str, path: &[Step]) -> usize {
    use toml_edit::{Item, Table, TableLike};
    enum At<'a> {
        Item(&'a Item),
        Table(&'a Table),
    }
    let mut here = At::Item(document.as_item());
    let mut span = None;
    for step in path {
        let table: Option<&dyn TableLike> = match &here {
            At::Item(item) => item.as_table_like(),
            At::Table(table) => Some(*table),
        };
        let next = match (step, &here) {
            (Step::Key(k), _) => table.and_then(|t| t.get_key_value(k)).map(|(key, item)| {
                span = key.span().or(span.take());
                At::Item(item)
            }),
            (Step::Index(i), At::Item(Item::ArrayOfTables(tables))) => tables.get(*i).map(|t| {
                span = t.span().or(span.take());
                At::Table(t)
            }),
            (Step::Index(i), At::Item(item)) => item.get(*i).map(|item| {
                span = item.span().or(span.take());
                At::Item(item)
            }),
            (Step::Index(_), At::Table(_)) => None,
        };
        match next {
            Some(n) => here = n,
            None => break,
        }
    }
    let at = span.map_or(0, |s: std::ops::Range<usize>| s.start);
    text[..at.min(text.len())].matches('\n').count() + 1
}
