//! The shipped scripts and their schema, and what a script that is wrong is told.

mod common;
use common::sound;
use pebblefold_simulator::script::Script;
use pebblefold_simulator::simulated;
use std::path::PathBuf;

const SHIPPED: [&str; 5] = [
    "billing-night",
    "crash-loop",
    "crash-loop-gangs",
    "meter-coop",
    "tenant-office",
];

fn rehearsals() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals")
}

fn script(name: &str) -> Script {
    let path = rehearsals().join(format!("{name}.toml"));
    Script::load(&path).unwrap_or_else(|e| panic!("{name}: {e:?}"))
}

fn play(name: &str, seeds: std::ops::RangeInclusive<u64>) {
    for seed in seeds {
        let v = simulated::rehearse(script(name), seed).unwrap();
        sound(&v, seed);
        assert_eq!(v.not_struck, Vec::<String>::new(), "{name}, seed {seed}");
    }
}

#[test]
fn billing_night_ends_every_job_once() {
    play("billing-night", 1..=10);
}

#[test]
fn billing_night_ends_every_job_once_on_other_seeds() {
    play("billing-night", 11..=20);
}

#[test]
fn the_co_operatives_night_ends_every_job_once() {
    play("meter-coop", 1..=6);
}

#[test]
fn the_offices_week_ends_every_job_once() {
    play("tenant-office", 1..=6);
}

/// Plays a script whose team "models" reaches its limit, and may not pass it.
fn keep_the_limit(name: &str, seeds: &[u64]) {
    for &seed in seeds {
        let v = simulated::rehearse(script(name), seed).unwrap();
        sound(&v, seed);
        let models = v.peak_usage["models"];
        assert!(models.gpus <= models.gpus_max, "seed {seed}: {models:?}");
        let at_limit = models.gpus > models.gpus_max - 8.0;
        assert!(at_limit, "seed {seed}: no more fits: {models:?}");
    }
}

// The seeds on which the limit broke while starts were resumed without a look at it, and
// others.
#[test]
fn a_crash_loop_keeps_the_limit_of_every_team() {
    keep_the_limit("crash-loop", &[1, 2, 8, 10, 12, 17]);
    keep_the_limit("crash-loop-gangs", &[1, 2, 3, 4, 9, 13, 15, 21]);
}

// The shipped schema is what the code reads: `pebblectl schema` prints it.
#[test]
fn the_shipped_schema_is_the_codes_and_the_scripts_follow_it() {
    let text = std::fs::read_to_string(rehearsals().join("schema.json")).unwrap();
    let shipped: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        shipped,
        Script::schema(),
        "write it anew: pebblectl schema > rehearsals/schema.json"
    );
    let schema = jsonschema::validator_for(&shipped).unwrap();
    for name in SHIPPED {
        let text = std::fs::read_to_string(rehearsals().join(format!("{name}.toml"))).unwrap();
        let value: serde_json::Value = toml::from_str(&text).unwrap();
        let errors: Vec<String> = schema.iter_errors(&value).map(|e| e.to_string()).collect();
        assert!(errors.is_empty(), "{name}: {errors:?}");
        let mut wrong = value.clone();
        wrong["cluster"]["zone"] = "typo".into();
        assert!(!schema.is_valid(&wrong), "{name}: an unknown field passes");
    }
}

