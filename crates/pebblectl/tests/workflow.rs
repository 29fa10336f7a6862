//! Workflows on a cluster of real processes. Steps append lines to a log file, and the
//! tests conclude from this log alone which steps ran.

use serde_json::Value;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// First of `count` consecutive ports that are free; concurrent tests try different
/// ports.
fn free_ports(count: u16) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 20_000 + (std::process::id() % 200) as u16 * 37;
    loop {
        let base = first + NEXT.fetch_add(count, Ordering::Relaxed);
        assert!(base < 32_000, "no free ports");
        let listeners: Vec<_> = (base..base + count)
            .map(|p| TcpListener::bind(("127.0.0.1", p)))
            .collect();
        if listeners.iter().all(Result::is_ok) {
            return base;
        }
    }
}

/// A cluster started by `pebblectl up`, with its files in a temporary directory.
struct Cluster {
    up: Child,
    dir: PathBuf,
}

impl Cluster {
    fn start(name: &str) -> Cluster {
        Cluster::start_with(name, None)
    }

    /// Starts the cluster of a script, with the script's faults, or the built-in one.
    fn start_with(name: &str, script: Option<&str>) -> Cluster {
        let dir = std::env::temp_dir().join(format!("pebblectl-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let port = free_ports(8);
        let at = |n: u16| format!("\"127.0.0.1:{}\"", port + n);
        let config = format!(
            "cluster = \"t\"\n[clusters.t]\napi = [{}]\ninternal = [{}, {}, {}]\nstate = {}\n",
            at(0),
            at(2),
            at(4),
            at(6),
            at(7)
        );
        std::fs::write(dir.join("config.toml"), config).unwrap();
        let mut up = Command::new(env!("CARGO_BIN_EXE_pebblectl"));
        up.args(["up", "--port", &port.to_string(), "--dir"])
            .arg(dir.join("up"))
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(dir.join("up.log")).unwrap());
        if let Some(text) = script {
            let file = dir.join("cluster.toml");
            std::fs::write(&file, text).unwrap();
            up.arg("--script").arg(file);
        }
        let up = up.spawn().unwrap();
        Cluster { up, dir }
    }

    /// Runs a verb of `pebblectl workflow` on a workflow that was begun.
    fn workflow_verb(&self, verb: &str, name: &str, more: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_pebblectl"))
            .current_dir(root())
            .args(["--output", "json", "--config"])
            .arg(self.dir.join("config.toml"))
            .args(["workflow", verb, name, "--user", "ana", "--work"])
            .arg(self.dir.join("work"))
            .args(more)
            .output()
            .unwrap()
    }

    /// Writes a file into the cluster's directory and returns its path.
    fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.dir.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// A `pebblectl workflow run` under this name.
    fn run_command(&self, name: &str, more: &[&str]) -> Command {
        let mut c = Command::new(env!("CARGO_BIN_EXE_pebblectl"));
        c.current_dir(root())
            .arg("--config")
            .arg(self.dir.join("config.toml"))
            .args([
                "workflow",
                "run",
                "--name",
                name,
                "--job",
                "examples/workflow/job.json",
                "--work",
            ])
            .arg(self.dir.join("work"))
            .args(more);
        c
    }

    /// How often each line occurs in the steps' log.
    fn log_counts(&self) -> BTreeMap<String, usize> {
        let text = std::fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        let mut counts = BTreeMap::new();
        for line in text.lines() {
            *counts.entry(line.to_string()).or_default() += 1;
        }
        counts
    }

    /// A workflow with one scatter, whose steps sleep, then append their number to the
    /// log.
    fn sleeping_scatter(&self, items: usize) -> PathBuf {
        let file = self.dir.join(format!("sleepy-{items}.cwl"));
        let log = self.dir.join("log");
        let list: Vec<String> = (0..items).map(|i| i.to_string()).collect();
        let text = format!(
            "cwlVersion: v1.2\nclass: Workflow\nrequirements: {{ScatterFeatureRequirement: {{}}}}\n\
             inputs: {{l: {{type: \"int[]\", default: [{}]}}}}\noutputs: []\nsteps:\n  a:\n    scatter: n\n    in: {{n: l}}\n    out: []\n    run:\n\
             \x20     class: CommandLineTool\n      baseCommand: [sh, -c, 'sleep 0.7; echo \"$1\" >> \"$0\"', '{}']\n      inputs: {{n: {{type: int, inputBinding: {{}}}}}}\n      outputs: []\n",
            list.join(", "),
            log.display()
        );
        std::fs::write(&file, text).unwrap();
        file
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // On SIGTERM, `up` stops its controllers before it exits.
        let id = self.up.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        let _ = self.up.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn outputs(o: &Output) -> Value {
    assert!(o.status.success(), "{}", text_of(&o.stderr));
    serde_json::from_slice(&o.stdout).unwrap()
}

fn once_each(items: usize) -> BTreeMap<String, usize> {
    (0..items).map(|i| (i.to_string(), 1)).collect()
}

#[test]
fn workflows_yield_outputs_and_run_steps_once() {
    let cluster = Cluster::start("flows");
    // The first workflow of the users' page, as printed there.
    let first = cluster
        .run_command(
            "first",
            &[
                "examples/workflow/readings.cwl",
                "examples/workflow/inputs.yml",
            ],
        )
        .output()
        .unwrap();
    let out = outputs(&first);
    assert_eq!(out["total"], 126);
    let bill = out["bill"]["path"].as_str().unwrap();
    assert_eq!(std::fs::read_to_string(bill).unwrap(), "to pay 126\n");
    // A second run under the same name runs no step and has the same outputs.
    let again = cluster
        .run_command(
            "first",
            &[
                "examples/workflow/readings.cwl",
                "examples/workflow/inputs.yml",
            ],
        )
        .output()
        .unwrap();
    assert_eq!(outputs(&again), out);
    assert!(
        text_of(&again.stderr).contains("3 steps are over already")
            && !text_of(&again.stderr).contains("submitted"),
        "{}",
        text_of(&again.stderr)
    );
    // A run with a missing input does not claim its name.
    let invalid = cluster
        .run_command("slip", &["examples/workflow/readings.cwl"])
        .output()
        .unwrap();
    assert!(
        text_of(&invalid.stderr).contains("input photos: null"),
        "{}",
        text_of(&invalid.stderr)
    );
    let corrected = cluster
        .run_command(
            "slip",
            &[
                "examples/workflow/readings.cwl",
                "examples/workflow/inputs.yml",
            ],
        )
        .output()
        .unwrap();
    assert_eq!(outputs(&corrected)["total"], 126);
    // A name cannot be used for another workflow.
    let sleepy = cluster.sleeping_scatter(12);
    let sleepy = sleepy.to_str().unwrap();
    let taken = cluster.run_command("first", &[sleepy]).output().unwrap();
    assert_eq!(taken.status.code(), Some(2), "{}", text_of(&taken.stderr));
    assert!(
        text_of(&taken.stderr).contains("is taken"),
        "{}",
        text_of(&taken.stderr)
    );

    // A runner is killed at different moments, and started again.
    for ms in [900, 1500, 1200] {
        let mut runner = cluster
            .run_command("killed", &[sleepy, "--at-once", "4"])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        std::thread::sleep(Duration::from_millis(ms));
        runner.kill().unwrap();
        runner.wait().unwrap();
    }
    outputs(
        &cluster
            .run_command("killed", &[sleepy, "--at-once", "4"])
            .output()
            .unwrap(),
    );
    assert_eq!(cluster.log_counts(), once_each(12));

    // Two runners run the same workflow concurrently.
    std::fs::remove_file(cluster.dir.join("log")).unwrap();
    let runners: Vec<Child> = (0..2)
        .map(|_| {
            cluster
                .run_command("two", &[sleepy, "--at-once", "6"])
                .stdout(Stdio::null())
                .stderr(Stdio::piped())
                .spawn()
                .unwrap()
        })
        .collect();
    for r in runners {
        let o = r.wait_with_output().unwrap();
        assert!(o.status.success(), "{}", text_of(&o.stderr));
    }
    assert_eq!(cluster.log_counts(), once_each(12));

    // A failing step ends the workflow, and the failure names the step and exit code.
    let failing = cluster.dir.join("failing.cwl");
    std::fs::write(&failing, "cwlVersion: v1.2\nclass: Workflow\ninputs: []\noutputs: []\nsteps:\n  a: {in: {}, out: [], run: {class: CommandLineTool, baseCommand: [sh, -c, 'exit 3'], inputs: [], outputs: []}}\n").unwrap();
    let failed = cluster
        .run_command("failing", &[failing.to_str().unwrap()])
        .output()
        .unwrap();
    assert_eq!(failed.status.code(), Some(1));
    assert!(
        text_of(&failed.stderr).contains("a: exit code 3"),
        "{}",
        text_of(&failed.stderr)
    );
    // A step cannot request more than the workflow's job template allows.
    let greedy = std::fs::read_to_string(&failing).unwrap().replace(
        "inputs: [], outputs: []}}",
        "requirements: {ResourceRequirement: {coresMin: 64}}, inputs: [], outputs: []}}",
    );
    std::fs::write(&failing, greedy).unwrap();
    let greedy = cluster
        .run_command("greedy", &[failing.to_str().unwrap()])
        .output()
        .unwrap();
    assert!(
        text_of(&greedy.stderr).contains("asks for 64 cores, its workflow's job has 4"),
        "{}",
        text_of(&greedy.stderr)
    );
    assert!(Path::new(&cluster.dir.join("up.log")).exists());
}

/// Waits until a condition holds, at most 90 s.
fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(
            begun.elapsed() < Duration::from_secs(90),
            "not within 90 s: {what}"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}

fn workflow_status(c: &Cluster, name: &str) -> Value {
    outputs(&c.workflow_verb("status", name, &[]))
}

#[test]
fn workflow_is_cancelled_resumed_and_shown() {
    let c = Cluster::start("verbs");
    let log = c.dir.join("log");
    let text = "cwlVersion: v1.2\nclass: Workflow\nrequirements: {ScatterFeatureRequirement: {}}\ninputs: {l: {type: \"int[]\", default: [0, 1, 2, 3, 4, 5, 6, 7]}}\noutputs: []\nsteps:\n  a:\n    scatter: n\n    in: {n: l}\n    out: []\n    run:\n      class: CommandLineTool\n      baseCommand: [sh, -c, 'echo \"begun $1\" >> \"$0\"; sleep 60; echo \"ended $1\" >> \"$0\"', LOG]\n      inputs: {n: {type: int, inputBinding: {}}}\n      outputs: []\n"
        .replace("LOG", &log.display().to_string());
    let long = c.write_file("long.cwl", &text);
    // The workflow is cancelled while half of its steps and its runner run.
    let runner = c
        .run_command("long", &[&long, "--at-once", "4"])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    wait_until("four steps run", || c.log_counts().len() == 4);
    let cancelled = outputs(&c.workflow_verb("cancel", "long", &[]));
    assert_eq!(
        (&cancelled["stage"], &cancelled["why"]),
        (&"cancelled".into(), &"by ana".into())
    );
    let o = runner.wait_with_output().unwrap();
    assert_eq!(o.status.code(), Some(1));
    assert!(
        text_of(&o.stderr).contains("cancelled by ana"),
        "{}",
        text_of(&o.stderr)
    );
    // Cancelling again has the same result; every job is over.
    assert_eq!(
        outputs(&c.workflow_verb("cancel", "long", &[]))["stage"],
        "cancelled"
    );
    let status = workflow_status(&c, "long");
    let steps = status["steps"].as_array().unwrap();
    assert_eq!((steps.len(), &status["runners"]), (4, &0.into()));
    assert!(steps.iter().all(|s| s["stage"] == "withdrawn"), "{status}");
    let again = c.run_command("long", &[&long]).output().unwrap();
    assert_eq!(again.status.code(), Some(1), "{}", text_of(&again.stderr));

    // The workflow is also cancelled after its runner was killed and none replaced it.
    std::fs::remove_file(&log).unwrap();
    let mut runner = c
        .run_command("left", &[&long, "--at-once", "3"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    wait_until("three steps run", || c.log_counts().len() == 3);
    runner.kill().unwrap();
    runner.wait().unwrap();
    let cancelled = outputs(&c.workflow_verb("cancel", "left", &[]));
    assert_eq!(
        (&cancelled["stage"], &cancelled["jobs_cancelled_here"]),
        (&"cancelled".into(), &3.into())
    );
    assert!(!c.log_counts().keys().any(|l| l.starts_with("ended")));

    // `resume --again` reruns the failed step and not the finished one.
    std::fs::remove_file(&log).unwrap();
    let gate = c.dir.join("gate");
    let text = "cwlVersion: v1.2\nclass: Workflow\ninputs: []\noutputs: {r: {type: int, outputSource: b/r}}\nsteps:\n  a: {in: {}, out: [o], run: {class: CommandLineTool, baseCommand: [sh, -c, 'echo a >> \"$0\"; echo 42', 'LOG'], inputs: [], stdout: o.txt, outputs: {o: stdout}}}\n  b:\n    in: {f: a/o}\n    out: [r]\n    run:\n      class: CommandLineTool\n      requirements: {InlineJavascriptRequirement: {}, InitialWorkDirRequirement: {listing: [{entryname: in.txt, entry: $(inputs.f)}]}}\n      hints: {pebblefold:Job: {retry: never}}\n      baseCommand: [sh, -c, 'echo b >> \"$0\"; cat in.txt; test -e \"$1\"', 'LOG', 'GATE']\n      stdout: r.txt\n      inputs: {f: File}\n      outputs: {r: {type: int, outputBinding: {glob: r.txt, loadContents: true, outputEval: \"$(parseInt(self[0].contents))\"}}}\n"
        .replace("LOG", &log.display().to_string())
        .replace("GATE", &gate.display().to_string());
    let gated = c.write_file("gated.cwl", &text);
    let cache = c.dir.join("cache").display().to_string();
    let with = |name: &str| {
        c.run_command(name, &[&gated, "--cache", &cache])
            .output()
            .unwrap()
    };
    let failed = with("gated");
    assert!(
        text_of(&failed.stderr).contains("b: exit code 1"),
        "{}",
        text_of(&failed.stderr)
    );
    let stays = c.workflow_verb("resume", "gated", &[]);
    assert!(
        text_of(&stays.stderr).contains("--again"),
        "{}",
        text_of(&stays.stderr)
    );
    std::fs::write(&gate, "").unwrap();
    assert_eq!(
        outputs(&c.workflow_verb("resume", "gated", &["--again"]))["r"],
        42
    );
    assert_eq!(
        c.log_counts(),
        BTreeMap::from([("a".into(), 1), ("b".into(), 2)])
    );
    assert_eq!(
        outputs(&c.workflow_verb("cancel", "gated", &[]))["stage"],
        "done"
    );

    // With a cache, a run under another name reuses results of the same tools on the
    // same inputs.
    let reused = with("other");
    assert_eq!(outputs(&reused)["r"], 42);
    assert!(
        text_of(&reused.stderr).contains("reused the result of job"),
        "{}",
        text_of(&reused.stderr)
    );
    assert_eq!(
        c.log_counts(),
        BTreeMap::from([("a".into(), 1), ("b".into(), 2)])
    );

    // The provenance names jobs, hashes of inputs, machines and times.
    let provenance = outputs(&c.workflow_verb("provenance", "gated", &[]));
    let b = provenance["steps"]
        .as_array()
        .unwrap()
        .iter()
        .find(|s| s["step"] == "b")
        .unwrap();
    let jobs = b["jobs"].as_array().unwrap();
    assert_eq!(jobs.len(), 2);
    for j in jobs {
        assert_eq!(j["asked"]["input_hashes"].as_object().unwrap().len(), 1);
        assert!(j["ended"]["machine"].as_str().unwrap().starts_with("host-"));
        assert!(j["ended"]["ended_ms"].as_u64() >= j["ended"]["began_ms"].as_u64());
    }
    assert_eq!(provenance["head"]["round"], 1);

    let none = c.workflow_verb("status", "nothing", &[]);
    assert_eq!(none.status.code(), Some(2));
    assert!(text_of(&none.stderr).contains("no workflow nothing"));
    let graph = Command::new(env!("CARGO_BIN_EXE_pebblectl"))
        .args(["workflow", "graph", &gated])
        .output()
        .unwrap();
    assert!(text_of(&graph.stdout).contains("\"a\" -> \"b\";"));
    let svg = c.dir.join("g.svg").display().to_string();
    let graph = Command::new(env!("CARGO_BIN_EXE_pebblectl"))
        .args(["workflow", "graph", &gated, "--svg", &svg])
        .output()
        .unwrap();
    assert!(graph.status.success());
    assert!(std::fs::read_to_string(svg).unwrap().contains("<svg"));
}

/// A cluster with three faults while a workflow runs: the key-value store is
/// unavailable for 5 s, then the leader is killed, then two machines vanish.
const FAULT_SCRIPT: &str = r#"
name = "rough"
length_s = 600
[cluster]
zones = ["a", "b"]
controllers = ["a", "b", "a"]
kinds = [{ name = "box", cpus = 8, gpus = 4, memory_gb = 64, cache_gb = 60, fetch_gb_per_s = 4.0, price = 4.0, spot_price = 1.0, boot_s = 3 }]
machines = [{ kind = "box", zone = "a", capacity = 6, up = 3 }, { kind = "box", zone = "b", capacity = 6, up = 3 }]
teams = [{ name = "maps", gpus = 16, gpus_max = 48 }]
workers = { report_s = 1.0, lease_s = 8.0, gang_wait_s = 20.0, gang_peer_s = 4.0, cancel_s = 20.0 }
aims = []
[[faults]]
at_s = 9
kind = "state_out"
for_s = 5
[[faults]]
at_s = 18
kind = "kill"
nodes = "leader"
for_s = 3
[[faults]]
at_s = 24
kind = "vanish"
count = 2
"#;

// During the faults, a workflow whose steps may be retried finishes. A step with
// `--retry never` is started at most once; its workflow may therefore fail, and then
// says that the step's fate is unknown.
#[test]
fn workflows_survive_faults_without_repeating_unretryable_steps() {
    let c = Cluster::start_with("rough", Some(FAULT_SCRIPT));
    let steps = |word: &str| -> String {
        let text = std::fs::read_to_string(c.sleeping_scatter(24)).unwrap();
        let text = text.replace(
            "sleep 0.7;",
            &format!("echo {word}-$1 >> $0.begun; sleep 2;"),
        );
        c.write_file(&format!("{word}.cwl"), &text)
    };
    let (may, never) = (steps("may"), steps("never"));
    let run = |name: &str, file: &str, retry: &str| {
        c.run_command(name, &[file, "--at-once", "5", "--retry", retry])
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    };
    let runners = [run("may", &may, "0"), run("never", &never, "never")];
    let [may, never] = runners.map(|r| r.wait_with_output().unwrap());
    assert!(may.status.success(), "{}", text_of(&may.stderr));
    if !never.status.success() {
        assert!(
            text_of(&never.stderr).contains("its fate is unknown"),
            "{}",
            text_of(&never.stderr)
        );
    }
    let begun = std::fs::read_to_string(c.dir.join("log.begun")).unwrap();
    let count = |word: &str| begun.lines().filter(|l| *l == word).count();
    for i in 0..24 {
        assert!(
            count(&format!("never-{i}")) <= 1,
            "step {i} was started more than once\n{begun}"
        );
        assert!(count(&format!("may-{i}")) >= 1);
    }
}
