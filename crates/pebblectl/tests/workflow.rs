//! Workflows on a cluster of real processes: steps append to a log of their own,
//! and the log alone tells what ran.

use serde_json::Value;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// So many ports in a row that nobody has.
fn free_ports(count: u16) -> u16 {
    for base in (20_000..30_000)
        .step_by(37)
        .skip(std::process::id() as usize % 200)
    {
        let all: Vec<_> = (base..base + count)
            .map(|p| TcpListener::bind(("127.0.0.1", p)))
            .collect();
        if all.iter().all(Result::is_ok) {
            return base;
        }
    }
    panic!("no free ports")
}

struct Cluster {
    up: Child,
    dir: PathBuf,
}

impl Cluster {
    fn start(name: &str) -> Cluster {
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
        let up = Command::new(env!("CARGO_BIN_EXE_pebblectl"))
            .args(["up", "--port", &port.to_string(), "--dir"])
            .arg(dir.join("up"))
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(dir.join("up.log")).unwrap())
            .spawn()
            .unwrap();
        Cluster { up, dir }
    }

    fn command(&self, name: &str, more: &[&str]) -> Command {
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

    fn log(&self) -> BTreeMap<String, usize> {
        let text = std::fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        let mut out = BTreeMap::new();
        for line in text.lines() {
            *out.entry(line.to_string()).or_default() += 1;
        }
        out
    }

    /// A workflow of a scatter whose steps sleep, then write their number down.
    fn sleepy(&self, items: usize) -> PathBuf {
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
        // Asked to end, it takes its controllers along.
        let id = self.up.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        let _ = self.up.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn outputs(o: &Output) -> Value {
    assert!(o.status.success(), "{}", text(&o.stderr));
    serde_json::from_slice(&o.stdout).unwrap()
}

fn once_each(items: usize) -> BTreeMap<String, usize> {
    (0..items).map(|i| (i.to_string(), 1)).collect()
}

#[test]
fn workflows_run_to_their_outputs_and_steps_run_once() {
    let cluster = Cluster::start("flows");
    // The first workflow of the users' page, as printed.
    let first = cluster
        .command(
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
    // Once more: nothing runs, the outputs are the same.
    let again = cluster
        .command(
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
        text(&again.stderr).contains("3 steps are over already")
            && !text(&again.stderr).contains("submitted"),
        "{}",
        text(&again.stderr)
    );
    // A slip in the inputs does not use a name up.
    let slip = cluster
        .command("slip", &["examples/workflow/readings.cwl"])
        .output()
        .unwrap();
    assert!(
        text(&slip.stderr).contains("input photos: null"),
        "{}",
        text(&slip.stderr)
    );
    let mended = cluster
        .command(
            "slip",
            &[
                "examples/workflow/readings.cwl",
                "examples/workflow/inputs.yml",
            ],
        )
        .output()
        .unwrap();
    assert_eq!(outputs(&mended)["total"], 126);
    // The name stands for this workflow alone.
    let sleepy = cluster.sleepy(12);
    let sleepy = sleepy.to_str().unwrap();
    let taken = cluster.command("first", &[sleepy]).output().unwrap();
    assert_eq!(taken.status.code(), Some(2), "{}", text(&taken.stderr));
    assert!(
        text(&taken.stderr).contains("is taken"),
        "{}",
        text(&taken.stderr)
    );

    // A runner killed at any moment, and begun again.
    for ms in [900, 1500, 1200] {
        let mut runner = cluster
            .command("killed", &[sleepy, "--at-once", "4"])
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
            .command("killed", &[sleepy, "--at-once", "4"])
            .output()
            .unwrap(),
    );
    assert_eq!(cluster.log(), once_each(12));

    // Two runners at once on one workflow.
    std::fs::remove_file(cluster.dir.join("log")).unwrap();
    let runners: Vec<Child> = (0..2)
        .map(|_| {
            cluster
                .command("two", &[sleepy, "--at-once", "6"])
                .stdout(Stdio::null())
                .stderr(Stdio::piped())
                .spawn()
                .unwrap()
        })
        .collect();
    for r in runners {
        let o = r.wait_with_output().unwrap();
        assert!(o.status.success(), "{}", text(&o.stderr));
    }
    assert_eq!(cluster.log(), once_each(12));

    // A step that fails ends it, with its word.
    let failing = cluster.dir.join("failing.cwl");
    std::fs::write(&failing, "cwlVersion: v1.2\nclass: Workflow\ninputs: []\noutputs: []\nsteps:\n  a: {in: {}, out: [], run: {class: CommandLineTool, baseCommand: [sh, -c, 'exit 3'], inputs: [], outputs: []}}\n").unwrap();
    let failed = cluster
        .command("failing", &[failing.to_str().unwrap()])
        .output()
        .unwrap();
    assert_eq!(failed.status.code(), Some(1));
    assert!(
        text(&failed.stderr).contains("a: exit code 3"),
        "{}",
        text(&failed.stderr)
    );
    // More than the workflow's own amounts is not to be had.
    let greedy = std::fs::read_to_string(&failing).unwrap().replace(
        "inputs: [], outputs: []}}",
        "requirements: {ResourceRequirement: {coresMin: 64}}, inputs: [], outputs: []}}",
    );
    std::fs::write(&failing, greedy).unwrap();
    let greedy = cluster
        .command("greedy", &[failing.to_str().unwrap()])
        .output()
        .unwrap();
    assert!(
        text(&greedy.stderr).contains("asks for 64 cores, its workflow's job has 4"),
        "{}",
        text(&greedy.stderr)
    );
    assert!(Path::new(&cluster.dir.join("up.log")).exists());
}
