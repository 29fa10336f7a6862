//! The agent's program. What it does is in the library.

use clap::{Parser, Subcommand};
use pebblefold_agent::driver;
use pebblefold_agent::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;

/// The worker that runs real tasks on a machine.
#[derive(Parser)]
#[command(name = "pebblefold-agent", version)]
struct Args {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Serves as the worker of a machine until it is killed.
    Serve {
        /// Settings (TOML).
        settings: PathBuf,
    },
    /// Runs one attempt; the agent starts these.
    #[command(hide = true)]
    Shim {
        /// The attempt's directory.
        dir: PathBuf,
    },
}

/// Exit status for settings that cannot be used.
const BAD_INPUT: u8 = 2;

fn fail(status: u8, e: impl std::fmt::Display) -> ExitCode {
    eprintln!("pebblefold-agent: {e}");
    ExitCode::from(status)
}

fn main() -> ExitCode {
    match Args::parse().verb {
        Verb::Shim { dir } => match pebblefold_agent::shim::run(&dir) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => fail(1, format!("{}: {e}", dir.display())),
        },
        Verb::Serve { settings } => {
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
