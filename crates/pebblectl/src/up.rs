//! `pebblectl up`: a whole cluster on this machine, for trials. Controllers are
//! processes; the cloud, its machines and the key-value store run in this process.

use crate::args::Up;
use crate::ask;
use crate::output::{Failure, Printer};
use crate::rehearse::{controller_program, load};
use pebblefold_controller::cli::ServeError;
use pebblefold_simulator::checker::{Breach, Invariant};
use pebblefold_simulator::loopback::{Loopback, Options};
use pebblefold_simulator::script::Script;
use pebblefold_wire::types::TimeSpan;
use pebblefold_wire::users::{JobStatus, Submission};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

/// The cluster that starts without `--script`.
const DEFAULT_CLUSTER_SCRIPT: &str = include_str!("cluster.toml");
/// Time between two polls of the state of the job given with `--job`.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Deadline of the first job's submission: a cluster that has just started needs
/// some time until it accepts jobs.
const FIRST_SUBMISSION_DEADLINE: TimeSpan = TimeSpan::millis(30_000);

/// Runs one controller, as `up` and `rehearse` start it where the directory of this
/// program has no `pebblefold`.
pub fn controller(settings: &Path) -> Result<(), Failure> {
    pebblefold_controller::cli::serve(settings, None).map_err(|e| match e {
        ServeError::Input(_) => Failure::input(e),
        ServeError::Listen(_) => Failure::failed(e),
    })
}

/// Starts a cluster and keeps it running until Ctrl-C or a request to terminate, until
/// the job given with `--job` ends, or until a controller exits by itself.
pub async fn up(u: Up, printer: &Printer) -> Result<(), Failure> {
    let script = match &u.script {
        Some(file) => load(file)?,
        None => Script::parse("cluster.toml", DEFAULT_CLUSTER_SCRIPT)
            .map_err(|e| Failure::Failed(format!("the built-in cluster: {e:?}")))?,
    };
    let job = u.job.as_deref().map(ask::read_job).transpose()?;
    let seed = script.seed;
    let options = Options {
        program: controller_program()?,
        builds: BTreeMap::new(),
        dir: u.dir.clone(),
        port: (u.port > 0).then_some(u.port),
        log_level: std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()),
    };
    let cluster = Loopback::start(script, seed, options).await?;
    let layout = cluster.layout();
    eprintln!(
        "users:       {}   (pebblectl submit JOB.json)",
        cluster.front
    );
    eprintln!(
        "controllers: {}   (internal: {})",
        layout.api.join(" "),
        layout.internal.join(" ")
    );
    eprintln!(
        "records:     {}   (pebblectl workflow run)",
        cluster.records
    );
    eprintln!(
        "state, logs: {}   (up again resumes from this directory; Ctrl-C stops the cluster)",
        u.dir.display()
    );
    let serve_cluster = async {
        let mut last_printed = (0, 0, usize::MAX);
        loop {
            cluster.step().await;
            // A cluster whose controllers exit is stopped; the reason is printed below,
            // with the other broken rules.
            let controller_exited = |b: &Breach| b.rule == Invariant::Protocol;
            if cluster.with(|s| s.checker().breaches().iter().any(controller_exited)) {
                return;
            }
            let counts = cluster.with(|s| {
                let (accepted, done, cancelled, _) = s.checker().counts();
                (accepted, done + cancelled, s.fleet().workers().len())
            });
            if counts != last_printed && u.job.is_none() {
                eprintln!(
                    "{:>8.1} s  {} jobs accepted, {} over, {} machines",
                    cluster.elapsed(),
                    counts.0,
                    counts.1,
                    counts.2
                );
                last_printed = counts;
            }
        }
    };
    let front = cluster.front;
    let job_result = async {
        match &job {
            Some(job) => submit_and_wait(front, job).await.map(Some),
            None => std::future::pending().await,
        }
    };
    let answer = tokio::select! {
        () = serve_cluster => None,
        () = stop_requested() => None,
        a = job_result => Some(a),
    };
    cluster.stop().await;
    let broken: Vec<String> = cluster.with(|s| {
        let breaches = s.checker().breaches().iter();
        // Unfinished jobs are no fault here: the next `up` resumes them.
        breaches
            .filter(|b| b.rule != Invariant::Unfinished)
            .map(|b| format!("rule broken: {} {}: {}", b.rule, b.job, b.what))
            .collect()
    });
    if !broken.is_empty() {
        return Err(Failure::Rule(broken.join("\n")));
    }
    match answer {
        Some(Ok(Some(a))) => printer.print_job(&a),
        Some(Err(e)) => Err(e),
        Some(Ok(None)) | None => Ok(()),
    }
}

/// Waits for Ctrl-C or SIGTERM: the controllers must not outlive this process.
async fn stop_requested() {
    use tokio::signal::unix::{SignalKind, signal};
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => tokio::select! {
            _ = tokio::signal::ctrl_c() => {}
            _ = terminate.recv() => {}
        },
        Err(_) => {
            let _ = tokio::signal::ctrl_c().await;
        }
    }
}

/// Submits a job, waits until it ends, and prints each change of its stage.
async fn submit_and_wait(front: SocketAddrV4, job: &Submission) -> Result<JobStatus, Failure> {
    let client = ask::client(vec![front], FIRST_SUBMISSION_DEADLINE);
    // A cluster that has just started has not discovered its machines yet: the client
    // retries until `FIRST_SUBMISSION_DEADLINE`.
    let answer = client.submit(job).await?;
    eprintln!("{}: accepted", answer.id);
    let print_stage = |a: &JobStatus| eprintln!("{}: {:?}", a.id, a.stage);
    Ok(client.wait(&job.id, JOB_POLL_INTERVAL, print_stage).await?)
}
