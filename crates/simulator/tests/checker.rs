//! The checker proves itself: each rule is broken once by a forged history, and
//! named; the same history without the forgery is sound.

mod common;
use common::{cluster, jobs};
use pebblefold_controller::types::{Time, TimeSpan};
use pebblefold_controller::wire::users::{JobStage, Submission};
use pebblefold_simulator::checker::{Ask, Checker, Rule, Seen};
use pebblefold_simulator::script::JobShape;
use pebblefold_simulator::users::plan;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn t(s: f64) -> Time {
    Time(0) + TimeSpan::secs(s)
}

/// A history under way: one job of two tasks, two machines in zones of their own.
struct Story(Checker);

impl Story {
    fn new(change: impl Fn(&mut Submission)) -> Story {
        let mut script = cluster(3, 3, 6, 14, 300.0);
        script.jobs = vec![jobs(JobShape::Array, 1, 2.0)];
        let mut spec = plan(&script, &mut StdRng::seed_from_u64(1)).remove(0).spec;
        change(&mut spec);
        let mut c = Checker::new(&script.cluster);
        c.expect(spec);
        for (machine, zone, spot) in [("host-1", "z0", false), ("host-2", "z1", true)] {
            let (machine, zone, kind) = (machine.into(), zone.into(), "g4".into());
            c.hear(
                t(0.0),
                Seen::Machine {
                    machine,
                    zone,
                    kind,
                    spot,
                },
            );
        }
        Story(c)
    }

    fn told(&mut self, s: f64, what: Ask, status: u16, stage: Option<JobStage>) -> &mut Self {
        self.told_of("wk-000001", s, what, status, stage)
    }

    fn told_of(
        &mut self,
        job: &str,
        s: f64,
        what: Ask,
        status: u16,
        stage: Option<JobStage>,
    ) -> &mut Self {
        let job = job.to_string();
        self.0.hear(
            t(s),
            Seen::Asked {
                job: job.clone(),
                what,
            },
        );
        let (asked, status) = (t(s), Some(status));
        self.0.hear(
            t(s + 0.1),
            Seen::Told {
                job,
                what,
                asked,
                status,
                stage,
            },
        );
        self
    }

    fn on(&mut self, s: f64, task: u32, machine: &str) -> &mut Self {
        let (task, machine, attempt) = (format!("wk-000001/{task}"), machine.into(), 1);
        self.0.hear(
            t(s),
            Seen::On {
                machine,
                task: task.clone(),
                attempt,
            },
        );
        self.0.hear(t(s), Seen::Runs { task });
        self
    }

    fn done(&mut self, s: f64, task: u32, machine: &str) -> &mut Self {
        let (task, machine, attempt) = (format!("wk-000001/{task}"), machine.into(), 1);
        self.0.hear(t(s), Seen::Done { task: task.clone() });
        self.0.hear(
            t(s),
            Seen::Off {
                machine,
                task,
                attempt,
                why: "complete",
            },
        );
        self
    }

    fn accepted(&mut self) -> &mut Self {
        self.told(1.0, Ask::Submit, 201, Some(JobStage::Queued))
    }

    fn served(&mut self) -> &mut Self {
        self.accepted().on(3.0, 0, "host-1").on(3.0, 1, "host-2");
        self.done(9.0, 0, "host-1").done(9.0, 1, "host-2");
        self.told(12.0, Ask::Poll, 200, Some(JobStage::Done))
    }

    fn rules(&mut self, end: f64) -> Vec<Rule> {
        self.0.finish(t(end));
        self.0.breaches().iter().map(|b| b.rule).collect()
    }
}

fn story() -> Story {
    Story::new(|_| {})
}

#[test]
fn a_sound_history_breaks_no_rule() {
    assert_eq!(story().served().rules(100.0), []);
    let mut cancelled = story();
    cancelled.accepted().on(3.0, 0, "host-1");
    cancelled.told(5.0, Ask::Cancel, 200, Some(JobStage::Cancelled));
    let (machine, task, why) = ("host-1".into(), "wk-000001/0".into(), "stopped");
    cancelled.0.hear(
        t(44.0),
        Seen::Off {
            machine,
            task,
            attempt: 1,
            why,
        },
    );
    assert_eq!(cancelled.rules(200.0), []);
}

