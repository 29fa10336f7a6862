//! What users are told: at all nodes, within milliseconds, whatever became of the
//! transactions that it rests on.

use super::*;
use pebblefold_simulator::checker::RequestKind;
use pebblefold_simulator::script::Jobs;

/// Jobs of one short task, so many a second, a quarter of them called off.
pub fn short_jobs(count: u32, over_s: f64) -> Jobs {
    let mut short = jobs(JobShape::Array, count, 1.0);
    (short.over_s, short.run_s) = (over_s, Spread::Between(3.0, 9.0));
    short.cancelled = 0.25;
    short
}

/// Questions asked within so many milliseconds after somebody was told that their job is
/// accepted, done or cancelled, by what they were answered.
fn close_answers(world: &Simulated, within_ms: u64) -> usize {
    let mut news: BTreeMap<&str, Time> = BTreeMap::new();
    let mut answers = 0;
    for (at, seen) in world.stand().checker().history() {
        let HistoryEvent::RequestOutcome {
            job,
            what,
            asked,
            stage: Some(stage),
            ..
        } = seen
        else {
            continue;
        };
        let close = |t: &Time| asked >= t && asked.since(*t) <= TimeSpan::millis(within_ms);
        answers += usize::from(news.get(job.as_str()).is_some_and(close));
        let ends = matches!(stage, JobStage::Done | JobStage::Cancelled);
        if ends || *what == RequestKind::Submit {
            news.insert(job, *at);
        }
    }
    answers
}

/// Users look closely while the state service is slow and leaders end; of some
/// transactions only the answer is lost, and some jobs are called off at their end.
fn close_looks(seed: u64) -> Simulated {
    let mut s = cluster(3, 3, 9, 12, 150.0);
    s.jobs.push(short_jobs(120, 90.0));
    s.faults.push(at(1.0, What::CloseLooks { for_s: 130.0 }));
    let (share, for_s) = (0.3, 90.0);
    s.faults.push(at(1.0, What::CancelAtEnd { share, for_s }));
    let (delay_s, for_s) = (0.2, 25.0);
    s.faults.push(at(30.0, What::StateSlow { delay_s, for_s }));
    for t in [40.0, 70.0] {
        s.faults.push(at(t, kill(0.2)));
    }
    let (share, at_once, for_s) = (0.15, true, 30.0);
    s.faults.push(at(
        60.0,
        What::LateWrites {
            share,
            at_once,
            for_s,
        },
    ));
    Simulated::new(s, seed).unwrap()
}

// Users ask at all nodes within milliseconds, and submit again, after a job was accepted,
// ended or called off; some call off at once: no node answers older.
#[test]
fn no_node_answers_older_however_soon_it_is_asked() {
    let day = |seed| {
        played(close_looks(seed), 150.0, 100.0, |w| {
            close_answers(w, 5) > 200
        })
    };
    guarded(SafetyCheck::NonFinalAnswersAreFresh, "went_back", 1..4, day);
}

// Who submits again after a cancellation finds the job there. That was once no reason to
// look what has become of it.
#[test]
fn a_repeated_submission_is_answered_by_what_is_read() {
    let day = |seed| {
        played(close_looks(seed), 150.0, 100.0, |w| {
            close_answers(w, 5) > 200
        })
    };
    guarded(
        SafetyCheck::ConflictingSubmissionIsRead,
        "went_back",
        1..4,
        day,
    );
}

/// Transactions without an answer, carried out at once or late, while users look closely.
fn answers_lost(seed: u64, at_once: bool) -> Simulated {
    let mut s = cluster(3, 3, 9, 12, 200.0);
    let mut work = jobs(JobShape::Array, 30, 4.0);
    (work.over_s, work.run_s, work.cancelled) = (90.0, Spread::Between(6.0, 25.0), 0.3);
    s.jobs.push(work);
    s.jobs.push(short_jobs(60, 90.0));
    let (share, for_s) = (0.25, 100.0);
    s.faults.push(at(
        3.0,
        What::LateWrites {
            share,
            at_once,
            for_s,
        },
    ));
    s.faults.push(at(3.0, What::CloseLooks { for_s: 100.0 }));
    for t in [30.0, 60.0, 80.0] {
        s.faults.push(at(t, kill(0.1)));
    }
    Simulated::new(s, seed).unwrap()
}

