//! The daemon `pebblefold`. All its code is in the library.

fn main() -> std::process::ExitCode {
    pebblefold_controller::cli::run()
}
