//! Commands as local processes: one start for what may run once, results that are
//! kept, groups that are ended whole.

use pebblefold_rehearsal::commands::{Commands, Place};
use pebblefold_wire::steps::{Again, Description, EXIT, Mark, REFUSED};
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

fn described(name: &str, script: &str, again: Again) -> (Commands, PathBuf) {
    let dir =
        std::env::temp_dir().join(format!("pebblefold-commands-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    let mut c = Commands::default();
    let argv = ["sh", "-c", script].map(String::from).to_vec();
    let env = [("PATH".to_string(), "/usr/bin:/bin".to_string())].into();
    let d = Description {
        argv,
        dir: dir.display().to_string(),
        stdout: Some("out".into()),
        again,
        env,
        ..Description::default()
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

fn mark(dir: &Path) -> Mark {
    serde_json::from_slice(&std::fs::read(dir.join(EXIT)).unwrap()).unwrap()
}

#[test]
fn a_command_runs_once_and_its_result_is_kept() {
    let (mut c, dir) = described("once", "echo $$ >> ../log; echo said; exit 5", Again::Yes);
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
    for (again, runs) in [(Again::Never, 1), (Again::Yes, 2)] {
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
        assert_eq!((ended, runs_now(&dir)), (again == Again::Yes, runs));
        assert_eq!(dir.join(REFUSED).exists(), again == Again::Never);
        std::fs::remove_dir_all(&dir).unwrap();
        c.stop();
    }
}

#[test]
fn a_command_that_is_not_there_ends_as_in_a_shell_and_groups_end_whole() {
    let (mut c, dir) = described("none", "", Again::Yes);
    let d = Description {
        argv: vec!["no-such-program-here".into()],
        dir: dir.display().to_string(),
        ..Description::default()
    };
    c.describe("wk-1".into(), d);
    assert!(until_ended(&mut c, &[place("host-1", 1)]));
    assert_eq!(mark(&dir).code, 127);
    std::fs::remove_dir_all(&dir).unwrap();
    // A child that it leaves behind is ended with it.
    let (mut c, dir) = described(
        "group",
        "(sleep 1; echo late > ../late) & exit 0",
        Again::Yes,
    );
    assert!(until_ended(&mut c, &[place("host-1", 1)]));
    std::thread::sleep(Duration::from_millis(1300));
    assert!(!dir.join("late").exists());
    std::fs::remove_dir_all(&dir).unwrap();
}