// A transaction is carried out and only its answer lost, while others read it: a repeat
// finds its own first copy, and what has become of the job since.
#[test]
fn a_repeat_that_finds_its_own_first_copy_reads_what_became_of_it() {
    let day = |seed| {
        played(answers_lost(seed, true), 200.0, 100.0, |w| {
            w.stand().answers_lost() > 30 && close_answers(w, 50) > 100
        })
    };
    guarded(
        SafetyCheck::ConflictingSubmissionIsRead,
        "went_back",
        1..4,
        day,
    );
}

// And where it may not have been carried out after all: what nobody has answered is not
// told to anybody as a fact.
#[test]
fn a_transaction_without_an_answer_is_no_fact() {
    let day = |seed| {
        played(answers_lost(seed, false), 200.0, 100.0, |w| {
            close_answers(w, 50) > 100
        })
    };
    guarded(
        SafetyCheck::LostTransactionIsUnknown,
        "forgotten",
        1..4,
        day,
    );
}

// A cancellation, a question or a repeated submission meets the end of a job's last task,
// with no other trouble: one transaction decides, and every node says the same from then on.
#[test]
fn one_end_decides() {
    let day = |seed| {
        let mut s = cluster(3, 3, 9, 12, 120.0);
        let mut short = short_jobs(80, 70.0);
        short.cancelled = 0.0;
        s.jobs.push(short);
        let (share, for_s) = (0.8, 100.0);
        s.faults.push(at(1.0, What::CancelAtEnd { share, for_s }));
        s.faults.push(at(1.0, What::CloseLooks { for_s: 100.0 }));
        // Ends meet cancellations for as long as the leader does not hear of them.
        let (delay_s, for_s) = (0.15, 100.0);
        s.faults.push(at(1.0, What::StateSlow { delay_s, for_s }));
        let world = Simulated::new(s, seed).unwrap();
        played(world, 120.0, 110.0, |w| {
            let (_, done, cancelled, _) = w.stand().checker().counts();
            done > 5 && cancelled > 5
        })
    };
    guarded(SafetyCheck::OneOutcomeIsCommitted, "went_back", 1..5, day);
}

// The state service answers slowly, refuses the leader alone and is then out for longer
// than `cancel_s`, while users call off, ask at all nodes and submit again.
#[test]
fn slow_answers_are_no_older_ones() {
    let day = |seed| {
        let mut s = cancelled_in_turn(200.0);
        s.jobs.push(short_jobs(60, 80.0));
        s.faults.push(at(1.0, What::CloseLooks { for_s: 180.0 }));
        let (delay_s, for_s) = (0.4, 40.0);
        s.faults.push(at(10.0, What::StateSlow { delay_s, for_s }));
        let (nodes, for_s) = (Nodes::Leader, 12.0);
        s.faults.push(at(55.0, What::StateRefuses { nodes, for_s }));
        s.faults.push(at(57.0, What::StateOut { for_s: 50.0 }));
        let world = Simulated::new(s, seed).unwrap();
        played(world, 200.0, 56.0, |w| {
            close_answers(w, 5) > 50 && cancelled(w).len() > 8
        })
    };
    guarded(SafetyCheck::NonFinalAnswersAreFresh, "went_back", 1..4, day);
}

// Repeats of unfinished jobs, also without a field, cancels of jobs that are done, and jobs
// that fit no machine or lack a field, while leaders end: an accepted job is never called
// malformed, what cannot run is never accepted, and a done job stays done.
#[test]
fn odd_requests_change_nothing() {
    for seed in 1..5 {
        let mut s = cluster(3, 3, 9, 12, 150.0);
        s.jobs.push(short_jobs(80, 90.0));
        let mut long = jobs(JobShape::Array, 6, 3.0);
        long.run_s = Spread::Fixed(30.0);
        s.jobs.push(long);
        s.faults.push(at(3.0, What::OddRequests { for_s: 120.0 }));
        for t in [30.0, 60.0] {
            s.faults.push(at(t, kill(0.1)));
        }
        let (nodes, for_s) = (Nodes::All, 0.1);
        s.faults.push(at(75.0, What::Kill { nodes, for_s }));
        let mut world = Simulated::new(s, seed).unwrap();
        world.play(secs(150.0), false);
        let mut odd: BTreeMap<Option<u16>, usize> = BTreeMap::new();
        for (_, seen) in world.stand().checker().history() {
            if let HistoryEvent::InvalidRequestOutcome { status, .. } = seen {
                *odd.entry(*status).or_default() += 1;
            }
        }
        let n = |s| odd.get(&Some(s)).copied().unwrap_or(0);
        assert!(n(400) > 10 && n(422) > 10, "seed {seed}: {odd:?}");
        let breaches = world.stand().checker().breaches();
        assert!(breaches.is_empty(), "seed {seed}: {breaches:?}");
    }
}
