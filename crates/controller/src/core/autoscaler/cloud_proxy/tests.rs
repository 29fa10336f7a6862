use super::*;

fn secs(s: f64) -> Time {
    Time(0) + TimeSpan::secs(s)
}

// A leader that alone did not reach the cloud once did nothing for as long as that
// lasted. It must not flap either: direct calls are tried ever less often.
#[test]
fn uses_peer_while_direct_calls_fail() {
    let mut proxy = CloudProxy::new(vec!["b".into(), "c".into()]);
    let (mut direct, mut through_peer) = (0, 0);
    // We do not reach the cloud for 300 s; b does not either, c does.
    let mut now_s = 0.0;
    while now_s < 300.0 {
        let by = proxy.peer(secs(now_s)).cloned();
        match by.as_ref().map(NodeId::as_str) {
            Some("c") => {
                through_peer += 1;
                proxy.answered(secs(now_s), by.as_ref());
                now_s += 1.0;
            }
            _ => {
                direct += u32::from(by.is_none());
                proxy.unanswered(secs(now_s), by.as_ref());
                now_s += 5.0;
            }
        }
    }
    assert!(
        through_peer > 200 && direct < 9,
        "through {through_peer}, direct {direct}"
    );
    // Direct calls work again.
    while proxy.peer(secs(now_s)).is_some() {
        proxy.answered(secs(now_s), Some(&"c".into()));
        now_s += 1.0;
    }
    proxy.answered(secs(now_s), None);
    assert!(proxy.peer(secs(now_s + 1.0)).is_none());
}
