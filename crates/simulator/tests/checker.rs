//! Tests of the checker itself: for each invariant a forged history violates it, and the
//! checker reports that invariant; the history without the forgery passes.

mod common;
use common::{cluster, jobs};
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_controller::wire::users::{JobStage, Submission};
use pebblefold_simulator::checker::{Checker, HistoryEvent, Invariant, RequestKind};
use pebblefold_simulator::script::JobShape;
use pebblefold_simulator::users::plan;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn t(s: f64) -> Time {
    Time(0) + TimeSpan::secs(s)
}

/// Builds a history of one job with two tasks, and two machines in different zones.
struct HistoryBuilder(Checker);

impl HistoryBuilder {
    fn new(change: impl Fn(&mut Submission)) -> HistoryBuilder {
        let mut script = cluster(3, 3, 6, 14, 300.0);
        script.jobs = vec![jobs(JobShape::Array, 1, 2.0)];
        let mut spec = plan(&script, &mut StdRng::seed_from_u64(1)).remove(0).spec;
        change(&mut spec);
        let mut c = Checker::new(&script.cluster);
        c.add_job(spec);
        for (machine, zone, spot) in [("host-1", "z0", false), ("host-2", "z1", true)] {
            let (machine, zone, kind) = (machine.into(), zone.into(), "g4".into());
            c.record(
                t(0.0),
                HistoryEvent::MachineUp {
                    machine,
                    zone,
                    kind,
                    spot,
                },
            );
        }
        HistoryBuilder(c)
    }

    fn answered(
        &mut self,
        s: f64,
        what: RequestKind,
        status: u16,
        stage: Option<JobStage>,
    ) -> &mut Self {
        self.answered_for("wk-000001", s, what, status, stage)
    }

    fn answered_for(
        &mut self,
        job: &str,
        s: f64,
        what: RequestKind,
        status: u16,
        stage: Option<JobStage>,
    ) -> &mut Self {
        let job = job.to_string();
        self.0.record(
            t(s),
            HistoryEvent::RequestSent {
                job: job.clone(),
                what,
            },
        );
        let (asked, status) = (t(s), Some(status));
        self.0.record(
            t(s + 0.1),
            HistoryEvent::RequestOutcome {
                job,
                what,
                asked,
                status,
                stage,
            },
        );
        self
    }

    fn placed(&mut self, s: f64, task: u32, machine: &str) -> &mut Self {
        let (task, machine, attempt) = (format!("wk-000001/{task}"), machine.into(), 1);
        self.0.record(
            t(s),
            HistoryEvent::TaskPlaced {
                machine,
                task: task.clone(),
                attempt,
            },
        );
        self.0.record(t(s), HistoryEvent::TaskRunning { task });
        self
    }

    fn completed(&mut self, s: f64, task: u32, machine: &str) -> &mut Self {
        let (task, machine, attempt) = (format!("wk-000001/{task}"), machine.into(), 1);
        self.0
            .record(t(s), HistoryEvent::TaskCompleted { task: task.clone() });
        self.0.record(
            t(s),
            HistoryEvent::TaskRemoved {
                machine,
                task,
                attempt,
                why: "complete",
            },
        );
        self
    }

    fn accepted(&mut self) -> &mut Self {
        self.answered(1.0, RequestKind::Submit, 201, Some(JobStage::Queued))
    }

    fn job_done(&mut self) -> &mut Self {
        self.accepted()
            .placed(3.0, 0, "host-1")
            .placed(3.0, 1, "host-2");
        self.completed(9.0, 0, "host-1").completed(9.0, 1, "host-2");
        self.answered(12.0, RequestKind::Poll, 200, Some(JobStage::Done))
    }

    fn finish_and_list(&mut self, end: f64) -> Vec<Invariant> {
        self.0.finish(t(end));
        self.0.breaches().iter().map(|b| b.rule).collect()
    }
}

fn history() -> HistoryBuilder {
    HistoryBuilder::new(|_| {})
}

#[test]
fn accepts_a_history_without_violations() {
    assert_eq!(history().job_done().finish_and_list(100.0), []);
    let mut cancelled = history();
    cancelled.accepted().placed(3.0, 0, "host-1");
    cancelled.answered(5.0, RequestKind::Cancel, 200, Some(JobStage::Cancelled));
    let (machine, task, why) = ("host-1".into(), "wk-000001/0".into(), "stopped");
    cancelled.0.record(
        t(44.0),
        HistoryEvent::TaskRemoved {
            machine,
            task,
            attempt: 1,
            why,
        },
    );
    assert_eq!(cancelled.finish_and_list(200.0), []);
}

