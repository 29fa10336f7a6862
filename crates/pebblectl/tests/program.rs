//! The program as users run it: real processes on loopback.

use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn pebblectl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pebblectl"))
        .args(arguments)
        .env_remove("PEBBLECTL_CLUSTER")
        .env_remove("PEBBLECTL_OUTPUT")
        .env("XDG_CONFIG_HOME", root().join("target/no-config"))
        .current_dir(root())
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A temporary directory, removed when dropped.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("pebblectl-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempDir(path)
    }
    fn path(&self, name: &str) -> String {
        self.0.join(name).display().to_string()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A copy of pebblectl in `dir`, without the other programs beside it. A process of its own writes
/// it: if this one did, a child that another test has forked, but that has not executed its program
/// yet, could still hold the copy open for writing, and the copy could not be executed.
fn copy_of_pebblectl(dir: &TempDir) -> PathBuf {
    let copy = dir.0.join("pebblectl");
    let source = env!("CARGO_BIN_EXE_pebblectl");
    let copied = Command::new("cp").arg(source).arg(&copy).status().unwrap();
    assert!(copied.success());
    copy
}

// A job runs to its end on real sockets; a second `up` resumes from the stored state,
// in which the same job is already done.
#[test]
fn up_runs_job_and_resumes_from_stored_state() {
    let dir = TempDir::new("up");
    let up = || {
        let o = pebblectl(&[
            "--output",
            "json",
            "up",
            "--port",
            "0",
            "--dir",
            &dir.path("up"),
            "--job",
            "deploy/job.json",
        ]);
        assert!(o.status.success(), "{}", text(&o.stderr));
        let answer: Value = serde_json::from_slice(&o.stdout).unwrap();
        assert_eq!(
            (&answer["ref"], &answer["stage"]),
            (&"wk-000001".into(), &"done".into())
        );
        text(&o.stderr)
    };
    assert!(up().contains("Running"));
    assert!(!up().contains("Running"), "the job ran a second time");
}

// Where `pebblefold` was not built, pebblectl itself serves as a controller. Such a
// controller once exited immediately: the first command in a fresh clone failed, and
// passed on every machine with `pebblefold` in the same directory.
#[test]
fn up_works_without_pebblefold_in_its_directory() {
    let dir = TempDir::new("alone");
    let o = Command::new(copy_of_pebblectl(&dir))
        .args(["--output", "json", "up", "--port", "0", "--dir"])
        .arg(dir.path("up"))
        .args(["--job", "deploy/job.json"])
        .current_dir(root())
        .output()
        .unwrap();
    assert!(o.status.success(), "{}", text(&o.stderr));
}

// `up` once waited without any message when its controllers exited immediately.
#[test]
fn up_reports_controllers_that_exit_by_themselves() {
    let dir = TempDir::new("ends");
    std::os::unix::fs::symlink("/bin/false", dir.0.join("pebblefold")).unwrap();
    let o = Command::new(copy_of_pebblectl(&dir))
        .args(["up", "--port", "0", "--dir"])
        .arg(dir.path("up"))
        .output()
        .unwrap();
    assert_eq!(o.status.code(), Some(3));
    let stderr = text(&o.stderr);
    // Which controller is first seen to have exited depends on timing.
    let is_reported = |n: u32| {
        let (ended, log) = (
            format!("controller {n} ended by itself"),
            format!("node-{n}.log"),
        );
        stderr.contains(&ended) && stderr.contains(&log)
    };
    assert!((0..3).any(is_reported), "{stderr}");
}

#[test]
fn errors_name_their_cause_and_set_exit_status() {
    let dir = TempDir::new("wrong");
    let cluster = dir.path("clusters.toml");
    std::fs::write(&cluster, "cluster = \"none\"\nouput = \"json\"\n").unwrap();
    let o = pebblectl(&["--config", &cluster, "status", "wk-1"]);
    assert_eq!(o.status.code(), Some(2));
    assert!(
        text(&o.stderr).contains("line 2") && text(&o.stderr).contains("ouput"),
        "{}",
        text(&o.stderr)
    );
    std::fs::write(
        &cluster,
        "cluster = \"none\"\n[clusters.none]\napi = [\"127.0.0.1:1\"]\n",
    )
    .unwrap();
    let o = pebblectl(&["--config", &cluster, "status", "wk-1"]);
    assert_eq!(o.status.code(), Some(4), "{}", text(&o.stderr));
    let shown = pebblectl(&["--config", &cluster, "--output", "json", "config", "show"]);
    let shown: Vec<Value> = serde_json::from_slice(&shown.stdout).unwrap();
    let of = |name: &str| shown.iter().find(|v| v["name"] == name).unwrap()["from"].clone();
    assert_eq!(
        (of("cluster"), of("output")),
        (Value::from(cluster.as_str()), "--output".into())
    );
    let broken = dir.path("script.toml");
    std::fs::write(&broken, "name = \"x\"\nlength = 1\n").unwrap();
    let o = pebblectl(&["rehearse", &broken]);
    assert_eq!(o.status.code(), Some(2));
    assert!(text(&o.stderr).contains("line 2"), "{}", text(&o.stderr));
}

// `--seeds 0` once passed without running anything, port numbers once wrapped around,
// and a job with a missing field was refused by a controller without naming the field.
#[test]
fn invalid_input_is_refused_before_any_work() {
    let dir = TempDir::new("meant");
    let job = dir.path("job.json");
    std::fs::write(&job, "{\"ref\": \"wk-000001\"}").unwrap();
    let up = dir.path("up");
    let night = "rehearsals/billing-night.toml";
    let cases: [(&[&str], u8, &str); 4] = [
        (
            &["rehearse", "--simulated", "--seeds", "0", night],
            2,
            "0 is not in 1..",
        ),
        (
            &["up", "--port", "65530", "--dir", &up],
            2,
            "8 ports in a row",
        ),
        (&["submit", &job], 2, "missing field `lane`"),
        (
            &["up", "--job", &job, "--dir", &up],
            2,
            "missing field `lane`",
        ),
    ];
    for (arguments, status, expected) in cases {
        let o = pebblectl(arguments);
        let stderr = text(&o.stderr);
        assert_eq!(
            o.status.code(),
            Some(i32::from(status)),
            "{arguments:?}: {stderr}"
        );
        assert!(stderr.contains(expected), "{arguments:?}: {stderr}");
    }
}

// A rehearsal with real controllers, of which one is killed and one is paused for a
// while, passes; its HTML page has plots and loads nothing from elsewhere.
#[test]
fn short_rehearsal_on_loopback_passes_with_report() {
    let dir = TempDir::new("rehearse");
    let night = std::fs::read_to_string(root().join("rehearsals/billing-night.toml")).unwrap();
    let head = &night[..night.find("[[jobs]]").unwrap()];
    let short = format!(
        "{}\n[[jobs]]\nclass = \"bill-read\"\nteam = \"billing\"\npriority = \"high\"\nshape = \"gang\"\ncount = 4\nover_s = 6\n\
         tasks = 2\ncpus = 28\ngpus = 4\nmemory_gb = 150\nimage_gb = 1\nrun_s = 3\none_zone = true\nspot = true\n\
         [[faults]]\nat_s = 5\nkind = \"kill\"\nnodes = \"leader\"\nfor_s = 2\n\
         [[faults]]\nat_s = 9\nkind = \"pause\"\nnodes = {{ number = 1 }}\nfor_s = 3\n\
         [[faults]]\nat_s = 6\nkind = \"state_killed\"\nfor_s = 1\n",
        head.replace("length_s = 420", "length_s = 90").replace("[cluster]", "[cluster]\nworkers = { report_s = 1.0, lease_s = 6.0, gang_wait_s = 20.0, gang_peer_s = 4.0, cancel_s = 12.0 }"),
    );
    let script = dir.path("short.toml");
    std::fs::write(&script, short).unwrap();
    let html = dir.path("report.html");
    let o = pebblectl(&[
        "--output",
        "json",
        "rehearse",
        &script,
        "--dir",
        &dir.path("kept"),
        "--html",
        &html,
    ]);
    assert!(o.status.success(), "{}{}", text(&o.stdout), text(&o.stderr));
    let verdicts: Value = serde_json::from_slice(&o.stdout).unwrap();
    let v = &verdicts[0];
    assert_eq!(
        (&v["passed"], &v["accepted"], &v["done"]),
        (&true.into(), &4.into(), &4.into()),
        "{v}"
    );
    assert_eq!(v["faults"].as_array().map(Vec::len), Some(3));
    let page = std::fs::read_to_string(html).unwrap();
    assert!(
        page.matches("<svg").count() == 4 && !page.contains("src="),
        "four plots, and nothing loaded from elsewhere"
    );
    assert!(Path::new(&dir.path("kept/node-0.log")).exists());
}

/// The shipped crash loop, cut down to its first `length_s` seconds: the faults before `until_s`,
/// and jobs in proportion.
fn short_crash_loop(length_s: i64, until_s: f64) -> String {
    let text = std::fs::read_to_string(root().join("rehearsals/crash-loop.toml")).unwrap();
    let mut script: toml::Table = text.parse().unwrap();
    script["length_s"] = length_s.into();
    for jobs in script["jobs"].as_array_mut().unwrap() {
        let count = jobs["count"].as_integer().unwrap();
        let over_s = jobs["over_s"].as_integer().unwrap();
        let share = until_s / over_s as f64;
        jobs["count"] = ((count as f64 * share).ceil() as i64).into();
        jobs["over_s"] = until_s.into();
    }
    let number = |v: &toml::Value| v.as_float().or(v.as_integer().map(|n| n as f64)).unwrap();
    let faults = script["faults"].as_array_mut().unwrap();
    faults.retain(|fault| {
        let at_s = fault.get("at_s");
        let after_s = fault.get("when").map(|when| &when["after_s"]);
        at_s.or(after_s).is_some_and(|time| number(time) < until_s)
    });
    script.to_string()
}

// Real controllers end again and again while a team is at its limit and machines vanish.
// Which jobs are over by the end depends on the machine; no rule may break on any.
#[test]
fn crash_loop_on_loopback_keeps_team_within_limit() {
    let dir = TempDir::new("crash-loop");
    let script = dir.path("crash-loop.toml");
    std::fs::write(&script, short_crash_loop(75, 45.0)).unwrap();
    let o = pebblectl(&["--output", "json", "rehearse", &script, "--seed", "8"]);
    let verdicts: Value = serde_json::from_slice(&o.stdout)
        .unwrap_or_else(|e| panic!("{e}: {}{}", text(&o.stdout), text(&o.stderr)));
    let verdict = &verdicts[0];
    let broken = verdict["broken"].as_array().unwrap().iter();
    let broken: Vec<&Value> = broken.filter(|b| b["rule"] != "unfinished").collect();
    assert!(broken.is_empty(), "{broken:?}");
    let models = &verdict["peak_usage"]["models"];
    let (used, limit) = (models["gpus"].as_f64(), models["gpus_max"].as_f64());
    assert!(used > Some(0.0) && used <= limit, "{models}");
    let faults = verdict["faults"].as_array().unwrap().iter();
    let kills = faults.filter(|fault| fault[1] == "kill").count();
    assert!(kills >= 3, "all controllers end several times: {verdict}");
}

#[test]
fn restore_refuses_invalid_snapshot_and_creates_no_store() {
    let dir = TempDir::new("state");
    let (bad, store) = (dir.path("bad"), dir.path("store"));
    std::fs::write(&bad, b"not a snapshot").unwrap();
    let o = pebblectl(&["state", "snapshot", "restore", &bad, "--dir", &store]);
    assert_eq!(o.status.code(), Some(2));
    assert!(
        text(&o.stderr).contains("nothing was restored"),
        "{}",
        text(&o.stderr)
    );
    assert!(!Path::new(&store).join("state.redb").exists());
}

#[test]
fn completions_and_man_pages_list_verbs_and_flags() {
    let dir = TempDir::new("man");
    let o = pebblectl(&["completions", "bash"]);
    assert!(text(&o.stdout).contains("rehearse"));
    assert!(pebblectl(&["man", &dir.path("man")]).status.success());
    let page = std::fs::read_to_string(dir.path("man/pebblectl-rehearse.1")).unwrap();
    assert!(page.contains("simulated"));
}
