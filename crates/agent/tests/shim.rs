//! One task's processes, for real: results that last, output that is bounded,
//! ends that are whole. Only processes that a test started are ended, by id.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pebblefold_agent::attempts::SAVED;
use pebblefold_agent::process::{Process, below, boot_id, end_all, marked};
use pebblefold_agent::shim::{
    BEGUN, Begun, EXIT, Exit, Lease, Limits, MARK, PLAN, Plan, STOP, Stop, read, steady_us,
    write_whole,
};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

struct Task {
    dir: PathBuf,
    shim: Child,
}

fn attempt(name: &str) -> String {
    format!("{name}-{}", std::process::id())
}

impl Task {
    fn start(name: &str, script: &str, limits: Limits) -> Task {
        Task::leased(name, script, limits, None)
    }

    fn leased(name: &str, script: &str, limits: Limits, lease: Option<Lease>) -> Task {
        let dir = std::env::temp_dir().join(format!("pebblefold-shim-{}", attempt(name)));
        let _ = std::fs::remove_dir_all(&dir);
        std::fs::create_dir_all(&dir).unwrap();
        let plan = Plan {
            attempt: attempt(name),
            argv: ["sh", "-c", script].map(String::from).to_vec(),
            env: [("PATH".to_string(), "/usr/bin:/bin".to_string())].into(),
            dir: dir.join("work"),
            limits,
            lease: lease.map(|l| {
                let file = dir.join("lease.json");
                write_whole(&file, &serde_json::to_vec(&l).unwrap()).unwrap();
                file
            }),
            epoch: 0,
        };
        write_whole(&dir.join(PLAN), &serde_json::to_vec(&plan).unwrap()).unwrap();
        Task {
            shim: shim(&dir),
            dir,
        }
    }

    fn stop(&self, grace_s: f64) {
        let stop = serde_json::to_vec(&Stop { grace_s }).unwrap();
        write_whole(&self.dir.join(STOP), &stop).unwrap();
    }