#[test]
fn reports_each_violated_invariant() {
    let cases: Vec<(Invariant, Vec<Invariant>)> = vec![
        (
            Invariant::RanTwice,
            history()
                .accepted()
                .placed(2.0, 0, "host-1")
                .placed(3.0, 0, "host-2")
                .finish_and_list(9.0),
        ),
        (
            Invariant::WrongPlace,
            HistoryBuilder::new(|j| j.spot = false)
                .accepted()
                .placed(2.0, 0, "host-2")
                .finish_and_list(9.0),
        ),
        (
            Invariant::WrongPlace,
            HistoryBuilder::new(|j| j.zone = Some("z1".into()))
                .accepted()
                .placed(2.0, 0, "host-1")
                .finish_and_list(9.0),
        ),
        (
            Invariant::WrongPlace,
            HistoryBuilder::new(|j| j.kinds = Some(vec!["big".into()]))
                .accepted()
                .placed(2.0, 0, "host-1")
                .finish_and_list(9.0),
        ),
        (
            Invariant::WrongPlace,
            HistoryBuilder::new(|j| j.one_zone = true)
                .accepted()
                .placed(2.0, 0, "host-1")
                .placed(2.0, 1, "host-2")
                .finish_and_list(9.0),
        ),
        (
            Invariant::WrongPlace,
            HistoryBuilder::new(|j| j.spread = true)
                .accepted()
                .placed(2.0, 0, "host-1")
                .placed(2.0, 1, "host-1")
                .finish_and_list(9.0),
        ),
        (
            Invariant::Quota,
            HistoryBuilder::new(|j| j.gpus = 21.0)
                .accepted()
                .placed(2.0, 0, "host-1")
                .placed(2.0, 1, "host-2")
                .finish_and_list(9.0),
        ),
        (
            Invariant::RanCancelled,
            history()
                .accepted()
                .placed(2.0, 0, "host-1")
                .answered(3.0, RequestKind::Cancel, 200, Some(JobStage::Cancelled))
                .finish_and_list(44.0),
        ),
        (
            Invariant::RanCancelled,
            history()
                .accepted()
                .answered(3.0, RequestKind::Cancel, 200, Some(JobStage::Cancelled))
                .placed(44.0, 0, "host-1")
                .finish_and_list(44.0),
        ),
        (
            Invariant::Forgotten,
            history()
                .job_done()
                .answered(20.0, RequestKind::Poll, 404, None)
                .finish_and_list(30.0),
        ),
        (
            Invariant::Forgotten,
            history()
                .job_done()
                .answered(20.0, RequestKind::Submit, 422, None)
                .finish_and_list(30.0),
        ),
        (
            Invariant::Invented,
            history()
                .job_done()
                .answered_for(
                    "wk-900000",
                    20.0,
                    RequestKind::Poll,
                    200,
                    Some(JobStage::Queued),
                )
                .finish_and_list(30.0),
        ),
        (
            Invariant::NotDone,
            history()
                .accepted()
                .placed(3.0, 0, "host-1")
                .completed(9.0, 0, "host-1")
                .answered(12.0, RequestKind::Poll, 200, Some(JobStage::Done))
                .finish_and_list(30.0),
        ),
        (
            Invariant::WentBack,
            history()
                .job_done()
                .answered(20.0, RequestKind::Poll, 200, Some(JobStage::Running))
                .finish_and_list(30.0),
        ),
        (
            Invariant::WentBack,
            history()
                .job_done()
                .answered(20.0, RequestKind::Cancel, 200, Some(JobStage::Cancelled))
                .finish_and_list(30.0),
        ),
        (
            Invariant::WentBack,
            history()
                .accepted()
                .answered(5.0, RequestKind::Poll, 200, Some(JobStage::Cancelled))
                .finish_and_list(30.0),
        ),
        (
            Invariant::NothingRan,
            history()
                .accepted()
                .answered(3.0, RequestKind::Cancel, 200, Some(JobStage::Cancelled))
                .finish_and_list(30.0),
        ),
        (
            Invariant::Unfinished,
            history()
                .accepted()
                .placed(3.0, 0, "host-1")
                .finish_and_list(30.0),
        ),
        (
            Invariant::Protocol,
            history()
                .answered(1.0, RequestKind::Submit, 400, None)
                .finish_and_list(30.0),
        ),
    ];
    for (i, (rule, found)) in cases.into_iter().enumerate() {
        assert!(found.contains(&rule), "case {i}: {rule} among {found:?}");
    }
}

