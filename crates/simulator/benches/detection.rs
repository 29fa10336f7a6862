//! How soon a failed leader is replaced, and how often one that is well: the lease
//! alone beside suspicion and verdict. Run with
//! `cargo bench -p pebblefold-rehearsal --bench detection [-- SEEDS]`; simulated.

use pebblefold_controller::core::cache_hints::CacheHints;
use pebblefold_controller::core::failure_detector::accrual::PhiAccrual;
use pebblefold_controller::core::failure_detector::detector::FailureDetector;
use pebblefold_controller::core::leader_announcement::{AnnouncementPriority, LeaderAnnouncer};
use pebblefold_controller::policy::DEFAULT_SCRIPT;
use pebblefold_controller::types::{FencingToken, MachineId, NodeId, Time, TimeSpan};
use pebblefold_controller::wire::encode;
use pebblefold_controller::wire::peers::{LeaderHeartbeat, SuspicionQuery, SuspicionVote};
use pebblefold_simulator::script::{CutMode, Fault, Nodes, PowerLoss, Script, Side, What};
use pebblefold_simulator::simulated::Simulated;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Instant;

/// Steady work on forty machines.
fn script(nodes: usize) -> Script {
    let zones: Vec<String> = (0..nodes)
        .map(|n| format!("\"{}\"", ["a", "b", "c"][n % 3]))
        .collect();
    let text = format!(
        r#"
name = "detection"
length_s = 86400
[cluster]
zones = ["a", "b", "c"]
controllers = [{}]
workers = {{ report_s = 4.0, lease_s = 22.0, gang_wait_s = 40.0, gang_peer_s = 8.0, cancel_s = 52.0 }}
state = {{ rps = 300.0, write_rps = 120.0 }}
cloud = {{ rps = 6.0, list_lag_s = 4.0, never_up = 0.0, slow_boot = 0.0 }}
kinds = [{{ name = "quad", cpus = 32, gpus = 4, memory_gb = 192, cache_gb = 60, fetch_gb_per_s = 2.0, price = 8.0, spot_price = 2.0, boot_s = 12 }}]
machines = [
  {{ kind = "quad", zone = "a", capacity = 14, up = 14 }},
  {{ kind = "quad", zone = "b", capacity = 14, up = 14 }},
  {{ kind = "quad", zone = "c", capacity = 14, up = 14 }},
]
teams = [{{ name = "t" }}]
aims = [{{ kind = "wait", class = "steady", within_s = 20, share = 0.9 }}]
[[jobs]]
class = "steady"
team = "t"
priority = "normal"
shape = "array"
count = 400
from_s = 2
over_s = 200
tasks = 4
cpus = 8
gpus = 1
memory_gb = 40
images = 2
image_gb = 2
run_s = [10, 30]
"#,
        zones.join(", ")
    );
    Script::parse("detection", &text).unwrap_or_else(|e| panic!("{e:?}"))
}

fn cut(a: Side, b: Side, mode: CutMode, for_s: f64) -> What {
    let one_way = false;
    What::Cut {
        a,
        b,
        one_way,
        mode,
        for_s,
    }
}

