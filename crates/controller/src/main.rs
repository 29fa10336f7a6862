//! The program: everything is in the library.

fn main() -> std::process::ExitCode {
    pebblefold_controller::cli::run()
}
