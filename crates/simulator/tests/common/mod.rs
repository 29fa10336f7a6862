//! Small clusters for the tests, and days with random jobs and troubles.
#![allow(dead_code, reason = "each test program uses a part")]

use pebblefold_simulator::report::Verdict;
use pebblefold_simulator::script::{CutMode, Nodes, Side};
use pebblefold_simulator::script::{Fault, JobPriority, JobShape, Jobs, Script, Spread, What};
use pebblefold_simulator::simulated::Simulated;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A cluster of so many controllers and zones, machines in turn.
pub fn cluster(nodes: usize, zones: usize, up: u32, capacity: u32, length_s: f64) -> Script {
    let zone = |i: usize| format!("\"z{}\"", i % zones);
    let list = |n: usize| (0..n).map(zone).collect::<Vec<_>>().join(", ");
    let machines: Vec<String> = (0..zones)
        .flat_map(|z| [(z, false, 2), (z, true, 1)])
        .map(|(z, spot, share)| {
            let part = |n: u32| (n * share).div_ceil(3 * zones as u32);
            format!(
                "{{ kind = \"g4\", zone = \"z{z}\", spot = {spot}, capacity = {}, up = {} }}",
                part(capacity),
                part(up).min(part(capacity))
            )
        })
        .collect();
    let text = format!(
        r#"
name = "day"
length_s = {length_s}
[cluster]
zones = [{}]
controllers = [{}]
kinds = [{{ name = "g4", cpus = 16, gpus = 4, memory_gb = 128, cache_gb = 40, fetch_gb_per_s = 2.0, price = 4.0, spot_price = 1.0, boot_s = 6 }}]
machines = [{}]
teams = [
  {{ name = "red", gpus = 16, gpus_max = 40 }},
  {{ name = "blue", gpus = 16, gpus_max = 32 }},
]
aims = [{{ kind = "wait", class = "urgent", within_s = 18, share = 0.9 }}]
cloud = {{ rps = 6.0, list_lag_s = 4.0, never_up = 0.0, slow_boot = 0.0 }}
"#,
        list(zones),
        list(nodes),
        machines.join(", ")
    );
    Script::parse("day", &text).unwrap_or_else(|e| panic!("{e:?}"))
}

/// Jobs of one-GPU tasks.
pub fn jobs(shape: JobShape, count: u32, tasks: f64) -> Jobs {
    Jobs {
        class: "urgent".into(),
        team: "red".into(),
        priority: JobPriority::Normal,
        shape,
        count,
        from_s: 2.0,
        over_s: 0.0,
        tasks: Spread::Fixed(tasks),
        cpus: 4.0,
        gpus: 1.0,
        memory_gb: 16.0,
        images: 1,
        image_gb: 6.0,
        run_s: Spread::Fixed(30.0),
        guess: Spread::Fixed(1.0),
        checkpoint_s: 0.0,
        save_s: 0.0,
        one_zone: false,
        spread: false,
        spot: true,
        zone: None,
        deadline: None,
        cancelled: 0.0,
        cancel_after_s: None,
        mistaken: false,
    }
}

/// A mix of jobs over the first `seconds`.
pub fn mix(script: &mut Script, rng: &mut StdRng, seconds: f64, count: u32) {
    for i in 0..count {
        let shape = [
            JobShape::Array,
            JobShape::Gang,
            JobShape::Array,
            JobShape::Service,
        ][i as usize % 4];
        let mut j = jobs(shape, 1, f64::from(rng.random_range(1u32..6)));
        j.from_s = 2.0 + f64::from(i) * seconds / f64::from(count);
        j.images = 4;
        j.team = if rng.random_bool(0.4) { "blue" } else { "red" }.into();
        j.priority =
            [JobPriority::Low, JobPriority::Normal, JobPriority::High][rng.random_range(0..3)];
        j.gpus = f64::from(rng.random_range(1u32..3));
        j.run_s = Spread::Fixed(f64::from(rng.random_range(5u32..40)));
        match shape {
            JobShape::Gang => {
                j.gpus = 4.0;
                j.tasks = Spread::Fixed(j.tasks.least().min(3.0));
                j.one_zone = rng.random_bool(0.5);
            }
            JobShape::Service => {
                j.tasks = Spread::Fixed(2.0);
                j.spread = true;
                j.run_s = Spread::Fixed(f64::from(rng.random_range(10u32..60)));
            }
            JobShape::Array => {}
        }
        j.spot = rng.random_bool(0.7);
        if rng.random_bool(0.4) {
            (j.checkpoint_s, j.save_s) = (10.0, 1.0);
        }
        j.cancelled = if rng.random_bool(0.25) { 1.0 } else { 0.0 };
        script.jobs.push(j);
    }
}

