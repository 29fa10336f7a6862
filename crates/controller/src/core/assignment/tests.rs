use super::*;

fn assignment_in(phase: AssignmentPhase) -> Assignment {
    Assignment {
        phase,
        ..Assignment::inherited("m".into(), AgentEpoch(2), Attempt(1))
    }
}

fn check_unlisted(phase: AssignmentPhase, epoch: u64, sequence: u64, token: u64) -> PresenceProof {
    assignment_in(phase).check_presence(
        AgentEpoch(epoch),
        HeartbeatSequence(sequence),
        FencingToken(token),
        FencingToken(7),
        None,
    )
}

// A heartbeat proves absence only under the conditions that `check_presence` names. Each
// case here would run a task twice if its condition were weakened.
#[test]
fn absence_needs_newer_epoch_or_our_token() {
    use AssignmentPhase::*;
    use PresenceProof::*;
    assert_eq!(
        check_unlisted(Inherited, 2, 9, 6),
        Present,
        "an older leader's start may be in flight"
    );
    assert_eq!(check_unlisted(Inherited, 2, 9, 7), Absent);
    assert_eq!(
        check_unlisted(Inherited, 3, 1, 6),
        Absent,
        "an agent in a new epoch has discarded all tasks"
    );
    assert_eq!(check_unlisted(Unsent, 2, 9, 7), Present);
    assert_eq!(
        check_unlisted(Sent(HeartbeatSequence(9)), 2, 9, 7),
        Present,
        "this heartbeat was made before the answer"
    );
    assert_eq!(
        check_unlisted(Sent(HeartbeatSequence(9)), 2, 10, 7),
        Undelivered
    );
    assert_eq!(check_unlisted(Seen(TaskState::Running), 2, 10, 7), Absent);
    assert_eq!(check_unlisted(Seen(TaskState::Running), 2, 10, 6), Present);
}
