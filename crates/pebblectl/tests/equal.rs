//! Workflows get no special treatment: a workflow and the same jobs submitted manually,
//! simulated with the same seed, have the same history, to the last event.

use pebblefold_simulator::checker::{HistoryEvent, RequestKind};
use pebblefold_simulator::script::Script;
use pebblefold_simulator::simulated::Simulated;
use pebblefold_simulator::users::Planned;
use pebblefold_wire::types::{JobId, Time, TimeSpan};
use pebblefold_wire::users::{JobShape, JobStage, Priority, Submission};
use pebblefold_workflow::engine::{Action, Engine, Object, Outcome, TaskPath};
use pebblefold_workflow::expression::Limits;
use pebblefold_workflow::load::{Files, load};
use pebblefold_workflow::needs::Retry;
use pebblefold_workflow::plan::{Allowed, Try, job_id};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// A file system in which every path holds the same text.
struct SingleFile(&'static str);

impl Files for SingleFile {
    fn read(&self, _: &Path) -> std::io::Result<String> {
        Ok(self.0.into())
    }
}

/// Eight readings with high priority, their sum, and four letters with low priority.
const FLOW: &str = r#"
cwlVersion: v1.2
class: Workflow
requirements: {ScatterFeatureRequirement: {}}
inputs: {dials: "int[]", letters: "int[]"}
outputs: {sent: {type: "int[]", outputSource: send/m}}
steps:
  read: {scatter: n, in: {n: dials}, out: [m], run: {class: CommandLineTool, baseCommand: t, inputs: {n: int}, outputs: {m: int}}}
  add: {in: {n: read/m}, out: [m], run: {class: CommandLineTool, baseCommand: t, inputs: {n: "int[]"}, outputs: {m: int}}}
  send:
    scatter: n
    in: {n: letters, k: add/m}
    out: [m]
    hints: {pebblefold:Job: {priority: low, gpus: 1, job_class: photo-again, estimate_s: 5}}
    run: {class: CommandLineTool, hints: {ResourceRequirement: {coresMin: 6, ramMin: 30720}}, baseCommand: t, inputs: {n: int, k: int}, outputs: {m: int}}
"#;

fn template() -> Submission {
    Submission {
        id: "template".into(),
        class: "bill-read".into(),
        team: "billing".into(),
        shape: JobShape::Array,
        priority: Priority::High,
        tasks: 1,
        cpus: 28.0,
        gpus: 4.0,
        memory_gb: 150.0,
        image: "bill-read-0".into(),
        image_gb: 6.0,
        kinds: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 20.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// A user who submits jobs, depending on which jobs are done.
trait Submitter {
    /// The jobs to submit next, given all jobs that are done.
    fn next_jobs(&mut self, done: &BTreeSet<JobId>) -> Vec<Submission>;
    /// Whether all jobs of this submitter are done.
    fn is_over(&self) -> bool;
}

struct Workflow {
    engine: Engine,
    allowed: Allowed,
    jobs: BTreeMap<JobId, TaskPath>,
    over: bool,
}

impl Workflow {
    fn new() -> Workflow {
        let loaded = load(&SingleFile(FLOW), "flow.cwl");
        assert!(loaded.valid, "{:?}", loaded.problems);
        let process = loaded.process.unwrap();
        let allowed = Allowed {
            job: template(),
            classes: vec!["photo-again".into()],
            retry: Retry::OnFailure(0),
        };
        assert!(allowed.refused(&process).is_empty());
        let inputs = json!({"dials": [1, 2, 3, 4, 5, 6, 7, 8], "letters": [1, 2, 3, 4]});
        Workflow {
            engine: Engine::new(
                process,
                inputs.as_object().unwrap().clone(),
                100,
                Limits::default(),
            ),
            allowed,
            jobs: BTreeMap::new(),
            over: false,
        }
    }
}

impl Submitter for Workflow {
    fn next_jobs(&mut self, done: &BTreeSet<JobId>) -> Vec<Submission> {
        let mut ended: Vec<TaskPath> = Vec::new();
        self.jobs.retain(|id, path| {
            let over = done.contains(id);
            ended.extend(over.then(|| path.clone()));
            !over
        });
        for path in ended {
            let outputs: Object = json!({"m": 1}).as_object().unwrap().clone();
            self.engine.outcome(path, Outcome::Done(outputs));
        }
        let mut submissions = Vec::new();
        for action in self.engine.advance() {
            match action {
                Action::Run(task) => {
                    let id = job_id("night", &task.path, Try::default());
                    let job = self.allowed.submission(&task, &id, Limits::default());
                    submissions.push(job.unwrap());
                    self.jobs.insert(id, task.path);
                }
                Action::End(end) => {
                    assert_eq!(end.unwrap()["sent"], json!([1, 1, 1, 1]));
                    self.over = true;
                }
                Action::Stop(path) => panic!("{path} is stopped"),
            }
        }
        submissions
    }
    fn is_over(&self) -> bool {
        self.over
    }
}

/// The same jobs submitted manually: each stage is submitted when the stage before is
/// done.
struct ManualJobs {
    stages: Vec<Vec<Submission>>,
    open: Vec<JobId>,
}

impl ManualJobs {
    fn new() -> ManualJobs {
        let id = |path: &str| job_id("night", &TaskPath::from(path), Try::default());
        let reading = |i: usize| Submission {
            id: id(&format!("read/{i}")),
            ..template()
        };
        let letter = |i: usize| Submission {
            id: id(&format!("send/{i}")),
            class: "photo-again".into(),
            priority: Priority::Low,
            cpus: 6.0,
            gpus: 1.0,
            memory_gb: 30.0,
            estimate_s: 5.0,
            ..template()
        };
        let sum = Submission {
            id: id("add"),
            ..template()
        };
        ManualJobs {
            stages: vec![
                (0..8).map(reading).collect(),
                vec![sum],
                (0..4).map(letter).collect(),
            ],
            open: Vec::new(),
        }
    }
}

impl Submitter for ManualJobs {
    fn next_jobs(&mut self, done: &BTreeSet<JobId>) -> Vec<Submission> {
        self.open.retain(|id| !done.contains(id));
        if !self.open.is_empty() || self.stages.is_empty() {
            return Vec::new();
        }
        let next = self.stages.remove(0);
        self.open = next.iter().map(|j| j.id.clone()).collect();
        next
    }
    fn is_over(&self) -> bool {
        self.stages.is_empty() && self.open.is_empty()
    }
}

/// Simulates `billing-night.toml` with one more submitter. Returns the whole history,
/// and the order in which tasks of the submitter and of urgent billing ran.
fn simulate_night(
    submitter: &mut dyn Submitter,
    zone_loses_power: bool,
    seed: u64,
) -> (Vec<String>, Vec<String>) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals/billing-night.toml");
    let text = std::fs::read_to_string(path).unwrap();
    // Fewer jobs than in the script; the script's faults are replaced by at most one:
    // the first zone loses power in the middle of the workflow.
    let text = text
        .replace("count = 60", "count = 24")
        .replace("over_s = 200", "over_s = 60")
        .replace("count = 140", "count = 40")
        .replace("over_s = 220", "over_s = 60");
    let faults = text.find("[[faults]]").unwrap();
    let loss = "[[faults]]\nat_s = 28\nkind = \"site_power\"\nzone = \"market\"\nfor_s = 60\n";
    let text = format!(
        "{}{}",
        &text[..faults],
        if zone_loses_power { loss } else { "" }
    );
    let script = Script::parse("night.toml", &text).unwrap_or_else(|e| panic!("{e:?}"));
    let mut world = Simulated::new(script, seed).unwrap();
    // The submitter begins at the same time as the first urgent billing job.
    let mut now = Time(0) + TimeSpan::secs(5.0);
    let mut done: BTreeSet<JobId> = BTreeSet::new();
    let mut events_read = 0;
    while !submitter.is_over() && now < Time(0) + TimeSpan::secs(400.0) {
        for spec in submitter.next_jobs(&done) {
            let run_s = spec.estimate_s;
            world.stand_mut().add_job(Planned {
                mistaken: false,
                spec,
                run_s,
                at: now,
                cancel_at: None,
            });
        }
        now = now + TimeSpan::millis(500);
        world.play(now, false);
        let history = world.stand().checker().history();
        for (_, seen) in &history[events_read..] {
            if let HistoryEvent::RequestOutcome {
                job,
                what: RequestKind::Poll,
                stage: Some(JobStage::Done),
                ..
            } = seen
            {
                done.insert(job.as_str().into());
            }
        }
        events_read = history.len();
    }
    assert!(
        submitter.is_over(),
        "the submitter's jobs are not done after 400 s"
    );
    world.play(Time(0) + TimeSpan::secs(419.0), true);
    let breaches = world.stand().checker().breaches();
    assert!(breaches.is_empty(), "{breaches:?}");
    let history = world.stand().checker().history();
    let runs = history.iter().filter_map(|(t, s)| match s {
        HistoryEvent::TaskRunning { task } => Some(format!("{:.3} {task}", t.0 as f64 / 1e6)),
        _ => None,
    });
    let events = history.iter().map(|(t, s)| format!("{} {s:?}", t.0));
    (events.collect(), runs.collect())
}

fn assert_equal_histories(zone_loses_power: bool, seed: u64) {
    let mut flow = Workflow::new();
    let (events, runs) = simulate_night(&mut flow, zone_loses_power, seed);
    let (manual_events, manual_runs) =
        simulate_night(&mut ManualJobs::new(), zone_loses_power, seed);
    // The order of starts is compared first: its differences are easier to read.
    assert_eq!(runs, manual_runs, "seed {seed}");
    assert_eq!(events.len(), manual_events.len(), "seed {seed}");
    let first_difference = events.iter().zip(&manual_events).find(|(a, b)| a != b);
    assert_eq!(first_difference, None, "seed {seed}");
    let own_runs = runs
        .iter()
        .filter(|r| r.contains("wk-") && !r.contains("wk-00"));
    assert!(own_runs.count() >= 13, "fewer than the thirteen jobs ran");
}

#[test]
fn workflow_and_manual_jobs_have_equal_histories() {
    for seed in 1..=3 {
        assert_equal_histories(false, seed);
    }
}

#[test]
fn histories_stay_equal_when_zone_loses_power() {
    for seed in 1..=3 {
        assert_equal_histories(true, seed);
    }
}