/// A fault at a time.
pub fn at(at_s: f64, what: What) -> Fault {
    Fault {
        at_s: Some(at_s),
        when: None,
        what,
    }
}

/// `count` troubles of any kind between two seconds.
pub fn trouble(script: &mut Script, rng: &mut StdRng, from: f64, to: f64, count: u32) {
    let n = script.cluster.controllers.len() as u32;
    for _ in 0..count {
        let node = rng.random_range(0..n);
        let for_s = f64::from(rng.random_range(3u32..25));
        let other = (node + 1) % n;
        let cut = |a, b, mode| What::Cut {
            a,
            b,
            one_way: false,
            mode,
            for_s,
        };
        let what = match rng.random_range(0..20) {
            0 => What::Kill {
                nodes: Nodes::Number(node),
                for_s: 5.0,
            },
            1 | 2 => What::Kill {
                nodes: Nodes::Leader,
                for_s: 5.0,
            },
            3 => What::StateOut { for_s },
            4 => What::StateRefuses {
                nodes: Nodes::Number(node),
                for_s,
            },
            5 => What::StateRefuses {
                nodes: Nodes::Leader,
                for_s,
            },
            6 => What::CloudOut { for_s: 2.0 * for_s },
            7 | 8 => What::Hang {
                count: 1,
                that: false,
                for_s,
            },
            9 => What::SpotTaken {
                share: 0.2,
                notice_s: 8.0,
            },
            10 => What::Vanish {
                count: 1,
                that: false,
                zone: None,
            },
            11 => cut(
                Side::Controller(node),
                Side::Controller(other),
                if rng.random_bool(0.5) {
                    CutMode::Hold
                } else {
                    CutMode::Lose
                },
            ),
            12 => cut(Side::Controller(node), Side::State, CutMode::Hold),
            13 => cut(Side::Leader, Side::State, CutMode::Hold),
            14 => cut(Side::Leader, Side::Machines, CutMode::Lose),
            15 => What::StateKilled {
                for_s: 2.0,
                last_write: Default::default(),
            },
            16 => What::Pause {
                nodes: Nodes::Leader,
                for_s,
            },
            17 => What::StateSlow {
                delay_s: 0.3,
                for_s,
            },
            18 => cut(Side::Leader, Side::Machines, CutMode::Reset),
            _ => cut(Side::Zone("z0".into()), Side::Controllers, CutMode::Hold),
        };
        script.faults.push(at(rng.random_range(from..to), what));
    }
}

/// A small rough day.
pub fn rough(seed: u64) -> Verdict {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut s = cluster(3, 3, 6, 14, 460.0);
    mix(&mut s, &mut rng, 150.0, 40);
    trouble(&mut s, &mut rng, 10.0, 170.0, 14);
    rehearse(s, seed)
}

/// Plays a script.
pub fn rehearse(script: Script, seed: u64) -> Verdict {
    Simulated::new(script, seed).unwrap().rehearse()
}

/// Fails with the whole verdict if a rule was broken.
pub fn sound(v: &Verdict, seed: u64) {
    assert!(v.passed, "seed {seed}: {}", v.text());
}
