//! Shims with real task processes: exits on disk, bounded output, and complete ends. Only
//! processes that a test started are killed, by id.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pebblefold_agent::attempts::CHECKPOINTED_EXIT_CODE;
use pebblefold_agent::process::{Process, boot_id, descendants, find_marked, kill_all};
use pebblefold_agent::shim::{
    EXIT_FILE, Exit, Lease, Limits, MARKER_VARIABLE, PLAN_FILE, Plan, SHIM_FILE, STOP_FILE,
    ShimInfo, StopRequest, boottime_us, read_json, write_atomically,
};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

struct Task {
    dir: PathBuf,
    shim: Child,
}

fn attempt_id(name: &str) -> String {
    format!("{name}-{}", std::process::id())
}

impl Task {
    fn start(name: &str, script: &str, limits: Limits) -> Task {
        Task::start_with_lease(name, script, limits, None)
    }

    fn start_with_lease(name: &str, script: &str, limits: Limits, lease: Option<Lease>) -> Task {
        let dir = std::env::temp_dir().join(format!("pebblefold-shim-{}", attempt_id(name)));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let plan = Plan {
            attempt: attempt_id(name),
            argv: ["sh", "-c", script].map(String::from).to_vec(),
            env: [("PATH".to_string(), "/usr/bin:/bin".to_string())].into(),
            dir: dir.join("work"),
            limits,
            lease: lease.map(|l| {
                let file = dir.join("lease.json");
                write_atomically(&file, &serde_json::to_vec(&l).unwrap()).unwrap();
                file
            }),
            epoch: 0,
        };
        write_atomically(&dir.join(PLAN_FILE), &serde_json::to_vec(&plan).unwrap()).unwrap();
        Task {
            shim: shim(&dir),
            dir,
        }
    }

    fn stop(&self, grace_s: f64) {
        let stop = serde_json::to_vec(&StopRequest { grace_s }).unwrap();
        write_atomically(&self.dir.join(STOP_FILE), &stop).unwrap();
    }

    /// The attempt's exit, once the shim has ended.
    fn end(&mut self) -> Exit {
        self.shim.wait().unwrap();
        read_json(&self.dir.join(EXIT_FILE)).unwrap()
    }