    /// Its end, when the shim is gone.
    fn end(&mut self) -> Exit {
        self.shim.wait().unwrap();
        read(&self.dir.join(EXIT)).unwrap()
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

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < Duration::from_secs(30), "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_result_is_written_once_and_a_second_shim_is_refused() {
    let mut t = Task::start(
        "once",
        "echo run >> log; echo said; exit 3",
        Limits::default(),
    );
    let exit = t.end();
    assert_eq!((exit.code, exit.gone, exit.stopped), (3, true, false));
    assert!(exit.ended_ms >= exit.began_ms);
    assert_eq!(
        std::fs::read_to_string(t.dir.join("out.0")).unwrap(),
        "said\n"
    );
    // The directory is taken for good.
    assert!(!shim(&t.dir).wait().unwrap().success());
    assert_eq!(t.file("log"), "run\n");
    let mut none = Task::start("none", "", Limits::default());
    assert_eq!(none.end().code, 0);
}

// Children that moved to a session of their own, or were left by their parent,
// are ended with it, and the result says that nothing is left.
#[test]
fn everything_that_a_task_forked_is_ended_with_it() {
    let script = "setsid sh -c 'trap \"\" TERM; echo $$ > a; while :; do sleep 1; done' & \
                  (setsid sleep 300 & echo $! > b) ; while test ! -s a; do sleep 0.01; done; exit 0";
    let mut t = Task::start("family", script, Limits::default());
    let exit = t.end();
    assert_eq!((exit.code, exit.gone), (0, true));
    for name in ["a", "b"] {
        let id: i32 = t.file(name).trim().parse().unwrap();
        assert!(Process::of(id).is_none_or(|p| !p.runs()), "{name} lives");
    }
    assert!(marked(MARK, &attempt("family")).is_empty());
}

#[test]
fn a_stop_lets_it_save_and_is_not_waited_for_longer() {
    let saves = format!(
        "trap 'echo saved > s; exit {SAVED}' TERM; echo > up; while :; do sleep 0.01; done"
    );
    let mut t = Task::start("saves", &saves, Limits::default());
    until("it is up", || !t.file("up").is_empty());
    t.stop(20.0);
    let exit = t.end();
    assert_eq!((exit.code, exit.stopped, exit.gone), (SAVED, true, true));
    assert_eq!(t.file("s"), "saved\n");
    // It ignores the signal and keeps forking; a second stop leaves no time.
    let ignores = "trap '' TERM; echo > up; while :; do sleep 0.01 & done";
    let mut t = Task::start("ignores", ignores, Limits::default());
    until("it is up", || !t.file("up").is_empty());
    t.stop(300.0);
    std::thread::sleep(Duration::from_millis(50));
    assert!(!t.dir.join(EXIT).exists());
    t.stop(0.0);
    let exit = t.end();
    assert_eq!((exit.code, exit.stopped, exit.gone), (128 + 9, true, true));
}

#[test]
fn output_files_and_time_are_bounded() {
    let limits = Limits {
        output: 40_000,
        file: Some(50_000),
        time_s: Some(1.0),
        ..Limits::default()
    };
    let mut t = Task::start("bounded", "head -c 90000 /dev/zero > big; yes", limits);
    let exit = t.end();
    assert!(exit.too_long && !exit.stopped && exit.gone, "{exit:?}");
    assert!(t.file("big").len() <= 50_000);
    let kept: u64 = std::fs::read_dir(&t.dir)
        .unwrap()
        .flatten()
        .filter(|e| e.file_name().to_string_lossy().starts_with("out."))
        .map(|e| e.metadata().unwrap().len())
        .sum();
    assert!(kept > 0 && kept <= 40_000, "{kept}");
}

// The shim itself is killed: its task is found by its mark, whoever its parent is
// now, and ended; there is no result that could be believed.
#[test]
fn what_a_killed_shim_leaves_is_found_and_ended() {
    let mut t = Task::start(
        "left",
        "echo > up; setsid sleep 300 & sleep 300",
        Limits::default(),
    );
    until("it is up", || !t.file("up").is_empty());
    let begun: Begun = read(&t.dir.join(BEGUN)).unwrap();
    assert!(begun.shim.runs());
    assert!(!below(begun.shim.id).is_empty());
    // The same id with another start is another process.
    let other = Process {
        start: begun.shim.start + 1,
        ..begun.shim
    };
    assert!(!other.runs());
    other.signal(Signal::SIGKILL).unwrap();
    assert!(begun.shim.runs());
    kill(Pid::from_raw(begun.shim.id), Signal::SIGKILL).unwrap();
    t.shim.wait().unwrap();
    let find = || marked(MARK, &attempt("left"));
    until("both are found", || find().len() >= 2);
    assert!(end_all(find, Duration::from_secs(10)).unwrap());
    assert!(find().is_empty() && !t.dir.join(EXIT).exists());
}

// The agent is gone for good, or stands still: its tasks must not outlive the
// lease, or the controllers start them elsewhere while they run here.
#[test]
fn a_task_ends_with_the_lease_whatever_became_of_the_agent() {
    let boot = boot_id().unwrap();
    let lease = |boot: &str, ms: u64| Lease {
        boot: boot.into(),
        epoch: 0,
        until_us: steady_us() + ms * 1000,
    };
    let script = "trap '' TERM; echo > up; while :; do sleep 0.01; done";
    let mut t = Task::leased(
        "lease",
        script,
        Limits::default(),
        Some(lease(&boot, 60_000)),
    );
    until("it is up", || !t.file("up").is_empty());
    assert!(!t.dir.join(EXIT).exists());
    // Nobody renews it.
    let over = serde_json::to_vec(&lease(&boot, 100)).unwrap();
    write_whole(&t.dir.join("lease.json"), &over).unwrap();
    let exit = t.end();
    assert!(exit.lease_over && exit.gone && !exit.too_long, "{exit:?}");
    // The next session's lease is none for it.
    let mut t = Task::leased(
        "next",
        script,
        Limits::default(),
        Some(lease(&boot, 60_000)),
    );
    until("it is up", || !t.file("up").is_empty());
    let next = Lease {
        epoch: 1,
        ..lease(&boot, 60_000)
    };
    write_whole(
        &t.dir.join("lease.json"),
        &serde_json::to_vec(&next).unwrap(),
    )
    .unwrap();
    assert!(t.end().lease_over);
    // A lease of another start of the machine is none.
    let mut t = Task::leased(
        "boot",
        script,
        Limits::default(),
        Some(lease("other", 60_000)),
    );
    assert!(t.end().lease_over);
}

// The agent may stand still between its decision and the shim's beginning.
#[test]
fn a_task_is_not_begun_once_the_lease_is_over() {
    let lease = Lease {
        boot: boot_id().unwrap(),
        epoch: 0,
        until_us: steady_us(),
    };
    let limits = Limits::default();
    let mut task = Task::leased("late", "echo ran > ran", limits, Some(lease));
    let exit = task.end();
    assert!(exit.lease_over && exit.gone, "{exit:?}");
    assert!(exit.not_started.is_some(), "{exit:?}");
    assert_eq!(task.file("ran"), "");
}
