//! What is wrong with a script's values, and on which line.

use super::{Fault, JobShape, Jobs, Machines, Nodes, Script, Side, What};

/// Longest time that a field may name, a day.
const MAX_TIME_S: f64 = 86_400.0;
/// Most controllers of a cluster.
const MAX_CONTROLLERS: usize = 9;
/// Most tasks of a job.
const MAX_TASKS: f64 = 100_000.0;

/// A step of a field's path.
pub(super) enum Step {
    Key(&'static str),
    Index(usize),
}

/// A field whose value cannot be used.
pub(super) struct Problem {
    /// The field's path from the script's root.
    pub(super) path: Vec<Step>,
    /// What is wrong with its value.
    pub(super) reason: String,
}

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
        let mut check = Check {
            script: self,
            problems: Vec::new(),
        };
        check.check_cluster();
        for (index, machines) in self.cluster.machines.iter().enumerate() {
            check.check_machines(index, machines);
        }
        for (index, jobs) in self.jobs.iter().enumerate() {
            check.check_jobs(index, jobs);
        }
        check.check_build(path!["cluster", "build"], self.cluster.build.as_deref());
        for (index, fault) in self.faults.iter().enumerate() {
            check.check_fault_moment(index, fault);
            check.check_fault_numbers(index, &fault.what);
            check.check_fault_references(index, &fault.what);
        }
        check.problems
    }
}

/// A script and what was found to be wrong with it so far.
struct Check<'a> {
    script: &'a Script,
    problems: Vec<Problem>,
}

