//! Measures the overhead of a workflow's step compared to a job submitted manually, and
//! the duration of long and wide workflows, on a whole cluster on loopback whose
//! simulated machines run `true` for each step. Run with `cargo bench -p pebblectl`, or
//! with a width: `cargo bench -p pebblectl -- 2000`. The results depend on the machine
//! that runs the benchmark.

use pebblefold_client::{Client, RetryPolicy};
use pebblefold_net::{Client as Net, SentFlag};
use pebblefold_simulator::loopback::{Loopback, Options as Cluster};
use pebblefold_simulator::script::Script;
use pebblefold_wire::command::CommandSpec;
use pebblefold_wire::encode;
use pebblefold_wire::users::{JobShape, Priority, Submission};
use pebblefold_workflow::engine::Object;
use pebblefold_workflow::load::{Files, load};
use pebblefold_workflow::needs::Retry;
use pebblefold_workflow::plan::Allowed;
use pebblefold_workflow::runner::{News, Options, run};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

const SCRIPT: &str = r#"
name = "steps"
length_s = 86400
[cluster]
zones = ["a", "b"]
controllers = ["a", "b", "a"]
kinds = [{ name = "box", cpus = 32, gpus = 0, memory_gb = 256, cache_gb = 60, fetch_gb_per_s = 50.0, price = 4.0, spot_price = 1.0, boot_s = 1 }]
machines = [{ kind = "box", zone = "a", capacity = 16, up = 8 }, { kind = "box", zone = "b", capacity = 16, up = 8 }]
teams = [{ name = "maps", cpus = 1000, cpus_max = 2000 }]
aims = []
workers = { report_s = 1.0, lease_s = 10.0, gang_wait_s = 20.0, gang_peer_s = 4.0, cancel_s = 30.0 }
state = { rps = 250.0, write_rps = 100.0 }
"#;

const TOOL: &str = "{class: CommandLineTool, baseCommand: [\"true\"], inputs: {n: int}, outputs: {m: {type: int, outputBinding: {outputEval: $(inputs.n)}}}}";
const HEAD: &str =
    "cwlVersion: v1.2\nclass: Workflow\nrequirements: {ScatterFeatureRequirement: {}}\n";
/// Number of steps in the chain, and of jobs submitted manually.
const CHAIN_LENGTH: usize = 100;

/// A file system in which every path holds the same text.
struct SingleFile(String);

impl Files for SingleFile {
    fn read(&self, _: &Path) -> std::io::Result<String> {
        Ok(self.0.clone())
    }
}

