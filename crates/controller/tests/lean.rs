//! The daemon runs on a share of one core and 56 MB: heavy libraries never
//! reach it.

use std::process::Command;

/// What the daemon may be built from, besides what these bring along: a new
/// entry is a decision, not an accident.
const DIRECT: [&str; 13] = [
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
/// Packages in all; a little above what it is.
const MOST: usize = 85;

fn tree(depth: &str) -> Vec<String> {
    let out = Command::new(env!("CARGO"))
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
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let text = String::from_utf8(out.stdout).unwrap();
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
fn the_daemon_stays_lean() {
    let mut direct = tree("1");
    direct.retain(|n| n != "pebblefold-controller");
    assert_eq!(direct, DIRECT);
    let all = tree("99");
    assert!(all.len() <= MOST, "{}: {all:?}", all.len());
    for heavy in [
        "ratatui",
        "redb",
        "zstd",
        "plotters",
        "indicatif",
        "schemars",
        "pebblefold-simulator",
    ] {
        assert!(!all.iter().any(|n| n == heavy), "{heavy}");
    }
}
