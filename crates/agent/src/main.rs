//! The agent's program; the library does the work.

use clap::{Parser, Subcommand};
use pebblefold_agent::driver;
use pebblefold_agent::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs tasks on a machine and reports them to the controllers.
#[derive(Parser)]
#[command(name = "pebblefold-agent", version)]
struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Runs the agent of a machine until it is killed.
    Serve {
        /// Settings file (TOML).
        settings: PathBuf,
    },
    /// Runs one attempt; the agent starts these processes.
    #[command(hide = true)]
    Shim {
        /// The attempt's directory.
        dir: PathBuf,
    },
}

/// Exit status for unusable settings.
const BAD_INPUT: u8 = 2;

fn fail(status: u8, e: impl std::fmt::Display) -> ExitCode {
    eprintln!("pebblefold-agent: {e}");
    ExitCode::from(status)
}

fn main() -> ExitCode {
    match Args::parse().action {
        Action::Shim { dir } => match pebblefold_agent::shim::run(&dir) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(1, format!("{}: {e}", dir.display())),
        },
        Action::Serve { settings } => {
            tracing_subscriber::fmt()
                .with_writer(std::io::stderr)
                .with_target(false)
                .init();
            match Settings::load(&settings) {
                Err(e) => fail(BAD_INPUT, e),
                Ok(s) => match driver::serve(s) {
                    Ok(()) => ExitCode::SUCCESS,
                    Err(e) => fail(1, e),
                },
            }
        }
    }
}
