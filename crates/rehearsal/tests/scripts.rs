//! The shipped scripts, in simulated time.

use pebblefold_rehearsal::script::Script;
use pebblefold_rehearsal::simulated;
use std::path::PathBuf;

fn script(name: &str) -> Script {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals");
    Script::load(&root.join(format!("{name}.toml"))).unwrap_or_else(|e| panic!("{name}: {e:?}"))
}

#[test]
fn billing_night_ends_every_job_once() {
    for seed in 1..=20 {
        let v = simulated::rehearse(script("billing-night"), seed).unwrap();
        println!("{}", v.text());
        assert!(v.passed, "seed {seed}");
    }
}