    fn file(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.join("work").join(name)).unwrap_or_default()
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn shim(dir: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_pebblefold-agent"))
        .arg("shim")
        .arg(dir)
        .spawn()
        .unwrap()
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "timed out waiting until {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn writes_exit_once_and_refuses_second_shim() {
    let mut task = Task::start(
        "once",
        "echo run >> log; echo said; exit 3",
        Limits::default(),
    );
    let exit = task.end();
    assert_eq!((exit.code, exit.gone, exit.stopped), (3, true, false));
    assert!(exit.ended_ms >= exit.began_ms);
    assert_eq!(
        std::fs::read_to_string(task.dir.join("out.0")).unwrap(),
        "said\n"
    );
    // The directory stays claimed for good.
    assert!(!shim(&task.dir).wait().unwrap().success());
    assert_eq!(task.file("log"), "run\n");
    let mut empty = Task::start("none", "", Limits::default());
    assert_eq!(empty.end().code, 0);
}

// Children in sessions of their own, or whose parent has ended, are killed with their task,
// and the exit says that nothing remains.
#[test]
fn kills_everything_a_task_forked() {
    let script = "setsid sh -c 'trap \"\" TERM; echo $$ > a; while :; do sleep 1; done' & \
                  (setsid sleep 300 & echo $! > b) ; while test ! -s a; do sleep 0.01; done; exit 0";
    let mut task = Task::start("family", script, Limits::default());
    let exit = task.end();
    assert_eq!((exit.code, exit.gone), (0, true));
    for name in ["a", "b"] {
        let id: i32 = task.file(name).trim().parse().unwrap();
        assert!(
            Process::of(id).is_none_or(|p| !p.is_running()),
            "{name} still runs"
        );
    }
    assert!(find_marked(MARKER_VARIABLE, &attempt_id("family")).is_empty());
}

#[test]
fn stop_allows_checkpoint_within_its_grace() {
    let checkpoints = format!(
        "trap 'echo saved > s; exit {CHECKPOINTED_EXIT_CODE}' TERM; echo > up; while :; do sleep 0.01; done"
    );
    let mut task = Task::start("saves", &checkpoints, Limits::default());
    wait_until("the task runs", || !task.file("up").is_empty());
    task.stop(20.0);
    let exit = task.end();
    assert_eq!(
        (exit.code, exit.stopped, exit.gone),
        (CHECKPOINTED_EXIT_CODE, true, true)
    );
    assert_eq!(task.file("s"), "saved\n");
    // The task ignores the signal and keeps forking; a second stop leaves no time.
    let ignores = "trap '' TERM; echo > up; while :; do sleep 0.01 & done";
    let mut task = Task::start("ignores", ignores, Limits::default());
    wait_until("the task runs", || !task.file("up").is_empty());
    task.stop(300.0);
    std::thread::sleep(Duration::from_millis(50));
    assert!(!task.dir.join(EXIT_FILE).exists());
    task.stop(0.0);
    let exit = task.end();
    assert_eq!((exit.code, exit.stopped, exit.gone), (128 + 9, true, true));
}

#[test]
fn bounds_output_files_and_run_time() {
    let limits = Limits {
        output: 40_000,
        file: Some(50_000),
        time_s: Some(1.0),
        ..Limits::default()
    };
    let mut task = Task::start("bounded", "head -c 90000 /dev/zero > big; yes", limits);
    let exit = task.end();
    assert!(exit.too_long && !exit.stopped && exit.gone, "{exit:?}");
    assert!(task.file("big").len() <= 50_000);
    let output_bytes: u64 = std::fs::read_dir(&task.dir)
        .unwrap()
        .flatten()
        .filter(|e| e.file_name().to_string_lossy().starts_with("out."))
        .map(|e| e.metadata().unwrap().len())
        .sum();
    assert!(output_bytes > 0 && output_bytes <= 40_000, "{output_bytes}");
}

// The shim itself is killed: its task is found by the marker, whatever its parent is now,
// and killed. There is no exit that could be relied on.
#[test]
fn finds_and_kills_tasks_of_killed_shim() {
    let mut task = Task::start(
        "left",
        "echo > up; setsid sleep 300 & sleep 300",
        Limits::default(),
    );
    wait_until("the task runs", || !task.file("up").is_empty());
    let shim_info: ShimInfo = read_json(&task.dir.join(SHIM_FILE)).unwrap();
    assert!(shim_info.shim.is_running());
    assert!(!descendants(shim_info.shim.id).is_empty());
    // The same id with another start time is another process.
    let other = Process {
        start: shim_info.shim.start + 1,
        ..shim_info.shim
    };
    assert!(!other.is_running());
    other.signal(Signal::SIGKILL).unwrap();
    assert!(shim_info.shim.is_running());
    kill(Pid::from_raw(shim_info.shim.id), Signal::SIGKILL).unwrap();
    task.shim.wait().unwrap();
    let find = || find_marked(MARKER_VARIABLE, &attempt_id("left"));
    wait_until("both processes are found", || find().len() >= 2);
    assert!(kill_all(find, Duration::from_secs(10)).unwrap());
    assert!(find().is_empty() && !task.dir.join(EXIT_FILE).exists());
}

// The agent is gone for good, or stopped: its tasks must not outlive the lease, or the
// controllers start them elsewhere while they run here.
#[test]
fn task_ends_with_lease_without_its_agent() {
    let boot = boot_id().unwrap();
    let lease = |boot: &str, ms: u64| Lease {
        boot: boot.into(),
        epoch: 0,
        until_us: boottime_us() + ms * 1000,
    };
    let script = "trap '' TERM; echo > up; while :; do sleep 0.01; done";
    let mut task = Task::start_with_lease(
        "lease",
        script,
        Limits::default(),
        Some(lease(&boot, 60_000)),
    );
    wait_until("the task runs", || !task.file("up").is_empty());
    assert!(!task.dir.join(EXIT_FILE).exists());
    // No agent renews the lease.
    let expiring = serde_json::to_vec(&lease(&boot, 100)).unwrap();
    write_atomically(&task.dir.join("lease.json"), &expiring).unwrap();
    let exit = task.end();
    assert!(exit.lease_over && exit.gone && !exit.too_long, "{exit:?}");
    // The lease of the next epoch doesn't cover the task.
    let mut task = Task::start_with_lease(
        "next",
        script,
        Limits::default(),
        Some(lease(&boot, 60_000)),
    );
    wait_until("the task runs", || !task.file("up").is_empty());
    let next = Lease {
        epoch: 1,
        ..lease(&boot, 60_000)
    };
    write_atomically(
        &task.dir.join("lease.json"),
        &serde_json::to_vec(&next).unwrap(),
    )
    .unwrap();
    assert!(task.end().lease_over);
    // A lease of another boot doesn't count.
    let mut task = Task::start_with_lease(
        "boot",
        script,
        Limits::default(),
        Some(lease("other", 60_000)),
    );
    assert!(task.end().lease_over);
}

// The agent may be stopped between its decision and the start of the shim.
#[test]
fn does_not_start_task_after_lease_expiry() {
    let lease = Lease {
        boot: boot_id().unwrap(),
        epoch: 0,
        until_us: boottime_us(),
    };
    let limits = Limits::default();
    let mut task = Task::start_with_lease("late", "echo ran > ran", limits, Some(lease));
    let exit = task.end();
    assert!(exit.lease_over && exit.gone, "{exit:?}");
    assert!(exit.not_started.is_some(), "{exit:?}");
    assert_eq!(task.file("ran"), "");
}
