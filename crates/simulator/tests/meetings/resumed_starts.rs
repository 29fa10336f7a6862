//! Starts that a new leader finds in the records, and those stored in the quota that
//! earlier ones have left since.

use super::*;

/// What the red team may use, in GPUs: six machines and a half.
const RED_LIMIT_GPUS: f64 = 26.0;
/// Operations a second that the key-value store takes: little more than the small jobs'
/// starts need, so that removals without starts are stored late.
const WRITE_RPS: f64 = 26.0;
const LENGTH_S: f64 = 260.0;

/// All controllers end when a start of the red team is stored, before its leader knows.
fn end_all_at_start(after_s: f64) -> Fault {
    let when = When {
        moment: Moment::StartCommitted,
        class: Some("urgent".into()),
        nth: 1,
        after_s,
    };
    let (nodes, for_s) = (Nodes::All, 0.2);
    Fault {
        at_s: None,
        when: Some(when),
        what: What::Kill { nodes, for_s },
    }
}

/// A team at its limit whose gangs lose tasks on machines that hang, others of the team
/// that take their quota, and a stream of small jobs of another team.
fn gangs_at_the_limit() -> Script {
    let mut s = cluster(3, 3, 24, 24, LENGTH_S);
    (s.cluster.teams[0].gpus, s.cluster.teams[0].gpus_max) = (8.0, RED_LIMIT_GPUS);
    let mut small = jobs(JobShape::Array, 700, 1.0);
    (small.over_s, small.run_s) = (140.0, Spread::Between(2.0, 4.0));
    (small.gpus, small.cpus) = (0.0, 1.0);
    (small.team, small.class) = ("blue".into(), "small".into());
    s.jobs.push(small);
    for tasks in [3.0, 2.0] {
        let mut gangs = jobs(JobShape::Gang, 14, tasks);
        (gangs.gpus, gangs.over_s) = (4.0, 60.0);
        gangs.run_s = Spread::Between(20.0, 40.0);
        s.jobs.push(gangs);
    }
    let limits = What::StateLimits {
        value_kb: 8.0,
        txn_ops: 8,
        write_rps: WRITE_RPS,
        for_s: 0.0,
    };
    s.faults.push(at(5.0, limits));
    for n in 0..14 {
        let t = 20.0 + 10.0 * f64::from(n);
        let (count, that, for_s) = (3, false, 6.0);
        s.faults.push(at(t, What::Hang { count, that, for_s }));
        s.faults.push(end_all_at_start(t + 4.0));
    }
    s
}

// A leader places a gang in the quota that another has left; the start is stored, the
// removal is not yet, and all controllers end. The next leader finds both.
#[test]
fn a_failover_resumes_nothing_beyond_a_limit() {
    let day = |seed| {
        let mut world = Simulated::new(gangs_at_the_limit(), seed).unwrap();
        let mut reached = false;
        for second in 0..LENGTH_S as u32 {
            world.play(secs(f64::from(second)), false);
            let mut nodes = world.nodes();
            reached |= nodes.any(|(_, node)| node.starts_withdrawn_for_quota() > 0);
        }
        let (broken, _) = played(world, LENGTH_S, LENGTH_S, |_| true);
        (broken, reached)
    };
    let off = SafetyCheck::ResumedStartsNeedQuota;
    guarded(off, "quota", 1..12, day);
}