// Every poll for a job fails for 90 s while most other polls are answered.
#[test]
fn reports_a_job_whose_polls_all_fail() {
    let polls = |answered: bool| {
        let mut s = history();
        s.job_done();
        for i in 0..25 {
            let at = 20.0 + 5.0 * f64::from(i);
            s.answered(at, RequestKind::Poll, 503, None);
            for _ in 0..2 {
                let mut others = |status| {
                    let (job, what) = ("wk-000001".to_string(), RequestKind::Poll);
                    let (asked, status) = (t(at), Some(status));
                    s.0.record(
                        t(at),
                        HistoryEvent::RequestOutcome {
                            job,
                            what,
                            asked,
                            status,
                            stage: None,
                        },
                    );
                };
                // Polls for a job that was never submitted count as other polls.
                if answered {
                    s.answered_for("wk-900000", at, RequestKind::Poll, 404, None);
                } else {
                    others(503);
                }
            }
            s.0.check_elapsed(t(at));
        }
        s.finish_and_list(150.0)
    };
    assert!(
        polls(false).is_empty(),
        "an outage that fails all polls is no violation"
    );
    assert_eq!(polls(true), [Invariant::Forgotten]);
}

#[test]
fn history_of_a_job_lists_only_its_events() {
    let mut s = history();
    s.job_done();
    s.answered_for("wk-900000", 20.0, RequestKind::Poll, 404, None);
    let lines = s.0.history_of("wk-000001");
    assert_eq!(lines.len(), 12, "{lines:#?}");
    assert!(lines[3].contains("wk-000001/0 runs"), "{lines:#?}");
}

// A job that cannot run must be refused: with the expected status, with 429, or by a
// controller that cannot decide at the moment.
#[test]
fn jobs_that_cannot_run_must_be_refused() {
    let violations = |wanted: u16, status: Option<u16>| {
        let mut s = history();
        s.job_done();
        let job = "wk-800001".into();
        s.0.record(
            t(5.0),
            HistoryEvent::InvalidRequestOutcome {
                job,
                wanted,
                status,
            },
        );
        s.finish_and_list(9.0)
    };
    for status in [Some(400), Some(503), Some(429), None] {
        assert_eq!(violations(400, status), [], "{status:?}");
    }
    assert_eq!(violations(422, Some(422)), []);
    assert_eq!(violations(422, Some(201)), [Invariant::Invented]);
    assert_eq!(violations(400, Some(200)), [Invariant::Invented]);
    assert_eq!(violations(422, Some(400)), [Invariant::Protocol]);
    assert_eq!(violations(400, Some(404)), [Invariant::Protocol]);
}

// Whether an answer is a violation depends on when its request was sent: a poll sent before
// the user knew of the acceptance may be answered 404, one sent later may not. Of several
// polls sent at the same time, one answer is enough.
#[test]
fn evaluates_answers_by_their_request_time() {
    let poll = |s: &mut HistoryBuilder, asked: f64, answered_at: f64, status: u16| {
        let (job, what) = ("wk-000001".to_string(), RequestKind::Poll);
        let (status, stage) = (Some(status), (status == 200).then_some(JobStage::Queued));
        let asked = t(asked);
        s.0.record(
            t(answered_at),
            HistoryEvent::RequestOutcome {
                job,
                what,
                asked,
                status,
                stage,
            },
        );
    };
    let mut early = history();
    early.answered(1.0, RequestKind::Submit, 201, Some(JobStage::Queued));
    poll(&mut early, 0.9, 1.2, 404);
    assert_eq!(early.0.breaches().len(), 0);
    poll(&mut early, 1.2, 1.3, 404);
    assert_eq!(early.0.breaches()[0].rule, Invariant::Forgotten);
    for answered in [true, false] {
        let mut s = history();
        s.answered(1.0, RequestKind::Submit, 201, Some(JobStage::Queued));
        if answered {
            poll(&mut s, 2.0, 2.01, 200);
        }
        poll(&mut s, 2.0, 2.02, 503);
        for n in 0..40 {
            // Most of the other polls are answered.
            let at = 2.5 + 2.5 * f64::from(n);
            for _ in 0..3 {
                s.answered_for("wk-900001", at, RequestKind::Poll, 404, None);
            }
            s.0.check_elapsed(t(at));
        }
        let forgotten =
            s.0.breaches()
                .iter()
                .any(|b| b.rule == Invariant::Forgotten);
        assert_eq!(forgotten, !answered);
    }
}
