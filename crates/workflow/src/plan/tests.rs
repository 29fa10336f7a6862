use super::*;

// A slip in this table runs a step twice whose class forbids it.
#[test]
fn classes_of_retry_run_again_what_they_may_and_nothing_else() {
    use Ended::{Permanent, Temporary};
    let lost = [
        Lost::Exit(Temporary),
        Lost::Exit(Permanent),
        Lost::TooLong,
        Lost::NotStarted,
        Lost::Unknown,
        Lost::Final,
    ];
    let table = |r: Retry, tries: u32| lost.clone().map(|l| u8::from(again(r, &l, tries)));
    assert_eq!(table(Retry::Never, 0), [0, 0, 0, 0, 0, 0]);
    assert_eq!(table(Retry::IfNotStarted, 0), [0, 0, 0, 1, 0, 0]);
    assert_eq!(table(Retry::IfNotStarted, 4), [0, 0, 0, 0, 0, 0]);
    assert_eq!(table(Retry::OnFailure(0), 0), [0, 0, 0, 1, 0, 0]);
    assert_eq!(table(Retry::OnFailure(2), 1), [1, 1, 1, 1, 0, 0]);
    assert_eq!(table(Retry::OnFailure(2), 2), [0, 0, 0, 1, 0, 0]);
}

#[test]
fn every_try_and_round_has_a_job_of_its_own() {
    let path = TaskPath::from("a/3");
    let mut ids = BTreeSet::new();
    for round in 0..3 {
        for number in 0..=crate::needs::MOST_TRIES {
            assert!(ids.insert(job_id("n", &path, Try { round, number }).to_string()));
        }
    }
    assert!(
        ids.iter()
            .all(|id| pebblefold_wire::users::is_valid_job_id(id))
    );
}
