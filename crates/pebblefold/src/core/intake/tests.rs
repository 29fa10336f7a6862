use super::super::Output;
use super::*;
use crate::testing::io_at;

// A poll's read that was answered only after a cancellation had been told
// brought the older state.
#[test]
fn a_read_answered_late_does_not_bring_back_an_older_state() {
    let (mut io, mut intake) = (io_at(1.0), Intake::default());
    let id = JobId::from("wk-1");
    let ended = Reply::Answer(200, wire::encode(&Revision::default()));
    let cancel = Step::Cancel(id.clone(), 1);
    intake.on_step(&mut io, RequestId(1), cancel, ended);
    let head = Entry {
        key: ledger::head_key(&id),
        value: ledger::head_value(HeadStage::Open, 3),
        version: Version(4),
    };
    let late = Reply::Answer(200, wire::encode(&head));
    intake.on_step(&mut io, RequestId(2), Step::Poll(id), late);
    let told: Vec<Stage> = io
        .take_outputs()
        .into_iter()
        .filter_map(|o| match o {
            Output::Answer(_, a) => wire::decode::<JobAnswer>(&a.body).map(|a| a.stage),
            _ => None,
        })
        .collect();
    assert_eq!(told, [Stage::Cancelled, Stage::Cancelled]);
}