#[test]
fn every_rule_is_noticed_when_it_breaks() {
    let cases: Vec<(Rule, Vec<Rule>)> = vec![
        (
            Rule::RanTwice,
            story()
                .accepted()
                .on(2.0, 0, "host-1")
                .on(3.0, 0, "host-2")
                .rules(9.0),
        ),
        (
            Rule::WrongPlace,
            Story::new(|j| j.spot = false)
                .accepted()
                .on(2.0, 0, "host-2")
                .rules(9.0),
        ),
        (
            Rule::WrongPlace,
            Story::new(|j| j.zone = Some("z1".into()))
                .accepted()
                .on(2.0, 0, "host-1")
                .rules(9.0),
        ),
        (
            Rule::WrongPlace,
            Story::new(|j| j.kinds = Some(vec!["big".into()]))
                .accepted()
                .on(2.0, 0, "host-1")
                .rules(9.0),
        ),
        (
            Rule::WrongPlace,
            Story::new(|j| j.one_zone = true)
                .accepted()
                .on(2.0, 0, "host-1")
                .on(2.0, 1, "host-2")
                .rules(9.0),
        ),
        (
            Rule::WrongPlace,
            Story::new(|j| j.spread = true)
                .accepted()
                .on(2.0, 0, "host-1")
                .on(2.0, 1, "host-1")
                .rules(9.0),
        ),
        (
            Rule::Quota,
            Story::new(|j| j.gpus = 21.0)
                .accepted()
                .on(2.0, 0, "host-1")
                .on(2.0, 1, "host-2")
                .rules(9.0),
        ),
        (
            Rule::RanCancelled,
            story()
                .accepted()
                .on(2.0, 0, "host-1")
                .told(3.0, Ask::Cancel, 200, Some(JobStage::Cancelled))
                .rules(44.0),
        ),
        (
            Rule::RanCancelled,
            story()
                .accepted()
                .told(3.0, Ask::Cancel, 200, Some(JobStage::Cancelled))
                .on(44.0, 0, "host-1")
                .rules(44.0),
        ),
        (
            Rule::Forgotten,
            story()
                .served()
                .told(20.0, Ask::Poll, 404, None)
                .rules(30.0),
        ),
        (
            Rule::Forgotten,
            story()
                .served()
                .told(20.0, Ask::Submit, 422, None)
                .rules(30.0),
        ),
        (
            Rule::Invented,
            story()
                .served()
                .told_of("wk-900000", 20.0, Ask::Poll, 200, Some(JobStage::Queued))
                .rules(30.0),
        ),
        (
            Rule::NotDone,
            story()
                .accepted()
                .on(3.0, 0, "host-1")
                .done(9.0, 0, "host-1")
                .told(12.0, Ask::Poll, 200, Some(JobStage::Done))
                .rules(30.0),
        ),
        (
            Rule::WentBack,
            story()
                .served()
                .told(20.0, Ask::Poll, 200, Some(JobStage::Running))
                .rules(30.0),
        ),
        (
            Rule::WentBack,
            story()
                .served()
                .told(20.0, Ask::Cancel, 200, Some(JobStage::Cancelled))
                .rules(30.0),
        ),
        (
            Rule::WentBack,
            story()
                .accepted()
                .told(5.0, Ask::Poll, 200, Some(JobStage::Cancelled))
                .rules(30.0),
        ),
        (
            Rule::NothingRan,
            story()
                .accepted()
                .told(3.0, Ask::Cancel, 200, Some(JobStage::Cancelled))
                .rules(30.0),
        ),
        (
            Rule::Unfinished,
            story().accepted().on(3.0, 0, "host-1").rules(30.0),
        ),
        (
            Rule::Protocol,
            story().told(1.0, Ask::Submit, 400, None).rules(30.0),
        ),
    ];
    for (i, (rule, found)) in cases.into_iter().enumerate() {
        assert!(found.contains(&rule), "case {i}: {rule} among {found:?}");
    }
}