impl Check<'_> {
    fn report(&mut self, path: Vec<Step>, reason: impl Into<String>) {
        let reason = reason.into();
        self.problems.push(Problem { path, reason });
    }

    fn check_cluster(&mut self) {
        let cluster = &self.script.cluster;
        if !(1.0..=MAX_TIME_S).contains(&self.script.length_s) {
            let reason = format!("has to be 1 to {MAX_TIME_S} seconds");
            self.report(path!["length_s"], reason);
        }
        if cluster.zones.is_empty() {
            self.report(path!["cluster", "zones"], "at least one is needed");
        }
        if !(1..=MAX_CONTROLLERS).contains(&cluster.controllers.len()) {
            let reason = format!("1 to {MAX_CONTROLLERS} are needed");
            self.report(path!["cluster", "controllers"], reason);
        }
        for (index, zone) in cluster.controllers.iter().enumerate() {
            self.check_zone(path!["cluster", "controllers", index], zone);
        }
        let workers = &cluster.workers;
        if workers.lease_s <= 2.0 * workers.report_s {
            let path = path!["cluster", "workers", "lease_s"];
            self.report(path, "has to be over twice report_s");
        }
    }

    fn check_machines(&mut self, index: usize, machines: &Machines) {
        let kinds = &self.script.cluster.kinds;
        if !kinds.iter().any(|kind| kind.name == machines.kind) {
            let path = path!["cluster", "machines", index, "kind"];
            self.report(path, format!("no kind {}", machines.kind));
        }
        let path = path!["cluster", "machines", index, "zone"];
        self.check_zone(path, &machines.zone);
        let Machines { up, capacity, .. } = machines;
        if up > capacity {
            let path = path!["cluster", "machines", index, "up"];
            let reason = format!("{up} are up, but the capacity is {capacity}");
            self.report(path, reason);
        }
    }

    fn check_jobs(&mut self, index: usize, jobs: &Jobs) {
        let cluster = &self.script.cluster;
        let team = cluster.teams.iter().find(|team| team.name == jobs.team);
        if team.is_none() {
            let reason = format!("no team {}", jobs.team);
            self.report(path!["jobs", index, "team"], reason);
        }
        let (least, most) = (jobs.tasks.least(), jobs.tasks.most());
        if !(1.0..=MAX_TASKS).contains(&least) || most < least {
            let reason = format!("1 to {MAX_TASKS}, the least first");
            self.report(path!["jobs", index, "tasks"], reason);
        }
        if jobs.run_s.least() < 0.0 || jobs.run_s.most() < jobs.run_s.least() {
            self.report(path!["jobs", index, "run_s"], "the least first");
        }
        let mut kinds = cluster.kinds.iter();
        if !kinds.any(|kind| jobs.needs().fits_within(&kind.has())) {
            self.report(path!["jobs", index, "cpus"], "a task fits no machine type");
        }
        let tasks_at_once = match jobs.shape {
            JobShape::Array => 1.0,
            _ => most,
        };
        let gpus_at_once = jobs.gpus * tasks_at_once;
        if team.is_some_and(|team| team.gpus_max > 0.0 && gpus_at_once > team.gpus_max) {
            let reason = "a job takes more than its team's gpus_max";
            self.report(path!["jobs", index, "gpus"], reason);
        }
        if let Some(zone) = jobs.zone.as_ref().filter(|zone| !self.is_zone(zone)) {
            self.report(path!["jobs", index, "zone"], format!("no zone {zone}"));
        }
        if !(0.0..=1.0).contains(&jobs.cancelled) {
            self.report(path!["jobs", index, "cancelled"], "a share, 0 to 1");
        }
    }

    /// When a fault strikes: at a time within the script, or at a moment.
    fn check_fault_moment(&mut self, index: usize, fault: &Fault) {
        if fault.at_s.is_some() == fault.when.is_some() {
            self.report(path!["faults", index, "kind"], "needs either at_s or when");
        }
        let length = 0.0..=self.script.length_s;
        if fault.at_s.is_some_and(|time| !length.contains(&time)) {
            self.report(path!["faults", index, "at_s"], "has to lie within length_s");
        }
        let class = fault.when.as_ref().and_then(|when| when.class.as_ref());
        let is_class = |name: &String| self.script.jobs.iter().any(|jobs| jobs.class == *name);
        if let Some(name) = class.filter(|name| !is_class(name)) {
            let path = path!["faults", index, "when", "class"];
            self.report(path, format!("no jobs of class {name}"));
        }
        let needs_moment = matches!(
            fault.what,
            What::Vanish { that: true, .. } | What::Hang { that: true, .. } | What::LoseAnswer {}
        );
        if needs_moment && fault.when.is_none() {
            let reason = "is about a moment: give when, not at_s";
            self.report(path!["faults", index, "kind"], reason);
        }
    }

    /// Shares, times and limits of a fault.
    fn check_fault_numbers(&mut self, index: usize, what: &What) {
        let value = serde_json::to_value(what).unwrap_or_default();
        if let Some(share) = value["share"].as_f64()
            && !(0.0..=1.0).contains(&share)
        {
            let reason = format!("{share} is no share; it has to lie between 0 and 1");
            self.report(path!["faults", index, "share"], reason);
        }
        let is_time = |time: &serde_json::Value| {
            let seconds = time.as_f64();
            seconds.is_some_and(|seconds| (0.0..=MAX_TIME_S).contains(&seconds))
        };
        for name in ["for_s", "hang_s", "notice_s", "delay_s", "most_s"] {
            // What is no number to JSON is none here either.
            if let Some(time) = value.get(name).filter(|time| !is_time(time)) {
                let reason = format!("{time} is no time; it has to be 0 to {MAX_TIME_S} seconds");
                self.report(path!["faults", index, name], reason);
            }
        }
        if !matches!(what, What::StateLimits { .. }) {
            return;
        }
        for name in ["value_kb", "txn_ops", "write_rps"] {
            if let Some(limit) = value[name].as_f64().filter(|limit| *limit <= 0.0) {
                let reason = format!("{limit} is no limit; it has to be above 0");
                self.report(path!["faults", index, name], reason);
            }
        }
    }

    /// The zones, controllers and builds that a fault names.
    fn check_fault_references(&mut self, index: usize, what: &What) {
        match what {
            What::SitePower { zone, .. } => {
                self.check_zone(path!["faults", index, "zone"], zone);
            }
            What::Vanish { zone, .. }
            | What::Faulty { zone, .. }
            | What::MachineDeaf { zone, .. }
            | What::MachineMute { zone, .. } => {
                if let Some(zone) = zone {
                    self.check_zone(path!["faults", index, "zone"], zone);
                }
            }
            What::Kill { nodes, .. }
            | What::Pause { nodes, .. }
            | What::Busy { nodes, .. }
            | What::StateRefuses { nodes, .. } => self.check_nodes(index, nodes),
            What::Roll { nodes, build, .. } => {
                self.check_nodes(index, nodes);
                self.check_build(path!["faults", index, "build"], build.as_deref());
            }
            What::Cut { a, b, .. } => {
                self.check_side(path!["faults", index, "a"], a);
                self.check_side(path!["faults", index, "b"], b);
            }
            _ => {}
        }
    }

    fn check_nodes(&mut self, index: usize, nodes: &Nodes) {
        if let Nodes::Number(number) = nodes {
            self.check_controller(path!["faults", index, "nodes"], *number);
        }
    }

    fn check_side(&mut self, path: Vec<Step>, side: &Side) {
        match side {
            Side::Zone(zone) => self.check_zone(path, zone),
            Side::Controller(number) => self.check_controller(path, *number),
            _ => {}
        }
    }

    fn check_controller(&mut self, path: Vec<Step>, number: u32) {
        let controllers = self.script.cluster.controllers.len();
        if (number as usize) < controllers {
            return;
        }
        let known = match controllers.checked_sub(1) {
            Some(last) => format!("they are 0 to {last}"),
            None => "there are none".into(),
        };
        self.report(path, format!("no controller {number}; {known}"));
    }

    fn check_zone(&mut self, path: Vec<Step>, zone: &str) {
        if !self.is_zone(zone) {
            let zones = self.script.cluster.zones.join(", ");
            self.report(path, format!("no zone {zone}; there are {zones}"));
        }
    }

    fn is_zone(&self, zone: &str) -> bool {
        let mut zones = self.script.cluster.zones.iter();
        zones.any(|known| known == zone)
    }

    fn check_build(&mut self, path: Vec<Step>, build: Option<&str>) {
        if let Some(name) = build.filter(|name| self.script.build(Some(name)).is_none()) {
            let reason = format!("no build {name}; name it under [[builds]]");
            self.report(path, reason);
        }
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
