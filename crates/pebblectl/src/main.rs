//! The program that people use. What it does is in the packages below it; here
//! stand its arguments, its settings and how answers look.

mod args;
mod ask;
mod config;
mod output;
mod rehearse;
mod state;
mod top;
mod up;
mod workflow;

use args::{Args, SnapshotVerb, StateVerb, Verb, WorkflowVerb};
use clap::{CommandFactory, Parser};
use output::{Failure, Show};
use std::process::ExitCode;

fn main() -> ExitCode {
    let args = Args::parse();
    // A controller brings a runtime and logs of its own: within ours it would
    // end at once.
    if let Verb::Controller { settings } = &args.verb {
        return told(up::controller(settings));
    }
    pebblefold_controller::logging::start(tracing::Level::WARN);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let done = match runtime {
        Ok(runtime) => {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run(args))
        }
        Err(e) => Err(Failure::failed(format!("cannot start: {e}"))),
    };
    told(done)
}

/// The exit status; a failure is told a line each.
fn told(done: Result<(), Failure>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            for line in e.lines() {
                eprintln!("pebblectl: {line}");
            }
            ExitCode::from(e.status())
        }
    }
}

async fn run(args: Args) -> Result<(), Failure> {
    // What needs no settings comes first: it has to work where they are broken.
    match &args.verb {
        Verb::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(*shell, &mut command, "pebblectl", &mut std::io::stdout());
            return Ok(());
        }
        Verb::Man { dir } => return output::man_pages(Args::command(), dir),
        Verb::Schema => {
            let schema = pebblefold_simulator::script::Script::schema();
            println!("{}", output::pretty(&schema));
            return Ok(());
        }
        _ => {}
    }
    let config = config::Config::gather(&args)?;
    let show = Show::new(config.output.value);
    let client = |nodes| ask::client(nodes, ask::PERSON);
    match args.verb {
        Verb::Up(up) => up::up(up, &show).await,
        Verb::Rehearse(r) => rehearse::rehearse(r, &show).await,
        Verb::Top(t) => top::top(&config.internal()?, t, &show).await,
        Verb::Submit { job } => {
            let job = ask::read_job(&job)?;
            show.job(&client(config.api()?).submit(&job).await?)
        }
        Verb::Status { id } => show.job(&client(config.api()?).status(&id.as_str().into()).await?),
        Verb::Cancel { id } => show.job(&client(config.api()?).cancel(&id.as_str().into()).await?),
        Verb::Inspect { machine, job } => {
            show.any(&ask::inspect(&config.internal()?, &machine, &job).await?)
        }
        Verb::Workflow(verb) => workflow(verb, &config, &show).await,
        Verb::Config { .. } => show.any_table(&config.shown()),
        Verb::State(StateVerb::Serve(s)) => state::serve(s).await,
        Verb::State(StateVerb::Snapshot(SnapshotVerb::Save { admin, file })) => {
            show.any(&state::save(admin, &file).await?)
        }
        Verb::State(StateVerb::Snapshot(SnapshotVerb::Restore { file, dir })) => {
            show.any(&state::restore(&file, &dir)?)
        }
        Verb::State(StateVerb::Snapshot(SnapshotVerb::Check { file })) => {
            show.any(&state::check(&file)?)
        }
        Verb::Controller { .. } | Verb::Completions { .. } | Verb::Man { .. } | Verb::Schema => {
            Ok(())
        }
    }
}

async fn workflow(verb: WorkflowVerb, config: &config::Config, show: &Show) -> Result<(), Failure> {
    let cluster = || -> Result<workflow::Cluster, Failure> {
        Ok(workflow::Cluster {
            front: config.front()?,
            state: config.state()?,
        })
    };
    match verb {
        WorkflowVerb::Check { files } => workflow::check(&files, show),
        WorkflowVerb::Graph { file, svg } => workflow::graph(&file, svg.as_deref()),
        WorkflowVerb::Run(r) => workflow::run(r, cluster()?).await,
        WorkflowVerb::Resume { name, again, work } => {
            workflow::resume(&name, again, &work, cluster()?).await
        }
        WorkflowVerb::Status { name, work } => {
            workflow::status(&name, &work, cluster()?, show).await
        }
        WorkflowVerb::Cancel { name, work } => {
            workflow::cancel(&name, &work, cluster()?, show).await
        }
        WorkflowVerb::Provenance { name, work } => {
            workflow::provenance(&name, &work, cluster()?).await
        }
    }
}