fn job(id: &str) -> Submission {
    Submission {
        id: id.into(),
        class: "tiles".into(),
        team: "maps".into(),
        shape: JobShape::Array,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "tools".into(),
        image_gb: 0.1,
        kinds: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// Submits `CHAIN_LENGTH` jobs, each after the previous one ended, as a user's script
/// would; returns the total time.
async fn run_manual_jobs(front: SocketAddrV4, work: &Path) -> Duration {
    let (client, net) = (
        Client::new(vec![front], RetryPolicy::default()),
        Net::default(),
    );
    let begun = Instant::now();
    for i in 0..CHAIN_LENGTH {
        let id = format!("wk-hand-{i}");
        let command = CommandSpec {
            argv: vec!["true".into()],
            dir: work.join(&id).display().to_string(),
            env: BTreeMap::from([("PATH".into(), "/usr/bin:/bin".into())]),
            ..CommandSpec::default()
        };
        let path = format!("/descriptions/{id}");
        let sent = SentFlag::default();
        net.exchange(front, "POST", &path, &encode(&command), &sent)
            .await
            .expect("the cluster is up");
        client.submit(&job(&id)).await.expect("the job is accepted");
        let poll_interval = Duration::from_millis(100);
        client
            .wait(&id.as_str().into(), poll_interval, |_| {})
            .await
            .expect("the job ends");
    }
    begun.elapsed()
}

/// Runs a workflow; returns the time it took and the number of transactions that it
/// wrote.
async fn run_workflow(
    cluster: &Loopback,
    work: &Path,
    name: &str,
    text: &str,
    inputs: &Object,
) -> (Duration, u64) {
    let loaded = load(&SingleFile(text.into()), "w.cwl");
    assert!(loaded.valid, "{:?}", loaded.problems);
    let options = Options {
        name: name.into(),
        front: cluster.front,
        state: cluster.records,
        work: work.into(),
        allowed: Allowed {
            job: job("template"),
            classes: Vec::new(),
            retry: Retry::OnFailure(0),
        },
        at_once: 400,
        cache: None,
        by: "bench".into(),
    };
    let begun = Instant::now();
    let mut writes = 0;
    let on_news = |news| {
        if let News::Written(n) = news {
            writes = n;
        }
    };
    let process = loaded.process.expect("valid");
    run(process, inputs.clone(), options, on_news)
        .await
        .expect("the workflow runs");
    (begun.elapsed(), writes)
}

/// Peak resident memory of this process, in MB; 0 if it cannot be read.
fn peak_mb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmHWM"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}

async fn measure(width: usize, dir: PathBuf) {
    let script = Script::parse("steps.toml", SCRIPT).expect("valid");
    let options = Cluster {
        program: (
            env!("CARGO_BIN_EXE_pebblectl").into(),
            vec!["controller".into()],
        ),
        builds: BTreeMap::new(),
        dir: dir.join("up"),
        port: None,
        log_level: "error".into(),
    };
    let cluster = Loopback::start(script, 1, options)
        .await
        .expect("the cluster starts");
    let cluster = Rc::new(cluster);
    let stepping = Rc::clone(&cluster);
    tokio::task::spawn_local(async move {
        loop {
            stepping.step().await;
        }
    });
    let work = dir.join("work");
    let warm = format!(
        "{HEAD}inputs: {{x: int}}\noutputs: []\nsteps: {{a: {{in: {{n: x}}, out: [m], run: {TOOL}}}}}\n"
    );
    let one = json!({"x": 1}).as_object().cloned().unwrap_or_default();
    run_workflow(&cluster, &work, "warm", &warm, &one).await;

    let manual_time = run_manual_jobs(cluster.front, &work).await;
    let mut chain = format!("{HEAD}inputs: {{x: int}}\noutputs: []\nsteps:\n");
    for i in 0..CHAIN_LENGTH {
        let from = match i {
            0 => "x".into(),
            i => format!("s{}/m", i - 1),
        };
        chain.push_str(&format!(
            "  s{i}: {{in: {{n: {from}}}, out: [m], run: {TOOL}}}\n"
        ));
    }
    let (chain_time, writes) = run_workflow(&cluster, &work, "long", &chain, &one).await;
    let each = |d: Duration| d.as_secs_f64() * 1000.0 / CHAIN_LENGTH as f64;
    println!(
        "{CHAIN_LENGTH} jobs by hand, one after the other: {:.0} ms each",
        each(manual_time)
    );
    println!(
        "a chain of {CHAIN_LENGTH} steps: {:.0} ms each ({:.2} of a job by hand), {:.2} transactions a step",
        each(chain_time),
        each(chain_time) / each(manual_time),
        writes as f64 / CHAIN_LENGTH as f64
    );
    let wide = format!(
        "{HEAD}inputs: {{l: \"int[]\"}}\noutputs: {{r: {{type: \"int[]\", outputSource: a/m}}}}\nsteps: {{a: {{scatter: n, in: {{n: l}}, out: [m], run: {TOOL}}}}}\n"
    );
    let list: Vec<usize> = (0..width).collect();
    let list = json!({"l": list}).as_object().cloned().unwrap_or_default();
    let before = peak_mb();
    let (took, writes) = run_workflow(&cluster, &work, "wide", &wide, &list).await;
    println!(
        "a scatter of {width}, 400 at once: {:.1} s, {:.0} steps a second, {writes} transactions, {:.1} a second; peak memory of runner and stand-ins together {} MB (before: {before} MB)",
        took.as_secs_f64(),
        width as f64 / took.as_secs_f64(),
        writes as f64 / took.as_secs_f64(),
        peak_mb()
    );
    let (took, writes) = run_workflow(&cluster, &work, "wide", &wide, &list).await;
    println!(
        "the same again from its {width} records: {:.2} s, {writes} transactions",
        took.as_secs_f64()
    );
    cluster.stop().await;
}

fn main() {
    let width = std::env::args()
        .find_map(|a| a.parse().ok())
        .unwrap_or(10_000);
    let dir = std::env::temp_dir().join(format!("pebblectl-steps-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, measure(width, dir.clone()));
    let _ = std::fs::remove_dir_all(dir);
}
