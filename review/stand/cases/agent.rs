//! An agent is killed and started again within its lease; then its task is stopped for more
//! urgent work, with time to save.

use super::{LEASE_S, Needs, objective, pampa_node, settings, submission, team};
use crate::wire::{V, encode, map, t};
use crate::world::{
    Deployment, Job, Process, Record, Users, World, cloud, free_addr, lock, state_service,
};
use std::path::Path;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ZONE: [&str; 1] = ["poa-central"];
/// `snapshot_s` of the task; it takes 0.3 s.
const SAVE_S: f64 = 3.0;

/// What the tasks run. A second of progress a second; on SIGTERM the progress is saved as the
/// agent's page says, and the exit code is 75.
const TASK: &str = r#"
n=0; save=0
if [ -n "$PEBBLEFOLD_RESUME" ]; then n=$(cat "$PEBBLEFOLD_RESUME/progress"); save=$PEBBLEFOLD_RESUME_NUMBER; fi
echo "$PEBBLEFOLD_JOB try $PEBBLEFOLD_TRY begins at progress $n" >> LOG
saving() {
    echo "$PEBBLEFOLD_JOB try $PEBBLEFOLD_TRY is asked to stop at progress $n, saves" >> LOG
    sleep 0.3
    mkdir -p "$PEBBLEFOLD_SAVE" && echo $n > "$PEBBLEFOLD_SAVE/progress" && : > "$PEBBLEFOLD_SAVE/whole"
    mv "$PEBBLEFOLD_SAVE" "$PEBBLEFOLD_SAVES/save-$((save + 1))"
    echo "$PEBBLEFOLD_JOB try $PEBBLEFOLD_TRY has saved progress $n" >> LOG
    exit 75
}
trap saving TERM
while [ $n -lt END ]; do sleep 0.1; n=$((n + 1)); done
echo "$PEBBLEFOLD_JOB try $PEBBLEFOLD_TRY is complete at progress $n" >> LOG
"#;

