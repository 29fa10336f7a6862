//! The cases. Each returns what broke the rule, or nothing if the rule held. The cases 4 to 7
//! are `gang`, `never`, `mistakes` and `drained`; `burst`, `halt`, `once` and `hang` are plays
//! that `review/REPORT-2.md` names and that are no cases.

use crate::cluster::{
    Cluster, Paths, SIGCONT, SIGSTOP, SIGTERM, guard, job, kill_named, signal, with,
};
use crate::http::ask;
use crate::pack::{V, map};
use crate::record::Record;
use crate::worker::Tasks;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

type Verdict = Result<Option<String>, String>;

pub fn play(case: &str, trouble: bool, record: &Record) -> Verdict {
    match case {
        "gang" => gang(trouble, record),
        "halt" => halt(trouble, record),
        "burst" => burst(trouble, record),
        "hang" => hang(trouble, record),
        "once" => once(trouble, record),
        "mistakes" => mistakes(trouble, record),
        "drained" => drained(trouble, record),
        "never" => never(trouble, record),
        _ => Err(format!("there is no case {case}")),
    }
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn exists_within(path: &Path, limit: Duration) -> bool {
    let begun = Instant::now();
    while !path.exists() {
        if begun.elapsed() > limit {
            return false;
        }
        std::thread::sleep(seconds(0.05));
    }
    true
}

/// A gang of two; one machine is taken without notice while both tasks run.
fn gang(trouble: bool, record: &Record) -> Verdict {
    const RUN_S: f64 = 20.0;
    let cluster = Cluster::start("gang", record)?;
    cluster.cloud.up("poa-central", true)?;
    cluster.cloud.up("poa-central", true)?;
    let shared = cluster.paths.dir.clone();
    let gang = with(
        job("wk-000401"),
        &[
            ("lane", "score-urgent".into()),
            ("crew", "landlord-desk".into()),
            ("shape", "ensemble".into()),
            ("urgency", "urgent".into()),
            ("pieces", 2.into()),
            ("vcpus", 28.0.into()),
            ("accelerators", 4.0.into()),
            ("memory_gb", 150.0.into()),
            ("same_place", true.into()),
            ("guess_s", RUN_S.into()),
            ("snapshot_every_s", 30.0.into()),
            ("snapshot_s", 6.0.into()),
        ],
    );
    let command = format!(
        "echo \"$PWD\" > \"$SHARED/began.$PEBBLEFOLD_INDEX.$PEBBLEFOLD_TRY\"; \
         sleep {RUN_S}; echo \"score of part $PEBBLEFOLD_INDEX\" > \"$PEBBLEFOLD_OUT/score\"; \
         echo ended > \"$SHARED/ended.$PEBBLEFOLD_INDEX.$PEBBLEFOLD_TRY\""
    );
    let id = cluster.submit(&gang, &command, &[("SHARED", shared.display().to_string())])?;
    for i in 0..2 {
        if !exists_within(&shared.join(format!("began.{i}.1")), seconds(30.0)) {
            return Err("the gang did not begin within 30 s".into());
        }
    }
    let began = Instant::now();
    record.line("both tasks run");
    if trouble {
        std::thread::sleep(seconds(RUN_S - 4.0).saturating_sub(began.elapsed()));
        let place = fs::read_to_string(shared.join("began.1.1")).unwrap_or_default();
        let name = place
            .split('/')
            .find(|p| p.starts_with("host-"))
            .unwrap_or("")
            .to_string();
        cluster.cloud.with(|c| c.gone(&name));
        record.line(&format!(
            "{name}, which runs task 1, is taken without notice, everything on it with it"
        ));
    }
    let result = |i: u32| {
        cluster
            .paths
            .store()
            .join(&id)
            .join(i.to_string())
            .join("result.json")
            .exists()
    };
    if !cluster.wait_for(&id, "done", seconds(60.0)) {
        record.line("the job was not called done within 60 s");
        return Ok(None);
    }
    let at_done = (result(0), result(1));
    record.line(&format!(
        "called done; results published: task 0 {}, task 1 {}",
        at_done.0, at_done.1
    ));
    std::thread::sleep(seconds(15.0));
    let later = (result(0), result(1));
    let ended = shared.join("ended.1.1").exists();
    record.line(&format!(
        "15 s later: task 0 {}, task 1 {}; the command of task 1 came to its end: {ended}",
        later.0, later.1
    ));
    cluster.record_machines();
    if later == (true, true) {
        return Ok(None);
    }
    Ok(Some(format!(
        "not_done: {id} is called done, and task 1 neither completed nor left a result"
    )))
}

/// A task that saves when it is stopped; its worker's agent was killed and started again
/// before urgent work needs the machine.
fn halt(trouble: bool, record: &Record) -> Verdict {
    let cluster = Cluster::start("halt", record)?;
    let host = cluster.cloud.up("poa-central", false)?;
    let shared = cluster.paths.dir.clone();
    let env = [("SHARED", shared.display().to_string())];
    let low = with(
        job("wk-000501"),
        &[
            ("vcpus", 28.0.into()),
            ("accelerators", 4.0.into()),
            ("memory_gb", 150.0.into()),
            ("guess_s", 25.0.into()),
            ("snapshot_every_s", 30.0.into()),
            ("snapshot_s", 2.0.into()),
        ],
    );
    // Counts to 250 in steps of 0.1 s. Saves when it is told to stop, as docs/operations/agent.md
    // tells those who write tasks.
    let command = "n=0; [ -n \"$PEBBLEFOLD_RESUME\" ] && n=$(cat \"$PEBBLEFOLD_RESUME/count\"); \
        echo \"try $PEBBLEFOLD_TRY begins at $n\" >> \"$SHARED/progress\"; \
        save() { echo \"try $PEBBLEFOLD_TRY is told to stop at $n\" >> \"$SHARED/progress\"; \
          mkdir -p \"$PEBBLEFOLD_SAVE\"; echo $n > \"$PEBBLEFOLD_SAVE/count\"; : > \"$PEBBLEFOLD_SAVE/whole\"; \
          mv \"$PEBBLEFOLD_SAVE\" \"$PEBBLEFOLD_SAVES/save-$PEBBLEFOLD_TRY\"; \
          echo \"try $PEBBLEFOLD_TRY has saved $n\" >> \"$SHARED/progress\"; exit 75; }; \
        trap save TERM; \
        while [ $n -lt 250 ]; do sleep 0.1; n=$((n+1)); echo $n > \"$SHARED/at\"; done; \
        echo \"try $PEBBLEFOLD_TRY completes\" >> \"$SHARED/progress\"";
    let id = cluster.submit(&low, command, &env)?;
    if !exists_within(&shared.join("progress"), seconds(30.0)) {
        return Err("the first job did not begin within 30 s".into());
    }
    std::thread::sleep(seconds(6.0));
    if trouble {
        cluster.cloud.with(|c| c.kill_agent(&host));
        std::thread::sleep(seconds(0.5));
        cluster.cloud.with(|c| c.start_agent(&host))?;
    }
    std::thread::sleep(seconds(6.0));
    cluster.record_machines();
    let urgent = with(
        job("wk-000502"),
        &[
            ("lane", "score-urgent".into()),
            ("crew", "landlord-desk".into()),
            ("shape", "ensemble".into()),
            ("urgency", "urgent".into()),
            ("vcpus", 28.0.into()),
            ("accelerators", 4.0.into()),
            ("memory_gb", 150.0.into()),
            ("guess_s", 3.0.into()),
        ],
    );
    let at = || {
        fs::read_to_string(shared.join("at"))
            .unwrap_or_default()
            .trim()
            .to_string()
    };
    record.line(&format!("{id} has counted to {}", at()));
    let second = cluster.submit(&urgent, "sleep 3", &env)?;
    if !cluster.wait_for(&second, "done", seconds(30.0)) {
        return Err("the urgent job was not done within 30 s".into());
    }
    if !cluster.wait_for(&id, "done", seconds(45.0)) {
        return Err("the stopped job was not done within 45 s more".into());
    }
    let progress = fs::read_to_string(shared.join("progress")).unwrap_or_default();
    for line in progress.lines() {
        record.line(&format!("{id}: {line}"));
    }
    let starts: Vec<&str> = progress
        .lines()
        .filter(|l| l.contains("begins at"))
        .collect();
    match starts.as_slice() {
        [_] => Err("the first job was never stopped".into()),
        [_, again, ..] if again.ends_with(" at 0") => Ok(Some(format!(
            "halt: {id} was told to stop with the time that it needs to save, and was ended unsaved: {again}"
        ))),
        _ => Ok(None),
    }
}

/// Jobs of many small tasks come 2.5 times as often.
fn burst(trouble: bool, record: &Record) -> Verdict {
    const TASKS: i32 = 400;
    const CPUS: f64 = 0.015;
    let cluster = Cluster::start("burst", record)?;
    let tasks = Tasks {
        cpus: CPUS,
        fetch: seconds(1.7),
        run: seconds(30.0),
    };
    let worker = cluster.cloud.up_with_worker("poa-central", tasks)?;
    let count = if trouble { 5 } else { 2 };
    let mut jobs = Vec::new();
    for i in 0..count {
        let small = with(
            job(&format!("wk-00100{i}")),
            &[
                ("pieces", TASKS.into()),
                ("vcpus", CPUS.into()),
                ("accelerators", 0.0.into()),
                ("memory_gb", 0.05.into()),
                ("guess_s", 30.0.into()),
            ],
        );
        jobs.push(cluster.submit(&small, "", &[])?);
    }
    let begun = Instant::now();
    let mut open = jobs.clone();
    while !open.is_empty() && begun.elapsed() < seconds(100.0) {
        open.retain(|id| {
            let done = cluster.stage(id).as_deref() == Some("done");
            if done {
                record.line(&format!("user: GET /submissions/{id} -> done"));
            }
            !done
        });
        std::thread::sleep(seconds(1.0));
    }
    let (done, killed, lapses) = worker.counts();
    record.line(&format!(
        "{} of {count} jobs done; worker: {done} tasks came to their end, {killed} were killed as the lease ended {lapses} times",
        jobs.len() - open.len()
    ));
    if lapses == 0 && open.is_empty() {
        return Ok(None);
    }
    if lapses == 0 {
        return Err("the jobs were not done, and no lease ended".into());
    }
    Ok(Some(format!(
        "accepted work is lost: {killed} tasks were killed on a machine that is up and sends its reports in time, {} of {count} jobs are not done after 100 s",
        open.len()
    )))
}

/// A machine hangs for longer than its lease, and goes on.
fn hang(trouble: bool, record: &Record) -> Verdict {
    const HANG_S: f64 = 40.0;
    let cluster = Cluster::start("hang", record)?;
    let shared = cluster.paths.dir.clone();
    let env = [("SHARED", shared.display().to_string())];
    for (id, zone) in [("wk-000910", "poa-central"), ("wk-000920", "caxias-room")] {
        cluster.cloud.up(zone, false)?;
        let desk = cluster.submit(&service(id, zone), "exec sleep 1000", &env)?;
        if !cluster.wait_for(&desk, "running", seconds(30.0)) {
            return Err("a service did not run within 30 s".into());
        }
    }
    let job = with(job("wk-000901"), &[("guess_s", 60.0.into())]);
    // Each step has an effect outside the machine: a line with the try and the time.
    let command = "n=0; while [ $n -lt 600 ]; do n=$((n+1)); \
        echo \"$(date +%s.%N) try $PEBBLEFOLD_TRY step $n\" >> \"$SHARED/steps\"; sleep 0.1; done";
    let id = cluster.submit(&job, command, &env)?;
    if !exists_within(&shared.join("steps"), seconds(30.0)) {
        return Err("the job did not begin within 30 s".into());
    }
    std::thread::sleep(seconds(4.0));
    let name = cluster.machines().into_iter().find(|name| {
        let report = cluster.inspect(name);
        let pieces = report.map_or(Vec::new(), |r| {
            r.get("pieces").map_or(&[][..], V::list).to_vec()
        });
        pieces
            .iter()
            .any(|p| p.get("piece").and_then(V::text) == Some("wk-000901/0"))
    });
    let name = name.ok_or("no machine runs the task")?;
    if trouble {
        let all = cluster.cloud.with(|c| c.processes(&name));
        // Those that watch over the task stop last and go on first.
        all.iter().rev().for_each(|p| signal(*p, SIGSTOP));
        record.line(&format!("{name} hangs: {} processes stopped", all.len()));
        std::thread::sleep(seconds(HANG_S));
        all.iter().for_each(|p| signal(*p, SIGCONT));
        record.line(&format!("{name} goes on after {HANG_S} s"));
    } else {
        std::thread::sleep(seconds(HANG_S));
    }
    std::thread::sleep(seconds(3.0));
    cluster.record_machines();
    let steps = fs::read_to_string(shared.join("steps")).unwrap_or_default();
    let mut last: Vec<(u64, &str)> = Vec::new();
    let mut stale = Vec::new();
    for line in steps.lines() {
        let number: u64 = line
            .split(' ')
            .nth(2)
            .and_then(|t| t.parse().ok())
            .unwrap_or(0);
        if last.last().is_some_and(|(t, _)| number < *t) {
            stale.push(line);
        }
        if last.last().is_none_or(|(t, _)| number > *t) {
            last.push((number, line));
        }
    }
    last.iter()
        .for_each(|(t, l)| record.line(&format!("{id}: try {t} begins: {l}")));
    stale
        .iter()
        .for_each(|l| record.line(&format!("{id}: after a later try had begun: {l}")));
    if trouble && last.len() < 2 {
        return Err("the task was not started again".into());
    }
    if stale.is_empty() {
        return Ok(None);
    }
    Ok(Some(format!(
        "ran_twice: {id} acted on {name}, {} times, after its lease was over and while its next try ran elsewhere",
        stale.len()
    )))
}

/// A service that takes part of its machine, and a job that may only run beside it.
fn service(id: &str, zone: &str) -> Vec<(&'static str, V)> {
    with(
        job(id),
        &[
            ("lane", "desk".into()),
            ("crew", "landlord-desk".into()),
            ("shape", "service".into()),
            ("urgency", "production".into()),
            ("yard", zone.into()),
            ("borrowed", false.into()),
            ("guess_s", 0.0.into()),
        ],
    )
}

/// A task fails once on the one machine that its job may use.
fn once(trouble: bool, record: &Record) -> Verdict {
    let cluster = Cluster::start("once", record)?;
    let host = cluster.cloud.up("caxias-room", false)?;
    cluster.cloud.up("poa-central", false)?;
    let shared = cluster.paths.dir.clone();
    let env = [("SHARED", shared.display().to_string())];
    let desk = cluster.submit(
        &service("wk-000601", "caxias-room"),
        "exec sleep 1000",
        &env,
    )?;
    if !cluster.wait_for(&desk, "running", seconds(30.0)) {
        return Err("the service did not run within 30 s".into());
    }
    let bound = with(job("wk-000602"), &[("yard", "caxias-room".into())]);
    let command = "echo \"try $PEBBLEFOLD_TRY begins\" >> \"$SHARED/tries\"; sleep 1; \
        [ -e \"$SHARED/failed\" ] || { : > \"$SHARED/failed\"; exit 1; }; echo read > \"$PEBBLEFOLD_OUT/read\"";
    if !trouble {
        fs::write(shared.join("failed"), "").map_err(|e| e.to_string())?;
    }
    let id = cluster.submit(&bound, command, &env)?;
    if cluster.wait_for(&id, "done", seconds(95.0)) {
        return Ok(None);
    }
    let tries = fs::read_to_string(shared.join("tries")).unwrap_or_default();
    tries
        .lines()
        .for_each(|l| record.line(&format!("{id}: {l}")));
    cluster.record_machines();
    if cluster.stage(&desk).as_deref() != Some("running") || cluster.inspect(&host).is_none() {
        return Err("the machine did not stay up".into());
    }
    Ok(Some(format!(
        "accepted work does not run: {id} failed once, and was not started again in 95 s though its machine has room"
    )))
}

/// Two jobs that were submitted with a mistake, and the work of others after them.
fn mistakes(trouble: bool, record: &Record) -> Verdict {
    let zones = &crate::cluster::ZONES[..3];
    let cluster = Cluster::start("mistakes", record)?;
    for zone in zones {
        cluster.cloud.up(zone, false)?;
    }
    let env: [(&str, String); 0] = [];
    let mut desks = Vec::new();
    for (i, zone) in zones.iter().enumerate() {
        let desk = service(&format!("wk-00070{i}"), zone);
        desks.push(cluster.submit(&desk, "exec sleep 1000", &env)?);
    }
    for desk in &desks {
        if !cluster.wait_for(desk, "running", seconds(30.0)) {
            return Err("a service did not run within 30 s".into());
        }
    }
    if trouble {
        let a = cluster.submit(&job("wk-000711"), "exit 1", &env)?;
        let b = cluster.submit(&job("wk-000712"), "exit 1", &env)?;
        std::thread::sleep(Duration::from_secs(10));
        cluster.cancel(&a)?;
        cluster.cancel(&b)?;
        record.line("the users of both have cancelled them");
    }
    let good = cluster.submit(
        &job("wk-000720"),
        "sleep 1; echo read > \"$PEBBLEFOLD_OUT/read\"",
        &env,
    )?;
    if cluster.wait_for(&good, "done", seconds(91.0)) {
        return Ok(None);
    }
    cluster.record_machines();
    Ok(Some(format!(
        "accepted work does not run: {good} was not started in 90 s though all three machines are up and have room"
    )))
}

/// Two machines with a service each, the first of which is being drained.
fn drained(trouble: bool, record: &Record) -> Verdict {
    let cluster = Cluster::start("drained", record)?;
    let first = cluster.cloud.up("poa-central", false)?;
    cluster.cloud.up("caxias-room", false)?;
    let env: [(&str, String); 0] = [];
    for (id, zone) in [("wk-000800", "poa-central"), ("wk-000810", "caxias-room")] {
        let desk = cluster.submit(&service(id, zone), "exec sleep 1000", &env)?;
        if !cluster.wait_for(&desk, "running", seconds(30.0)) {
            return Err("a service did not run within 30 s".into());
        }
    }
    if trouble {
        let dir = cluster.cloud.with(|c| c.machines[&first].dir.clone());
        fs::write(dir.join("agent/drain"), "").map_err(|e| e.to_string())?;
        record.line(&format!(
            "{first} is drained: what runs there goes on, new work is refused"
        ));
        std::thread::sleep(seconds(1.0));
    }
    let id = cluster.submit(
        &job("wk-000801"),
        "sleep 1; echo read > \"$PEBBLEFOLD_OUT/read\"",
        &env,
    )?;
    // Which tries the machines were told to start, as they tell themselves.
    let mut tries: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let begun = Instant::now();
    let mut next_poll = begun;
    let mut done = false;
    while !done && begun.elapsed() < seconds(91.0) {
        for name in cluster.machines() {
            let report = cluster.inspect(&name);
            for piece in report
                .iter()
                .flat_map(|r| r.get("pieces").map_or(&[][..], V::list))
            {
                let own = piece
                    .get("piece")
                    .and_then(V::text)
                    .is_some_and(|p| p.starts_with(&id));
                if own
                    && tries
                        .entry(name.clone())
                        .or_default()
                        .insert(piece.to_string())
                {
                    record.line(&format!("{name}: {piece}"));
                }
            }
        }
        if Instant::now() >= next_poll {
            next_poll = Instant::now() + seconds(1.0);
            done = cluster.stage(&id).as_deref() == Some("done");
        }
        std::thread::sleep(seconds(0.03));
    }
    let handed = tries.get(&first).map_or(0, BTreeSet::len);
    record.line(&format!(
        "user: GET /submissions/{id} -> {}",
        cluster.stage(&id).unwrap_or_default()
    ));
    record.line(&format!(
        "{first} was seen with {handed} states of starts of {id}"
    ));
    cluster.record_machines();
    if done {
        return Ok(None);
    }
    Ok(Some(format!(
        "accepted work does not run: {id} was handed to the machine that is drained, {handed} times as far as seen, and not run in 90 s"
    )))
}

/// The deployment `casa-segura`, in the form that `pebblectl up` reads.
const CASA_SEGURA: &str = r#"
name = "casa-segura"
length_s = 600
[cluster]
zones = ["poa-central", "caxias-room", "cloud-sul", "cloud-sudeste"]
controllers = ["poa-central", "caxias-room", "cloud-sul"]
workers = { report_s = 1.0, lease_s = 10, gang_wait_s = 30.0, gang_peer_s = 8.0, cancel_s = 40.0 }
state = { rps = 200.0, write_rps = 80.0 }
cloud = { rps = 6.0, list_lag_s = 4.0, never_up = 0.0, slow_boot = 0.0 }
kinds = [{ name = "pampa-node", cpus = 32, gpus = 4, memory_gb = 192, cache_gb = 80, fetch_gb_per_s = 0.6, price = 1074e-2, spot_price = 2.64, boot_s = 25 }]
machines = [
  { kind = "pampa-node", zone = "poa-central", capacity = 9, up = 3 },
  { kind = "pampa-node", zone = "caxias-room", capacity = 9, up = 2 },
  { kind = "pampa-node", zone = "cloud-sul", capacity = 8, up = 2 },
  { kind = "pampa-node", zone = "cloud-sudeste", capacity = 13, up = 3 },
]
teams = [
  { name = "scoring-crew", gpus = 64, gpus_max = 184 },
  { name = "landlord-desk", gpus = 64, gpus_max = 184 },
]
"#;

/// A workflow of two steps, begun at the same time: one fails, the other may not be run twice.
fn never(trouble: bool, record: &Record) -> Verdict {
    let paths = Paths::create("never")?;
    let verdict = never_in(&paths, trouble, record);
    kill_named(&paths.dir);
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&paths.dir);
    }
    verdict
}