// For 90 s every poll for a job fails while most others are answered.
#[test]
fn a_job_that_nobody_answers_for_is_forgotten() {
    let polls = |answered: bool| {
        let mut s = story();
        s.served();
        for i in 0..25 {
            let at = 20.0 + 5.0 * f64::from(i);
            s.told(at, Ask::Poll, 503, None);
            for _ in 0..2 {
                let mut others = |status| {
                    let (job, what) = ("wk-000001".to_string(), Ask::Poll);
                    let (asked, status) = (t(at), Some(status));
                    s.0.hear(
                        t(at),
                        Seen::Told {
                            job,
                            what,
                            asked,
                            status,
                            stage: None,
                        },
                    );
                };
                // Polls of ghosts count among the others.
                if answered {
                    s.told_of("wk-900000", at, Ask::Poll, 404, None);
                } else {
                    others(503);
                }
            }
            s.0.pass(t(at));
        }
        s.rules(150.0)
    };
    assert!(polls(false).is_empty(), "an outage for all forgets nobody");
    assert_eq!(polls(true), [Rule::Forgotten]);
}

#[test]
fn a_broken_rule_shows_its_jobs_history_alone() {
    let mut s = story();
    s.served();
    s.told_of("wk-900000", 20.0, Ask::Poll, 404, None);
    let lines = s.0.history_of("wk-000001");
    assert_eq!(lines.len(), 12, "{lines:#?}");
    assert!(lines[3].contains("wk-000001/0 runs"), "{lines:#?}");
}

// What cannot run is refused: with the right status, or by a node that cannot tell now.
#[test]
fn what_cannot_run_is_to_be_refused() {
    let heard = |wanted: u16, status: Option<u16>| {
        let mut s = story();
        s.served();
        let job = "wk-800001".into();
        s.0.hear(
            t(5.0),
            Seen::Odd {
                job,
                wanted,
                status,
            },
        );
        s.rules(9.0)
    };
    for status in [Some(400), Some(503), Some(429), None] {
        assert_eq!(heard(400, status), [], "{status:?}");
    }
    assert_eq!(heard(422, Some(422)), []);
    assert_eq!(heard(422, Some(201)), [Rule::Invented]);
    assert_eq!(heard(400, Some(200)), [Rule::Invented]);
    assert_eq!(heard(422, Some(400)), [Rule::Protocol]);
    assert_eq!(heard(400, Some(404)), [Rule::Protocol]);
}

// Answers are judged by when they were asked for: a question under way while the job was
// accepted may find nothing yet, one asked after that may not. And of several asked at
// once, one that is answered is enough.
#[test]
fn answers_are_judged_by_the_time_of_their_question() {
    let poll = |s: &mut Story, asked: f64, told: f64, status: u16| {
        let (job, what) = ("wk-000001".to_string(), Ask::Poll);
        let (status, stage) = (Some(status), (status == 200).then_some(JobStage::Queued));
        let asked = t(asked);
        s.0.hear(
            t(told),
            Seen::Told {
                job,
                what,
                asked,
                status,
                stage,
            },
        );
    };
    let mut early = story();
    early.told(1.0, Ask::Submit, 201, Some(JobStage::Queued));
    poll(&mut early, 0.9, 1.2, 404);
    assert_eq!(early.0.breaches().len(), 0);
    poll(&mut early, 1.2, 1.3, 404);
    assert_eq!(early.0.breaches()[0].rule, Rule::Forgotten);
    for answered in [true, false] {
        let mut s = story();
        s.told(1.0, Ask::Submit, 201, Some(JobStage::Queued));
        if answered {
            poll(&mut s, 2.0, 2.01, 200);
        }
        poll(&mut s, 2.0, 2.02, 503);
        for n in 0..40 {
            // Most others are answered.
            let at = 2.5 + 2.5 * f64::from(n);
            for _ in 0..3 {
                s.told_of("wk-900001", at, Ask::Poll, 404, None);
            }
            s.0.pass(t(at));
        }
        let forgotten = s.0.breaches().iter().any(|b| b.rule == Rule::Forgotten);
        assert_eq!(forgotten, !answered);
    }
}