pub fn run(record: &Arc<Record>, dir: &Path, trouble: bool) -> Option<bool> {
    let world = World::new(record, 1.0, LEASE_S, 30.0, 8.0);
    let (_state, state) = state_service(dir);
    let cloud = cloud(&world, pampa_node(&ZONE));
    let mut deployment = Deployment::new(dir.to_path_buf(), 3);
    let objectives = vec![
        objective("wait", "score-urgent", 18.0, 0.88),
        objective("guarantee", "", 20.0, 0.9),
    ];
    let limits = vec![
        ("rps", V::Num(200.0)),
        ("write_rps", V::Num(80.0)),
        ("value_kb", V::Num(8.0)),
        ("txn_ops", V::Int(48)),
    ];
    let teams = vec![
        team("scoring-crew", 64.0, 184.0),
        team("landlord-desk", 64.0, 184.0),
    ];
    // The agent's settings, as docs/operations/agent.md has them.
    let addr = free_addr();
    let controllers: String = deployment
        .nodes
        .iter()
        .map(|(l, a)| format!("  {{ label = \"{l}\", addr = \"{a}\" }},\n"))
        .collect();
    let at = |name: &str| dir.join(name).display().to_string();
    let toml = format!(
        "dir = \"{}\"\njobs = \"{}\"\nstore = \"{}\"\ncontrollers = [\n{controllers}]\n\
         times = {{ report_s = 1.0, lease_s = {LEASE_S:.1}, gang_wait_s = 30.0, gang_peer_s = 8.0 }}\n\
         [machine]\nid = \"host-000000\"\naddr = \"{addr}\"\nkind = \"pampa-node\"\nzone = \"poa-central\"\ncpus = 32\ngpus = 4\nmemory_gb = 192\n",
        at("agent"),
        at("jobs"),
        at("shared"),
    );
    std::fs::write(dir.join("agent.toml"), toml).ok()?;
    std::fs::create_dir_all(dir.join("jobs/jobs")).ok()?;
    std::fs::create_dir_all(dir.join("jobs/commands")).ok()?;
    let log = at("tasks.log");
    std::fs::write(&log, "").ok()?;
    let agent = |n: u32| {
        let log = dir.join(format!("agent-{n}.log"));
        Process::start(
            "target/release/pebblefold-agent",
            &["serve", &at("agent.toml")],
            &log,
            &[],
        )
    };
    // Users upload a job's description and its command, then submit it.
    let upload = |job: &V, end: u32| {
        let id = job.text("ref");
        let script = TASK.replace("LOG", &log).replace("END", &end.to_string());
        let argv = vec![t("/bin/sh"), t("-c"), t(script)];
        let env = V::Map(vec![("PATH".into(), t("/usr/local/bin:/usr/bin:/bin"))]);
        let command = map(vec![
            ("argv", V::List(argv)),
            ("dir", t(at("shared"))),
            ("env", env),
        ]);
        std::fs::write(dir.join("jobs/jobs").join(&id), encode(job)).ok()?;
        std::fs::write(dir.join("jobs/commands").join(&id), encode(&command)).ok()
    };
    lock(&world)
        .others
        .push(("host-000000".into(), addr, ZONE[0].into()));
    deployment.start(
        &ZONE,
        state,
        cloud,
        settings(&ZONE, teams, objectives, limits),
    );
    let mut running = agent(1);
    let users = Users {
        record: Arc::clone(record),
        nodes: deployment.nodes.clone(),
    };
    let said = || std::fs::read_to_string(&log).unwrap_or_default();
    let until = |text: &str, s: u64| {
        let begun = Instant::now();
        while !said().contains(text) && begun.elapsed() < Duration::from_secs(s) {
            sleep(Duration::from_millis(50));
        }
        let found = said().contains(text);
        record.say(format!(
            "{}: {text}",
            if found { "seen" } else { "not seen" }
        ));
        found
    };
    let whole: Needs = [28.0, 4.0, 150.0];
    let mut low = submission(
        "wk-000001",
        "fraud-backfill",
        "scoring-crew",
        "batch",
        "low",
        1,
        whole,
        ("img-a", 1.0),
        false,
        60.0,
    );
    if let V::Map(m) = &mut low {
        for (k, v) in m {
            match k.as_str() {
                "snapshot_every_s" => *v = V::Num(600.0),
                "snapshot_s" => *v = V::Num(SAVE_S),
                _ => {}
            }
        }
    }
    upload(&low, 200)?;
    if !users.submit(
        &world,
        &Job {
            spec: low,
            run_s: 0.0,
        },
    ) || !until("wk-000001 try 1 begins at progress 0", 20)
    {
        return None;
    }
    sleep(Duration::from_secs(5));
    if trouble {
        running.kill();
        record.say("the agent is killed; its task runs on");
        sleep(Duration::from_secs(1));
        running = agent(2);
        record.say("the agent is started again, within its lease");
    }
    sleep(Duration::from_secs(4));
    let urgent = submission(
        "wk-000002",
        "score-urgent",
        "landlord-desk",
        "batch",
        "urgent",
        1,
        whole,
        ("img-a", 1.0),
        false,
        1.0,
    );
    upload(&urgent, 10)?;
    if !users.submit(
        &world,
        &Job {
            spec: urgent,
            run_s: 0.0,
        },
    ) || !until("wk-000002 try 1 is complete", 25)
    {
        return None;
    }
    until("wk-000001 try 2 begins", 20);
    until("wk-000001 try 2 is complete", 40);
    users.poll("wk-000001");
    for line in said().lines() {
        record.say(format!("task: {line}"));
    }
    for line in deployment.log_lines(&["preempted", "presumed dead"]) {
        record.say(format!("log: {line}"));
    }
    let agent_log =
        |n: u32| std::fs::read_to_string(dir.join(format!("agent-{n}.log"))).unwrap_or_default();
    for line in agent_log(1).lines().chain(agent_log(2).lines()) {
        record.say(format!("agent: {line}"));
    }
    drop(running);
    // Stopped by command with enough time: the task has saved, and goes on from there.
    let begun_again = said().lines().any(|l| l.contains("wk-000001 try 2 begins"));
    let kept = said().contains("wk-000001 try 1 has saved progress");
    record.say(format!(
        "the task that was stopped with {SAVE_S} s to save has {}saved",
        if kept { "" } else { "not " }
    ));
    begun_again.then_some(kept)
}
