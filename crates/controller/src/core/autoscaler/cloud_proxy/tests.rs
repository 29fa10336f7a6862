use super::*;

fn secs(s: f64) -> Time {
    Time(0) + TimeSpan::secs(s)
}

// A leader that lost its connection to the cloud, while its peers had theirs, made no
// successful call for the whole outage. It must use a peer, and must not alternate between
// both: direct calls are retried at growing intervals.
#[test]
fn uses_peer_while_direct_calls_fail() {
    let mut proxy = CloudProxy::new(vec!["b".into(), "c".into()]);
    let (mut direct, mut through_peer) = (0, 0);
    // For 300 s neither this leader nor peer b reaches the cloud; peer c does.
    let mut now_s = 0.0;
    while now_s < 300.0 {
        let via = proxy.peer(secs(now_s)).cloned();
        match via.as_ref().map(NodeId::as_str) {
            Some("c") => {
                through_peer += 1;
                proxy.answered(secs(now_s), via.as_ref());
                now_s += 1.0;
            }
            _ => {
                direct += u32::from(via.is_none());
                proxy.unanswered(secs(now_s), via.as_ref());
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
