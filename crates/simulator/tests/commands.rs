//! Commands as local processes: one start for what may run once, results that are
//! kept, groups that are ended whole.

use pebblefold_simulator::commands::{Commands, Place};
use pebblefold_wire::command::{
    CommandSpec, EXIT_FILE, ExitRecord, REFUSED_FILE, RestartPolicy, StagedFile,
    WORKING_DIR_PLACEHOLDER,
};
use std::path::{Path, PathBuf};
use std::time::Duration;

fn place(machine: &str, attempt: u64) -> Place {
    let (machine, job) = (machine.into(), "wk-1".into());
    Place {
        machine,
        job,
        attempt,
    }
}

fn described(name: &str, script: &str, again: RestartPolicy) -> (Commands, PathBuf) {
    let dir =
        std::env::temp_dir().join(format!("pebblefold-commands-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    let mut c = Commands::default();
    let argv = ["sh", "-c", script].map(String::from).to_vec();
    let env = [("PATH".to_string(), "/usr/bin:/bin".to_string())].into();
    let d = CommandSpec {
        argv,
        dir: dir.display().to_string(),
        stdout: Some("out".into()),
        restart_policy: again,
        env,
        ..CommandSpec::default()
    };
    c.describe("wk-1".into(), d);
    (c, dir)
}

fn until_ended(c: &mut Commands, should: &[Place]) -> bool {
    (0..500).any(|_| {
        std::thread::sleep(Duration::from_millis(10));
        !c.step(should).is_empty()
    })
}

fn mark(dir: &Path) -> ExitRecord {
    serde_json::from_slice(&std::fs::read(dir.join(EXIT_FILE)).unwrap()).unwrap()
}

#[test]
fn a_command_runs_once_and_its_result_is_kept() {
    let (mut c, dir) = described(
        "once",
        "echo $$ >> ../log; echo said; exit 5",
        RestartPolicy::Allowed,
    );
    assert!(until_ended(&mut c, &[place("host-1", 1)]));
    // Another machine, told to start it later, finds the result.
    assert!(until_ended(&mut c, &[place("host-2", 2)]));
    let m = mark(&dir);
    assert_eq!((m.code, m.machine.as_str()), (5, "host-1"));
    assert_eq!(
        std::fs::read_to_string(Path::new(&m.dir).join("out")).unwrap(),
        "said\n"
    );
    assert_eq!(
        std::fs::read_to_string(dir.join("log"))
            .unwrap()
            .lines()
            .count(),
        1
    );
    std::fs::remove_dir_all(&dir).unwrap();
}

// The machine is lost while the command runs; another is handed the job.
#[test]
fn what_may_never_run_again_is_refused_the_second_time() {
    for (again, runs) in [(RestartPolicy::Never, 1), (RestartPolicy::Allowed, 2)] {
        let (mut c, dir) = described(
            &format!("lost-{runs}"),
            "echo run >> ../log; sleep 0.3",
            again,
        );
        let runs_now = |dir: &Path| {
            std::fs::read_to_string(dir.join("log"))
                .unwrap_or_default()
                .lines()
                .count()
        };
        c.step(&[place("host-1", 1)]);
        while runs_now(&dir) < 1 {
            std::thread::sleep(Duration::from_millis(5));
        }
        c.step(&[]);
        let ended = until_ended(&mut c, &[place("host-2", 2)]);
        assert_eq!(
            (ended, runs_now(&dir)),
            (again == RestartPolicy::Allowed, runs)
        );
        assert_eq!(
            dir.join(REFUSED_FILE).exists(),
            again == RestartPolicy::Never
        );
        std::fs::remove_dir_all(&dir).unwrap();
        c.stop();
    }
}

#[test]
fn a_command_that_is_not_there_ends_as_in_a_shell_and_groups_end_whole() {
    let (mut c, dir) = described("none", "", RestartPolicy::Allowed);
    let d = CommandSpec {
        argv: vec!["no-such-program-here".into()],
        dir: dir.display().to_string(),
        ..CommandSpec::default()
    };
    c.describe("wk-1".into(), d);
    assert!(until_ended(&mut c, &[place("host-1", 1)]));
    let m = mark(&dir);
    assert_eq!(m.code, 127);
    assert!(
        m.not_started.is_some(),
        "that it never ran is certain: {m:?}"
    );
    std::fs::remove_dir_all(&dir).unwrap();
    // A child that it leaves behind is ended with it.
    let (mut c, dir) = described(
        "group",
        "(sleep 1; echo late > ../late) & exit 0",
        RestartPolicy::Allowed,
    );
    assert!(until_ended(&mut c, &[place("host-1", 1)]));
    std::thread::sleep(Duration::from_millis(1300));
    assert!(!dir.join("late").exists());
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn a_directory_is_laid_out_and_known_by_its_name() {
    let (mut c, dir) = described("laid", "", RestartPolicy::Allowed);
    let given = dir.join("given");
    std::fs::create_dir_all(given.join("deep")).unwrap();
    std::fs::write(given.join("deep/f"), "theirs").unwrap();
    let from = given.display().to_string();
    let d = CommandSpec {
        argv: [
            "sh",
            "-c",
            "echo ours > copy/deep/f; cat conf/run.ini; test -d empty; pwd",
        ]
        .map(String::from)
        .to_vec(),
        dir: dir.display().to_string(),
        stdout: Some("sub/out".into()),
        env: [("PATH".to_string(), "/usr/bin:/bin".to_string())].into(),
        staged_files: vec![
            StagedFile::Link {
                from: from.clone(),
                to: "link".into(),
            },
            StagedFile::Copy {
                from,
                to: "copy".into(),
            },
            StagedFile::Text {
                to: "conf/run.ini".into(),
                text: format!("{WORKING_DIR_PLACEHOLDER}/x\n"),
            },
            StagedFile::Directory { to: "empty".into() },
        ],
        ..CommandSpec::default()
    };
    c.describe("wk-1".into(), d.clone());
    assert!(until_ended(&mut c, &[place("host-1", 1)]));
    let m = mark(&dir);
    let said = std::fs::read_to_string(Path::new(&m.dir).join("sub/out")).unwrap();
    assert_eq!((m.code, said), (0, format!("{0}/x\n{0}\n", m.dir)));
    let read = |p: &Path| std::fs::read_to_string(p).unwrap();
    assert_eq!(read(&given.join("deep/f")), "theirs");
    assert_eq!(read(&Path::new(&m.dir).join("copy/deep/f")), "ours\n");
    assert_eq!(read(&Path::new(&m.dir).join("link/deep/f")), "theirs");
    std::fs::remove_dir_all(&dir).unwrap();
    // What leads out is not laid out, and nothing runs.
    let (mut c, dir) = described("out", "", RestartPolicy::Allowed);
    let put = vec![StagedFile::Text {
        to: "../x".into(),
        text: String::new(),
    }];
    let place_of = dir.display().to_string();
    c.describe(
        "wk-1".into(),
        CommandSpec {
            staged_files: put,
            dir: place_of,
            ..d
        },
    );
    assert!(until_ended(&mut c, &[place("host-1", 1)]));
    let why = mark(&dir).not_started.unwrap();
    assert!(why.contains("leads out"), "{why}");
    assert!(!dir.join("x").exists());
    std::fs::remove_dir_all(&dir).unwrap();
}

// The same attempt begun again, after the cluster was started anew, must not meet
// what the first one left: a link that stands already was told as "not started".
#[test]
fn an_attempt_that_is_begun_again_has_a_directory_of_its_own() {
    let (mut c, dir) = described("anew", "", RestartPolicy::Allowed);
    let d = CommandSpec {
        argv: ["sh", "-c", "echo run >> ../log; sleep 0.2"]
            .map(String::from)
            .to_vec(),
        dir: dir.display().to_string(),
        env: [("PATH".to_string(), "/usr/bin:/bin".to_string())].into(),
        staged_files: vec![StagedFile::Link {
            from: "/".into(),
            to: "root".into(),
        }],
        ..CommandSpec::default()
    };
    c.describe("wk-1".into(), d.clone());
    c.step(&[place("host-1", 1)]);
    c.stop();
    let mut anew = Commands::default();
    anew.describe("wk-1".into(), d);
    assert!(until_ended(&mut anew, &[place("host-1", 1)]));
    let m = mark(&dir);
    assert_eq!((m.code, m.not_started), (0, None));
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn what_takes_too_long_is_ended_and_says_so() {
    let (mut c, dir) = described("long", "", RestartPolicy::Allowed);
    let d = CommandSpec {
        argv: ["sleep", "60"].map(String::from).to_vec(),
        dir: dir.display().to_string(),
        env: [("PATH".to_string(), "/usr/bin:/bin".to_string())].into(),
        time_limit_s: Some(0.05),
        ..CommandSpec::default()
    };
    c.describe("wk-1".into(), d);
    assert!(until_ended(&mut c, &[place("host-1", 1)]));
    let m = mark(&dir);
    assert!(
        m.timed_out && m.code == 128 + 9 && m.ended_at_ms >= m.started_at_ms,
        "{m:?}"
    );
    std::fs::remove_dir_all(&dir).unwrap();
}
