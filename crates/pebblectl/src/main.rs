//! The command line program of users and operators. This package holds the
//! program's arguments, settings and output; the work itself is done by the packages
//! it depends on.

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
use output::{Failure, Printer};
use std::process::ExitCode;

fn main() -> ExitCode {
    let args = Args::parse();
    // A controller starts its own runtime and logging: inside the runtime below it
    // would exit immediately.
    if let Verb::Controller { settings } = &args.verb {
        return report_outcome(up::controller(settings));
    }
    pebblefold_controller::logging::start(tracing::Level::WARN);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let outcome = match runtime {
        Ok(runtime) => {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run(args))
        }
        Err(e) => Err(Failure::failed(format!(
            "cannot start the async runtime: {e}"
        ))),
    };
    report_outcome(outcome)
}

/// Prints a failure to standard error, line by line, and returns the exit status.
fn report_outcome(outcome: Result<(), Failure>) -> ExitCode {
    match outcome {
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
    // Verbs that need no settings come first: they have to work where the settings
    // are broken.
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
    let printer = Printer::new(config.output.value);
    let client = |nodes| ask::client(nodes, ask::USER_REQUEST_DEADLINE);
    match args.verb {
        Verb::Up(up) => up::up(up, &printer).await,
        Verb::Rehearse(r) => rehearse::rehearse(r, &printer).await,
        Verb::Top(t) => top::top(&config.internal()?, t, &printer).await,
        Verb::Submit { job } => {
            let job = ask::read_job(&job)?;
            printer.print_job(&client(config.api()?).submit(&job).await?)
        }
        Verb::Status { id } => {
            printer.print_job(&client(config.api()?).status(&id.as_str().into()).await?)
        }
        Verb::Cancel { id } => {
            printer.print_job(&client(config.api()?).cancel(&id.as_str().into()).await?)
        }
        Verb::Inspect { machine, job } => {
            printer.print_value(&ask::inspect(&config.internal()?, &machine, &job).await?)
        }
        Verb::Workflow(verb) => run_workflow_verb(verb, &config, &printer).await,
        Verb::Config { .. } => printer.print_table(&config.listing()),
        Verb::State(StateVerb::Serve(s)) => state::serve(s).await,
        Verb::State(StateVerb::Snapshot(SnapshotVerb::Save { admin, file })) => {
            printer.print_value(&state::save(admin, &file).await?)
        }
        Verb::State(StateVerb::Snapshot(SnapshotVerb::Restore { file, dir })) => {
            printer.print_value(&state::restore(&file, &dir)?)
        }
        Verb::State(StateVerb::Snapshot(SnapshotVerb::Check { file })) => {
            printer.print_value(&state::check(&file)?)
        }
        Verb::Controller { .. } | Verb::Completions { .. } | Verb::Man { .. } | Verb::Schema => {
            Ok(())
        }
    }
}

async fn run_workflow_verb(
    verb: WorkflowVerb,
    config: &config::Config,
    printer: &Printer,
) -> Result<(), Failure> {
    let cluster = || -> Result<workflow::Cluster, Failure> {
        Ok(workflow::Cluster {
            front: config.front()?,
            state: config.state()?,
        })
    };
    match verb {
        WorkflowVerb::Check { files } => workflow::check(&files, printer),
        WorkflowVerb::Graph { file, svg } => workflow::graph(&file, svg.as_deref()),
        WorkflowVerb::Run(r) => workflow::run(r, cluster()?).await,
        WorkflowVerb::Resume { name, again, work } => {
            workflow::resume(&name, again, &work, cluster()?).await
        }
        WorkflowVerb::Status { name, work } => {
            workflow::status(&name, &work, cluster()?, printer).await
        }
        WorkflowVerb::Cancel { name, work } => {
            workflow::cancel(&name, &work, cluster()?, printer).await
        }
        WorkflowVerb::Provenance { name, work } => {
            workflow::provenance(&name, &work, cluster()?).await
        }
    }
}