/// The first of so many free ports in a row.
fn free_ports(count: u16) -> Result<u16, String> {
    let first = 20_000 + (std::process::id() % 300) as u16 * 37;
    (0..100)
        .map(|i| first + i * 11)
        .find(|base| {
            let all: Vec<_> = (*base..base + count)
                .map(|p| TcpListener::bind(("127.0.0.1", p)))
                .collect();
            all.iter().all(Result::is_ok)
        })
        .ok_or("no free ports".into())
}

fn never_in(paths: &Paths, trouble: bool, record: &Record) -> Verdict {
    let io = |e: std::io::Error| e.to_string();
    let port = free_ports(8)?;
    let at = |n: u16| format!("\"127.0.0.1:{}\"", port + n);
    let config = paths.dir.join("config.toml");
    let text = format!(
        "cluster = \"t\"\n[clusters.t]\napi = [{}]\ninternal = [{}, {}, {}]\nstate = {}\n",
        at(0),
        at(2),
        at(4),
        at(6),
        at(7)
    );
    fs::write(&config, text).map_err(io)?;
    let script = paths.dir.join("cluster.toml");
    fs::write(&script, CASA_SEGURA).map_err(io)?;
    let mut up = Command::new(paths.program("pebblectl"))
        .args(["up", "--port", &port.to_string(), "--dir"])
        .arg(paths.dir.join("up"))
        .arg("--script")
        .arg(&script)
        .current_dir(&paths.root)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(paths.log("up")?)
        .spawn()
        .map_err(io)?;
    guard(up.id(), &paths.dir);
    record.line(&format!(
        "pebblectl up: process {}, ports from {port}",
        up.id()
    ));
    let front = ([127, 0, 0, 1], port).into();
    let begun = Instant::now();
    while !ask(front, "GET", "/submissions/wk-000000", &[], seconds(2.0))
        .is_ok_and(|(s, _)| s == 404)
    {
        if begun.elapsed() > seconds(30.0) {
            return Err("the cluster does not answer after 30 s".into());
        }
        std::thread::sleep(seconds(0.2));
    }
    record.line("the cluster answers");
    let (log, gate) = (paths.dir.join("effects"), paths.dir.join("gate"));
    // `read` fails as long as the gate is not there. `send` may not be repeated.
    let text = format!(
        "cwlVersion: v1.2
class: Workflow
inputs: []
outputs:
  shown: {{type: File, outputSource: read/o}}
  sent: {{type: File, outputSource: send/o}}
steps:
  read:
    in: {{}}
    out: [o]
    run:
      class: CommandLineTool
      baseCommand: [sh, -c, 'echo read begins >> \"$0\"; sleep 3; test -e \"$1\" && echo 42', {log:?}, {gate:?}]
      inputs: []
      stdout: o.txt
      outputs: {{o: stdout}}
  send:
    in: {{}}
    out: [o]
    run:
      class: CommandLineTool
      hints: {{pebblefold:Job: {{retry: never}}}}
      baseCommand: [sh, -c, 'echo send begins >> \"$0\"; sleep 8; echo send ends >> \"$0\"; echo sent', {log:?}]
      inputs: []
      stdout: o.txt
      outputs: {{o: stdout}}
"
    );
    fs::write(paths.dir.join("bills.cwl"), text).map_err(io)?;
    if !trouble {
        fs::write(&gate, "").map_err(io)?;
    }
    let ctl = |verb: &[&str], file: Option<&Path>| -> Result<Output, String> {
        let mut c = Command::new(paths.program("pebblectl"));
        c.arg("--config")
            .arg(&config)
            .arg("workflow")
            .args(verb)
            .arg("--work")
            .arg(paths.dir.join("work"));
        c.args(["--user", "ana"])
            .args(file)
            .current_dir(&paths.root)
            .stdin(Stdio::null());
        let out = c.output().map_err(io)?;
        record.line(&format!(
            "pebblectl workflow {} -> exit {:?}",
            verb.join(" "),
            out.status.code()
        ));
        for line in String::from_utf8_lossy(&out.stderr).lines() {
            record.line(&format!("    {line}"));
        }
        Ok(out)
    };
    let template = paths.dir.join("job.json");
    let fields = with(
        job("template"),
        &[("size_gb", 0.5.into()), ("guess_s", 4.0.into())],
    );
    fs::write(&template, map(&fields).to_string()).map_err(io)?;
    let template = template.display().to_string();
    let first = ctl(
        &["run", "--name", "bills", "--job", &template],
        Some(&paths.dir.join("bills.cwl")),
    )?;
    if trouble == first.status.success() {
        return Err("the workflow did not end as it was meant to".into());
    }
    // What made `read` fail is mended, and the workflow is taken up again.
    fs::write(&gate, "").map_err(io)?;
    let again = ctl(&["resume", "bills", "--again"], None)?;
    let effects = fs::read_to_string(&log).unwrap_or_default();
    effects
        .lines()
        .for_each(|l| record.line(&format!("effect: {l}")));
    signal(up.id(), SIGTERM);
    let ended = Instant::now();
    while !matches!(up.try_wait(), Ok(Some(_))) && ended.elapsed() < Duration::from_secs(10) {
        std::thread::sleep(seconds(0.1));
    }
    let sent = effects.lines().filter(|l| *l == "send begins").count();
    match sent {
        0 => Err("the step that may not be repeated never began".into()),
        1 => Ok(None),
        n => Ok(Some(format!(
            "a step whose class forbids repeats was begun {n} times (the second command ended with {:?})",
            again.status.code()
        ))),
    }
}
