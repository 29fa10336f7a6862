//! The agent's program. What it does is in the library.

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["shim", dir] => match pebblefold_agent::shim::run(Path::new(dir)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("pebblefold-agent: {dir}: {e}");
                ExitCode::FAILURE
            }
        },
        _ => {
            eprintln!("pebblefold-agent: shim DIR is wanted: the directory of one attempt");
            ExitCode::from(2)
        }
    }
}
