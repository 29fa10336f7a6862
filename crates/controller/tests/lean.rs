//! The daemon runs on a share of one processor core with 56 MB of memory, so it must not
//! depend on large libraries.

use std::process::Command;

/// The direct dependencies that the daemon may have, besides which only their own
/// dependencies are allowed. A new one has to be added here on purpose.
const DIRECT_DEPENDENCIES: [&str; 13] = [
    "clap",
    "hdrhistogram",
    "mlua",
    "pebblefold-net",
    "pebblefold-wire",
    "rand",
    "serde",
    "serde_json",
    "signal-hook",
    "thiserror",
    "tokio",
    "tracing",
    "tracing-subscriber",
];
/// Maximum number of packages in the dependency tree; slightly above the present number.
const MAX_PACKAGES: usize = 85;

fn dependencies(depth: &str) -> Vec<String> {
    let cargo_tree = Command::new(env!("CARGO"))
        .args([
            "tree",
            "--locked",
            "-p",
            "pebblefold-controller",
            "-e",
            "normal",
            "--prefix",
            "none",
            "--depth",
            depth,
        ])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap();
    assert!(
        cargo_tree.status.success(),
        "{}",
        String::from_utf8_lossy(&cargo_tree.stderr)
    );
    let text = String::from_utf8(cargo_tree.stdout).unwrap();
    let mut names: Vec<String> = text
        .lines()
        .filter_map(|l| l.split_whitespace().next())
        .map(String::from)
        .collect();
    names.sort();
    names.dedup();
    names
}

#[test]
fn daemon_dependencies_stay_few() {
    let mut direct = dependencies("1");
    direct.retain(|n| n != "pebblefold-controller");
    assert_eq!(direct, DIRECT_DEPENDENCIES);
    let packages = dependencies("99");
    assert!(
        packages.len() <= MAX_PACKAGES,
        "{}: {packages:?}",
        packages.len()
    );
    for library in [
        "ratatui",
        "redb",
        "zstd",
        "plotters",
        "indicatif",
        "schemars",
        "pebblefold-simulator",
    ] {
        assert!(!packages.iter().any(|n| n == library), "{library}");
    }
}