#[test]
fn errors_name_file_line_and_field() {
    let text = std::fs::read_to_string(rehearsals().join("billing-night.toml")).unwrap();
    let told = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        let changed = text.replacen(from, to, 1);
        match Script::parse("night.toml", &changed) {
            Ok(_) => panic!("{to}: accepted"),
            Err(errors) => errors
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
                .join("\n"),
        }
    };
    let line_of = |what: &str| text[..text.find(what).unwrap()].matches('\n').count() + 1;
    let faults = line_of("[[faults]]");
    let cases = [
        (
            "zone = \"market\"\nfor_s",
            "zone = \"moon\"\nfor_s",
            format!(
                "line {}: faults[0].zone: no zone moon; there are river, market, hill",
                faults + 3
            ),
        ),
        (
            "team = \"archive\"",
            "team = \"archives\"",
            format!(
                "line {}: jobs[1].team: no team archives",
                line_of("team = \"archive\"")
            ),
        ),
        (
            "controllers = [\"river\"",
            "controllers = [\"rivers\"",
            format!(
                "line {}: cluster.controllers[0]: no zone rivers",
                line_of("controllers = [")
            ),
        ),
        (
            "zone = \"hill\", capacity = 14, up = 4",
            "zone = \"hill\", capacity = 14, up = 40",
            "cluster.machines[2].up: 40 are up, but the capacity is 14".into(),
        ),
        (
            "at_s = 130",
            "when = { moment = \"hired\", class = \"none\" }",
            "faults[1].when.class: no jobs of class none".into(),
        ),
        (
            "at_s = 130\n",
            "",
            "faults[1].kind: needs either at_s or when".into(),
        ),
        (
            "share = 0.3",
            "shares = 0.3",
            "unknown field `shares`".into(),
        ),
        (
            "kind = \"kill\"",
            "kind = \"kil\"",
            "unknown variant `kil`".into(),
        ),
        (
            "length_s = 420",
            "length_s = 420 s",
            "line 6, column".into(),
        ),
    ];
    for (from, to, wanted) in cases {
        let error = told(from, to);
        assert!(
            error.contains(&wanted) && error.starts_with("night.toml"),
            "{error}\nwanted: {wanted}"
        );
    }
    // Troubles with values that cannot be.
    for (fault, wanted) in [
        (
            "kind = \"cancel_at_end\"\nshare = 1.5\nfor_s = 3.0",
            ".share: 1.5 is no share; it has to lie between 0 and 1",
        ),
        (
            "kind = \"late_writes\"\nshare = -0.1\nfor_s = 3.0",
            ".share: -0.1 is no share",
        ),
        (
            "kind = \"close_looks\"\nfor_s = -3.0",
            ".for_s: -3.0 is no time; it has to be 0 to 86400 seconds",
        ),
        (
            "kind = \"cancel_now\"\ncount = 3\nhang_s = -1.0",
            ".hang_s: -1.0 is no time",
        ),
        ("kind = \"odd_requests\"\nfor_s = inf", ".for_s: "),
        (
            "kind = \"machine_mute\"\nzone = \"moon\"\nfor_s = 3.0",
            ".zone: no zone moon",
        ),
        (
            "kind = \"machine_muter\"\nfor_s = 3.0",
            "unknown variant `machine_muter`",
        ),
    ] {
        let last = format!("{text}\n[[faults]]\nat_s = 3.0\n{fault}\n");
        let errors = Script::parse("night.toml", &last).unwrap_err();
        let error = errors[0].to_string();
        assert!(error.contains(wanted) && error.contains("line "), "{error}");
    }
    // Many at once, not the first alone.
    let two = text
        .replace("team = \"archive\"", "team = \"x\"")
        .replace("at_s = 90", "at_s = 900");
    assert_eq!(Script::parse("f", &two).unwrap_err().len(), 2);
    // Without controllers no number is one of theirs.
    let none = text.replace(
        r#"controllers = ["river", "market", "hill"]"#,
        "controllers = []",
    );
    let named = "[[faults]]\nat_s = 3.0\nkind = \"kill\"\nnodes = { number = 0 }\nfor_s = 3.0\n";
    let errors = Script::parse("f", &format!("{none}\n{named}")).unwrap_err();
    let told: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert!(told[0].contains("1 to 9 are needed"), "{told:?}");
    let fault = told
        .iter()
        .filter(|error| error.contains("no controller 0; there are none"));
    assert_eq!(fault.count(), 1, "{told:?}");
}
