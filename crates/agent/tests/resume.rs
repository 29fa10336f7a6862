//! Which stored leases a restarted agent resumes.

use pebblefold_agent::journal::JournalContents;
use pebblefold_agent::link::LinkTimes;
use pebblefold_agent::resume::{LeaseRefusal, decide_start};
use pebblefold_agent::shim::Lease;
use pebblefold_wire::types::{AgentEpoch, FencingToken, Time, TimeSpan};

const BOOT: &str = "boot-1";
const NOW: Time = Time(60_000_000);
const PACE: LinkTimes = LinkTimes {
    heartbeat_interval: TimeSpan::millis(500),
    lease_duration: TimeSpan::millis(2000),
};

fn journal_at_epoch_three() -> JournalContents {
    JournalContents {
        epoch: Some(AgentEpoch(3)),
        token: FencingToken(7),
        attempts: Vec::new(),
    }
}

/// A lease of epoch three that expires in a second.
fn lease() -> Lease {
    Lease {
        boot: BOOT.into(),
        epoch: 3,
        until_us: NOW.0 + 1_000_000,
    }
}

#[test]
fn resumes_valid_lease_without_extending_it() {
    let start = decide_start(&journal_at_epoch_three(), Ok(lease()), BOOT, NOW, PACE);
    assert_eq!(start.refusal, None);
    assert_eq!(start.link.epoch, AgentEpoch(3));
    assert_eq!(start.link.token, FencingToken(7));
    assert_eq!(
        start.link.lease_start + PACE.lease_duration,
        Time(lease().until_us)
    );
    assert_eq!(start.link.sequence.0, NOW.0);
}

#[test]
fn new_directory_starts_first_epoch() {
    let start = decide_start(&JournalContents::default(), Ok(lease()), BOOT, NOW, PACE);
    assert_eq!(start.refusal, Some(LeaseRefusal::FirstStart));
    assert_eq!(start.link.epoch, AgentEpoch(1));
}

#[test]
fn refuses_unusable_lease() {
    let with = |change: &dyn Fn(&mut Lease)| {
        let mut changed = lease();
        change(&mut changed);
        Ok(changed)
    };
    let torn = serde_json::from_slice::<Lease>(br#"{"boot":"boot-1","session":3,"unt"#);
    let cases = [
        (
            torn.map_err(|e| e.to_string()),
            "the stored lease cannot be read: EOF while parsing a string at line 1 column 33",
        ),
        (
            with(&|l| l.boot = "boot-0".into()),
            "the stored lease is of boot boot-0, this is boot boot-1",
        ),
        (
            with(&|l| l.epoch = 2),
            "the stored lease is of epoch 2, the journal is at epoch 3",
        ),
        (
            with(&|l| l.epoch = 4),
            "the stored lease is of epoch 4, the journal is at epoch 3",
        ),
        (
            with(&|l| l.until_us = NOW.0 - 1),
            "the stored lease ended at 59999999 us, now is 60000000 us since the boot",
        ),
        (
            with(&|l| l.until_us = NOW.0 + 2_000_001),
            "the stored lease ends at 62000001 us, a whole lease from now at 62000000 us",
        ),
    ];
    for (lease, reason) in cases {
        let start = decide_start(&journal_at_epoch_three(), lease, BOOT, NOW, PACE);
        let refusal_text = start.refusal.map(|refusal| refusal.to_string());
        assert_eq!(refusal_text.as_deref(), Some(reason));
        assert_eq!(start.link.epoch, AgentEpoch(4), "{reason}");
        assert_eq!(start.link.token, FencingToken(7), "{reason}");
        assert_eq!(start.link.lease_start, NOW, "{reason}");
    }
}
