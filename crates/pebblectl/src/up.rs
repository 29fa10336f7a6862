//! A cluster on this machine.

use crate::args::Up;
use crate::ask;
use crate::output::{Failure, Show};
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

const CLUSTER: &str = include_str!("cluster.toml");
/// Time between two looks at a job that is waited for.
const LOOK: Duration = Duration::from_millis(500);

/// How long a cluster that has just started may take to accept its first job.
const FIRST: TimeSpan = TimeSpan::millis(30_000);

/// Serves as one controller.
pub fn controller(settings: &Path) -> Result<(), Failure> {
    pebblefold_controller::cli::serve(settings, None).map_err(|e| match e {
        ServeError::Input(_) => Failure::input(e),
        ServeError::Listen(_) => Failure::failed(e),
    })
}

/// Starts a cluster and keeps it until Ctrl-C, or until its job is over.
pub async fn up(u: Up, show: &Show) -> Result<(), Failure> {
    let script = match &u.script {
        Some(file) => load(file)?,
        None => Script::parse("cluster.toml", CLUSTER)
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
        "state, logs: {}   (up again goes on from there; Ctrl-C ends)",
        u.dir.display()
    );
    let served = async {
        let mut told = (0, 0, usize::MAX);
        loop {
            cluster.step().await;
            // A cluster whose controllers end is of no use; why is told below.
            let ended = |b: &Breach| b.rule == Invariant::Protocol;
            if cluster.with(|s| s.checker().breaches().iter().any(ended)) {
                return;
            }
            let now = cluster.with(|s| {
                let (accepted, done, cancelled, _) = s.checker().counts();
                (accepted, done + cancelled, s.fleet().workers().len())
            });
            if now != told && u.job.is_none() {
                eprintln!(
                    "{:>8.1} s  {} jobs accepted, {} over, {} machines",
                    cluster.elapsed(),
                    now.0,
                    now.1,
                    now.2
                );
                told = now;
            }
        }
    };
    let front = cluster.front;
    let waited = async {
        match &job {
            Some(job) => run(front, job).await.map(Some),
            None => std::future::pending().await,
        }
    };
    let answer = tokio::select! {
        () = served => None,
        () = ended() => None,
        a = waited => Some(a),
    };
    cluster.stop().await;
    let broken: Vec<String> = cluster.with(|s| {
        let all = s.checker().breaches().iter();
        // What is open goes on with the next `up`.
        all.filter(|b| b.rule != Invariant::Unfinished)
            .map(|b| format!("rule broken: {} {}: {}", b.rule, b.job, b.what))
            .collect()
    });
    if !broken.is_empty() {
        return Err(Failure::Rule(broken.join("\n")));
    }
    match answer {
        Some(Ok(Some(a))) => show.job(&a),
        Some(Err(e)) => Err(e),
        Some(Ok(None)) | None => Ok(()),
    }
}

/// Ctrl-C, or the request to end: the controllers must not outlive us.
async fn ended() {
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

/// Submits a job and waits for its end.
async fn run(front: SocketAddrV4, job: &Submission) -> Result<JobStatus, Failure> {
    let client = ask::client(vec![front], FIRST);
    // A cluster that has just started does not know its machines yet: the
    // client asks again for a while.
    let answer = client.submit(job).await?;
    eprintln!("{}: accepted", answer.id);
    let told = |a: &JobStatus| eprintln!("{}: {:?}", a.id, a.stage);
    Ok(client.wait(&job.id, LOOK, told).await?)
}
