use super::*;

// Every record except a chunk's (`chunk_progress`) has had one form in all format
// versions so far, the one in which it was first stored. A changed form without a new
// format version would lose stored work.
#[test]
fn reads_every_record_in_its_first_stored_form() {
    use crate::core::autoscaler::intents::{Intents, OpenIntents};
    use crate::core::job_records::{
        self, HeaderStage, JobHeader, LeaderRecord, SubmissionAssembler,
    };
    use crate::core::quarantine::Quarantine;
    use crate::core::quota::arrival_history::ArrivalHistory;
    use crate::types::{FencingToken, TimeSpan, Version, WallTime};
    use serde_json::json;

    let head = json!({"s": "p", "n": 3});
    assert_eq!(job_records::job_header_value(HeaderStage::Open, 3), head);
    for (s, stage) in [("d", HeaderStage::Done), ("c", HeaderStage::Cancelled)] {
        let read = job_records::read_record::<JobHeader>(&json!({"s": s, "n": 3}));
        assert_eq!(read.map(|h| h.stage), Some(stage));
    }
    let leader = json!({"label": "node-1", "nonce": 7});
    let read = job_records::read_record::<LeaderRecord>(&leader).unwrap();
    assert_eq!(job_records::leader_record_value(&read), leader);
    assert!(
        job_records::read_record::<LeaderRecord>(&member_versions::legacy_leader_tombstone())
            .is_none()
    );
    let text = r#"{"ref":"wk-1","lane":"train","crew":"red","shape":"ensemble","urgency":"urgent","pieces":2,"vcpus":8.0,"accelerators":1.0,"memory_gb":64.0,"bundle":"img","size_gb":6.2,"kinds_of_box":["g8"],"yard":null,"same_place":true,"scatter":false,"borrowed":true,"guess_s":240.0,"snapshot_every_s":30.0,"snapshot_s":4.0,"due_s":900.0}"#;
    let (one, two) = text.split_at(40);
    let mut parts = SubmissionAssembler::default();
    parts.add_part("wk-1".into(), 1, &json!(two));
    let stored = json!({"at": 5, "n": 2, "s": one});
    let job = parts.assemble(&"wk-1".into(), Version(9), &stored).unwrap();
    assert_eq!(
        (job.accepted_at, job.spec.tasks, job.is_gang()),
        (WallTime(5), 2, true)
    );
    let mut intents = Intents::new(FencingToken(9), TimeSpan::secs(4.0), 8192);
    let provision = json!({"t": 5, "r": {"hire": "3-1", "box_kind": "g8", "yard": "a", "borrowed": true, "count": 2}});
    let release = json!({"t": 5, "w": {"idle": ["host-1", "host-2"]}});
    intents.load("d/h/3-1", &provision, WallTime(6));
    assert_eq!(intents.load("d/x/3-2", &release, WallTime(6)).len(), 2);
    let open = OpenIntents {
        provisions: 1,
        terminations: 1,
        machines: 2,
    };
    assert_eq!(intents.open(), open);
    let drained = json!({"n": 2, "t": 5, "d": true});
    let mark = Quarantine::default().load("d/m/host-1", &drained, WallTime(6));
    let mark = mark.unwrap();
    let circuit = mark.circuit.unwrap();
    assert_eq!((mark.machine, circuit.openings), ("host-1".into(), 1));
    assert_eq!(circuit.since_last_failure, TimeSpan::millis(1));
    let came = json!({"t": 30000, "c": [["low", "red", [[1, [2.0, 60.0, 1]]]]]});
    assert_eq!(
        ArrivalHistory::new(TimeSpan::secs(600.0))
            .arrivals_missing_here(&came)
            .map(|m| m.len()),
        Some(1)
    );
}

// An activation would skip a version that is missing from the table or has the number
// of another one.
#[test]
fn version_table_lists_each_version_once() {
    for (i, step) in KNOWN_VERSIONS.iter().enumerate() {
        assert_eq!(step.version, FormatVersion(i as u32));
        assert!(!step.changes.is_empty() && !step.older_form_readers.is_empty());
    }
    assert_eq!(FormatVersion(99).name(), "not known to this build");
}