/// What happens to the leader.
type Row = (&'static str, fn(zone: &str) -> Vec<What>);

const ROWS: [Row; 9] = [
    ("crashed, back in 0.2 s", |_| {
        let (nodes, for_s) = (Nodes::Leader, 0.2);
        vec![What::Kill { nodes, for_s }]
    }),
    ("crashed for good", |_| {
        let (nodes, for_s) = (Nodes::Leader, 900.0);
        vec![What::Kill { nodes, for_s }]
    }),
    ("its site without power", |zone| {
        let (zone, for_s) = (zone.into(), 60.0);
        let machines = PowerLoss::Freeze;
        vec![What::SitePower {
            zone,
            for_s,
            machines,
        }]
    }),
    ("frozen for 20 s", |_| {
        let (nodes, for_s) = (Nodes::Leader, 20.0);
        vec![What::Pause { nodes, for_s }]
    }),
    ("cut from all", |_| {
        let all = [
            Side::State,
            Side::Controllers,
            Side::Machines,
            Side::Users,
            Side::Cloud,
        ];
        let one = |b| cut(Side::Leader, b, CutMode::Hold, 30.0);
        all.map(one).into()
    }),
    ("cut from the state service", |_| {
        vec![cut(Side::Leader, Side::State, CutMode::Hold, 30.0)]
    }),
    ("refused by the state service", |_| {
        let (nodes, for_s) = (Nodes::Leader, 30.0);
        vec![What::StateRefuses { nodes, for_s }]
    }),
    ("everything takes it 60 ms", |_| {
        let (nodes, each_ms, for_s) = (Nodes::Leader, 60.0, 60.0);
        vec![What::Busy {
            nodes,
            each_ms,
            for_s,
        }]
    }),
    ("state service out for 30 s", |_| {
        vec![What::StateOut { for_s: 30.0 }]
    }),
];

/// Seconds after the failure; none: not within a minute.
#[derive(Default)]
struct Found {
    elected: Option<f64>,
    started: Option<f64>,
    heard: Option<f64>,
}

fn leader(world: &Simulated) -> Option<(usize, FencingToken)> {
    let all = world.nodes().filter(|(_, n)| n.is_loaded_leader());
    all.filter_map(|(n, node)| Some((n, node.token()?)))
        .max_by_key(|(_, t)| *t)
}

fn play(nodes: usize, row: &Row, policy: &str, seed: u64) -> Found {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut s = script(nodes);
    let at = 60.0 + rng.random_range(0.0..2.0);
    // Each leader has its zone; a fault that names one strikes where it is then.
    let mut world = Simulated::with_policy(s.clone(), seed, policy).expect("it starts");
    world.play(Time(0) + TimeSpan::secs(at - 0.1), false);
    let (victim, old) = leader(&world).expect("somebody leads");
    let zone = s.cluster.controllers[victim].clone();
    s.faults = (row.1)(&zone)
        .into_iter()
        .map(|what| Fault {
            at_s: Some(at),
            when: None,
            what,
        })
        .collect();
    // The same seed gives the same day up to the failure.
    let mut world = Simulated::with_policy(s, seed, policy).expect("it starts");
    world.play(Time(0) + TimeSpan::secs(at), false);
    let mut found = Found::default();
    let mut starts = 0;
    for step in 1..3000 {
        let after = f64::from(step) * 0.02;
        world.play(Time(0) + TimeSpan::secs(at + after), false);
        let new = leader(&world).filter(|(_, t)| *t > old);
        if new.is_some() && found.elected.is_none() {
            found.elected = Some(after);
            starts = world.stand().checker().starts();
        }
        if let Some((n, _)) = new {
            if world.stand().checker().starts() > starts {
                found.started.get_or_insert(after);
            }
            let node = world.nodes().find(|(m, _)| *m == n);
            let machines = node.and_then(|(_, node)| node.reporting_machine_counts());
            if machines.is_some_and(|(all, heard)| heard * 100 >= all.max(30) * 95) {
                found.heard.get_or_insert(after);
            }
        }
        if found.heard.is_some() && found.started.is_some() {
            break;
        }
    }
    found
}

fn on_threads<T: Send>(n: u64, one: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let threads = 8;
    std::thread::scope(|scope| {
        let one = &one;
        let handles: Vec<_> = (0..threads)
            .map(|k| {
                scope.spawn(move || {
                    (k..n)
                        .step_by(threads as usize)
                        .map(one)
                        .collect::<Vec<T>>()
                })
            })
            .collect();
        handles
            .into_iter()
            .flat_map(|h| h.join().expect("it ends"))
            .collect()
    })
}

fn quantile(all: impl Iterator<Item = Option<f64>>, q: f64) -> String {
    let mut all: Vec<f64> = all.map(|v| v.unwrap_or(f64::INFINITY)).collect();
    all.sort_by(f64::total_cmp);
    let v = all[((all.len() - 1) as f64 * q).round() as usize];
    if v.is_finite() {
        format!("{v:.2}")
    } else {
        "-".into()
    }
}

/// Arrivals of a healthy leader's beats at a peer for an hour, with packets lost
/// and sent again, and moments in which the network or a process is slow.
fn noise(rng: &mut StdRng) -> Vec<f64> {
    let (mut out, mut last) = (Vec::new(), 0.0);
    let mut stalled = 0.0;
    for n in 0..14_400 {
        let sent = f64::from(n) * 0.25;
        let mut delay = rng.random_range(0.0005..0.004);
        let mut again = 0.2;
        while rng.random_bool(0.05) {
            delay += again;
            again *= 2.0;
        }
        if rng.random_bool(0.0005) {
            stalled = sent + rng.random_range(0.05..0.4);
        }
        let at = f64::max(sent + delay, stalled).max(last);
        out.push(at);
        last = at;
    }
    out
}

fn false_alarms(seeds: u64) {
    println!(
        "\none peer's doubts of a leader that is well, in an hour (5 % of packets lost, stalls of up to 0.4 s), and its time to doubt one that ends, in s"
    );
    let limits = [0.5, 1.0, 3.0];
    let rows = on_threads(seeds, |seed| {
        let arrivals = noise(&mut StdRng::seed_from_u64(seed));
        let gaps: Vec<f64> = arrivals.windows(2).map(|w| w[1] - w[0]).collect();
        let fixed = limits.map(|l| gaps.iter().filter(|g| **g > l).count());
        let mut accrual = PhiAccrual::default();
        let mut doubts = 0;
        for w in arrivals.windows(2) {
            let t = |s: f64| Time(0) + TimeSpan::secs(s + 1.0);
            accrual.record_heartbeat(t(w[0]));
            let silent = w[1] - w[0] >= 0.5;
            doubts += usize::from(silent && accrual.phi(t(w[1])) >= 8.0);
        }
        let end = arrivals[arrivals.len() - 1];
        let mut after = 0.5;
        while accrual.phi(Time(0) + TimeSpan::secs(end + 1.0 + after)) < 8.0 {
            after += 0.01;
        }
        (fixed, doubts, after)
    });
    let n = seeds as f64;
    for (i, l) in limits.iter().enumerate() {
        let all: usize = rows.iter().map(|r| r.0[i]).sum();
        println!(
            "  silent for {l:.1} s: {:>8.2} doubts, {l:.2} s",
            all as f64 / n
        );
    }
    let all: usize = rows.iter().map(|r| r.1).sum();
    let after = rows.iter().map(|r| r.2).sum::<f64>() / n;
    println!(
        "  accrual, phi 8:   {:>8.2} doubts, {after:.2} s",
        all as f64 / n
    );
}

/// Leaders replaced while nothing fails, in some hours of ordinary work.
fn vain(nodes: usize, policy: &str, seeds: u64) -> u64 {
    let changes = on_threads(seeds, |seed| {
        let mut s = script(nodes);
        s.jobs[0].over_s = 3500.0;
        let mut world = Simulated::with_policy(s, seed, policy).expect("it starts");
        world.play(Time(0) + TimeSpan::secs(30.0), false);
        let (mut last, mut changes) = (leader(&world), 0);
        for minute in 1..60 {
            world.play(
                Time(0) + TimeSpan::secs(30.0 + 60.0 * f64::from(minute)),
                false,
            );
            changes += u64::from(leader(&world) != last);
            last = leader(&world);
        }
        changes
    });
    changes.iter().sum()
}

/// What opinions cost: bytes on the net and processor time.
fn costs() {
    let label = NodeId::from("controller-0");
    let token = FencingToken(123_456);
    let beat = LeaderHeartbeat {
        node_id: label.clone(),
        token,
        store_contact_age_ms: 250,
        event_loop_delay_ms: 50,
    };
    let ask = SuspicionQuery {
        token,
        store_unreachable: false,
    };
    let opinion = SuspicionVote {
        node_id: label.clone(),
        token,
        agrees: true,
        recent_agent_migrations: 3,
    };
    let bytes = [
        encode(&beat).len(),
        encode(&ask).len(),
        encode(&opinion).len(),
    ];
    println!("\nbytes of a beat, a question, an opinion, without headers: {bytes:?}");
    let mut detector = FailureDetector::new(5, 8.0);
    detector.observe(Some(&(label, token)));
    let n = 1_000_000u64;
    let begun = Instant::now();
    for i in 0..n {
        let now = Time(0) + TimeSpan::millis(50 * i);
        detector.tick(now);
        if i % 5 == 0 {
            detector.record_heartbeat(now, &beat);
        }
        let _ = std::hint::black_box(detector.next_action(now, 0));
    }
    println!(
        "a tick of a judge: {:.0} ns",
        begun.elapsed().as_nanos() as f64 / n as f64
    );
    for machines in [1_800u32, 18_000] {
        let ids: Vec<MachineId> = (0..machines)
            .map(|i| format!("host-{i:06}").as_str().into())
            .collect();
        let begun = Instant::now();
        let mut heralds = LeaderAnnouncer::new(Time(0), TimeSpan::secs(8.0));
        for id in &ids {
            heralds.add(Time(0), AnnouncementPriority::Busy, id.clone());
        }
        let mut told = 0;
        for tick in 0..200u64 {
            let now = Time(0) + TimeSpan::millis(50 * tick);
            told += heralds.take_due(now, ids.len()).len();
        }
        let herald = begun.elapsed();
        let mut kept = CacheHints::default();
        let images = vec![("image-1".into(), 7.0), ("image-2".into(), 9.0)];
        let all = ids.iter().map(|id| (id.clone(), images.clone())).collect();
        kept.record(Time(1), FencingToken(1), all, Vec::new());
        let begun = Instant::now();
        let (mut parts, mut bytes) = (0u32, 0);
        loop {
            let part = kept.next_transfer_part(FencingToken(2), 0.25);
            if part.is_empty() {
                break;
            }
            parts += 1;
            bytes += encode(&part).len();
        }
        println!(
            "{machines} machines: {told} told who leads in 10 s, {:.1} ms in all; images given back in {parts} parts of {} bytes, {:.2} ms each",
            herald.as_secs_f64() * 1e3,
            bytes / parts.max(1) as usize,
            begun.elapsed().as_secs_f64() * 1e3 / f64::from(parts.max(1)),
        );
    }
}

fn main() {
    let seeds = std::env::args().skip(1).find_map(|a| a.parse().ok());
    let seeds: u64 = seeds.unwrap_or(10);
    let lease = DEFAULT_SCRIPT.replace("doubt = 8.0", "doubt = 0.0");
    println!("seconds from the failure of the leader, median and 95 % of {seeds} seeds");
    println!(
        "{:30} {:>5} {:>9} {:>13} {:>13} {:>13}",
        "what happens to it", "nodes", "decides", "successor", "its first start", "95 % heard"
    );
    for row in &ROWS {
        for nodes in [3, 5] {
            for (by, policy) in [("lease", lease.as_str()), ("doubt", DEFAULT_SCRIPT)] {
                let found = on_threads(seeds, |seed| play(nodes, row, policy, seed));
                let two = |of: fn(&Found) -> Option<f64>| {
                    let q = |q| quantile(found.iter().map(of), q);
                    format!("{:>6}{:>7}", q(0.5), q(0.95))
                };
                println!(
                    "{:30} {nodes:>5} {by:>9} {} {} {}",
                    row.0,
                    two(|f| f.elected),
                    two(|f| f.started),
                    two(|f| f.heard)
                );
            }
        }
    }
    for nodes in [3, 5] {
        let n = seeds.min(24);
        println!(
            "leaders replaced in {n} hours in which nothing fails, {nodes} nodes: {}",
            vain(nodes, DEFAULT_SCRIPT, n)
        );
    }
    false_alarms(seeds);
    costs();
}
