//! The stand of the second review's cases: it starts the project's programs as separate
//! processes on loopback addresses, plays a case, writes its record and gives the verdict.
//!
//! Built by `review/build-2.sh` with rustc alone; it uses the standard library and nothing
//! else. Started by `review/N/run.sh`. Exit status: 0 the rule held, 1 it was broken, 2 the
//! case could not run.

mod cases;
mod cloud;
mod cluster;
mod http;
mod pack;
mod record;
mod worker;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(dir)) = (args.next(), args.next()) else {
        eprintln!("usage: stand CASE DIRECTORY");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match record::Record::create(&PathBuf::from(dir).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("record.txt: {e}");
            exit(2);
        }
    };
    record.line(&format!(
        "case {case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    cluster::sweep_when_asked();
    let verdict = std::panic::catch_unwind(|| cases::play(&case, trouble, &record));
    let verdict = verdict.unwrap_or_else(|_| Err("the stand panicked".into()));
    cluster::sweep();
    let (status, text) = match verdict {
        Ok(None) => (0, "the rule held".to_string()),
        Ok(Some(broken)) => (1, format!("rule broken: {broken}")),
        Err(e) => (2, format!("the case could not run: {e}")),
    };
    record.line(&text);
    exit(status);
}
