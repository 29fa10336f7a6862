//! What renting and returning 300 machines comes to while its holder is killed,
//! frozen or cut: machines never used, machines that nobody who leads knows,
//! work lost to a replaced holder. Run with
//! `cargo bench -p pebblefold-rehearsal --bench duties [-- SEEDS]`; simulated.

use pebblefold_simulator::script::{CutMode, Fault, Moment, Nodes, Script, Side, What, When};
use pebblefold_simulator::simulated;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Two rushes that want some 300 machines each, with a lull between them in
/// which machines are returned.
fn script() -> Script {
    let text = r#"
name = "duties"
length_s = 420
[cluster]
zones = ["a", "b", "c"]
controllers = ["a", "b", "c"]
state = { rps = 300.0, write_rps = 120.0 }
cloud = { rps = 6.0, list_lag_s = 4.0, never_up = 0.01, slow_boot = 0.02 }
kinds = [{ name = "quad", cpus = 32, gpus = 4, memory_gb = 192, cache_gb = 60, fetch_gb_per_s = 2.0, price = 8.0, spot_price = 2.0, boot_s = 12 }]
machines = [
  { kind = "quad", zone = "a", capacity = 120, up = 6 },
  { kind = "quad", zone = "b", capacity = 120, up = 6 },
  { kind = "quad", zone = "c", capacity = 120, up = 6 },
]
teams = [{ name = "t" }]
aims = [{ kind = "deadline", times = 1.0, share = 0.9 }]
"#;
    let mut text = text.to_string();
    for (class, from, count) in [("first", 4, 140), ("second", 130, 140)] {
        text.push_str(&format!(
            r#"
[[jobs]]
class = "{class}"
team = "t"
priority = "normal"
shape = "gang"
count = {count}
from_s = {from}
over_s = 20
tasks = [1, 4]
cpus = 30
gpus = 4
memory_gb = 150
images = 3
image_gb = 2
run_s = [20, 45]
checkpoint_s = 5
save_s = 1
deadline = 5.0
"#
        ));
    }
    Script::parse("duties", &text).unwrap_or_else(|e| panic!("{e:?}"))
}

fn at(at_s: f64, what: What) -> Fault {
    let (at_s, when) = (Some(at_s), None);
    Fault { at_s, when, what }
}

fn hired(nth: u32, what: What) -> Fault {
    let (moment, class, after_s) = (Moment::Hired, None, 0.0);
    let when = Some(When {
        moment,
        class,
        nth,
        after_s,
    });
    Fault {
        at_s: None,
        when,
        what,
    }
}

fn leader_cut(from: f64, sides: &[Side]) -> Vec<Fault> {
    let cut = |b: &Side| What::Cut {
        a: Side::Leader,
        b: b.clone(),
        one_way: false,
        mode: CutMode::Hold,
        for_s: 90.0,
    };
    sides.iter().map(|b| at(from, cut(b))).collect()
}

/// A day's name and its faults for a seed.
type Day = (&'static str, fn(&mut StdRng) -> Vec<Fault>);

const DAYS: [Day; 9] = [
    ("quiet", |_| Vec::new()),
    ("killed at a hire", |rng| {
        let (nodes, for_s) = (Nodes::That, 5.0);
        vec![hired(rng.random_range(1..10), What::Kill { nodes, for_s })]
    }),
    ("killed twice", |rng| {
        let kill = |t| {
            let (nodes, for_s) = (Nodes::Leader, 5.0);
            at(t, What::Kill { nodes, for_s })
        };
        let first = rng.random_range(8.0..25.0);
        vec![kill(first), kill(first + rng.random_range(4.0..9.0))]
    }),
    ("frozen at a hire", |rng| {
        let (nodes, for_s) = (Nodes::That, 60.0);
        vec![hired(rng.random_range(1..10), What::Pause { nodes, for_s })]
    }),
    ("frozen while returning", |rng| {
        let (nodes, for_s) = (Nodes::Leader, 60.0);
        let t = rng.random_range(60.0..125.0);
        vec![at(t, What::Pause { nodes, for_s })]
    }),
    ("cut from the state service", |rng| {
        leader_cut(rng.random_range(8.0..25.0), &[Side::State])
    }),
    ("cut from the cloud", |rng| {
        leader_cut(rng.random_range(8.0..25.0), &[Side::Cloud])
    }),
    ("cut from all, returning", |rng| {
        let all = [Side::State, Side::Cloud, Side::Controllers, Side::Machines];
        leader_cut(rng.random_range(60.0..125.0), &all)
    }),
    ("all restarted in turn", |rng| {
        let first = rng.random_range(8.0..20.0);
        let kill = |n: u32| {
            let (nodes, for_s) = (Nodes::Number(n), 5.0);
            at(first + 9.0 * f64::from(n), What::Kill { nodes, for_s })
        };
        (0..3).map(kill).collect()
    }),
];

fn main() {
    let seeds = std::env::args().skip(1).find_map(|a| a.parse().ok());
    let seeds: u64 = seeds.unwrap_or(10);
    println!(
        "{:28} {:>7} {:>7} {:>10} {:>9} {:>6} {:>8} {:>8} {:>7} {:>7}",
        "a day, of the seeds' mean",
        "hired",
        "unused",
        "unknown s",
        "longest s",
        "lost",
        "start 90",
        "end 90",
        "cost",
        "broken"
    );
    for (name, faults) in DAYS {
        let threads = 6;
        let play = |seed: u64| {
            let mut s = script();
            s.faults = faults(&mut StdRng::seed_from_u64(seed));
            simulated::rehearse(s, seed).expect("it starts")
        };
        let verdicts: Vec<_> = std::thread::scope(|scope| {
            let part = |n: u64| (n..seeds).step_by(threads as usize).map(play).collect();
            let handles: Vec<_> = (0..threads)
                .map(|n| scope.spawn(move || -> Vec<_> { part(n) }))
                .collect();
            let all = handles.into_iter().flat_map(|h| h.join().expect("it ends"));
            all.collect()
        });
        let n = verdicts.len() as f64;
        let mean = |of: &dyn Fn(&pebblefold_simulator::report::Verdict) -> f64| {
            verdicts.iter().map(of).sum::<f64>() / n
        };
        let longest = verdicts
            .iter()
            .map(|v| v.renting.unknown_longest_s)
            .fold(0.0, f64::max);
        let both = |of: fn(&pebblefold_simulator::report::ClassReport) -> f64| {
            mean(&|v| v.classes.values().map(of).sum::<f64>() / 2.0)
        };
        println!(
            "{name:28} {:>7.1} {:>7.1} {:>10.0} {longest:>9.1} {:>6.1} {:>8.1} {:>8.1} {:>7.2} {:>7}",
            mean(&|v| v.renting.hired as f64),
            mean(&|v| v.renting.unused as f64),
            mean(&|v| v.renting.unknown_s),
            mean(&|v| v.renting.lost_to_replaced as f64),
            both(|c| c.start_s[1]),
            both(|c| c.end_s[1]),
            mean(&|v| v.cost),
            verdicts.iter().filter(|v| !v.passed).count(),
        );
    }
}
