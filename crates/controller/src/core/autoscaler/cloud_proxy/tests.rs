use super::*;

fn secs(s: f64) -> Time {
    Time(0) + TimeSpan::secs(s)
}

// A holder cut from the cloud alone once did nothing for as long as the
// cut lasted. It must not flap either: our own way is tried ever rarer.
#[test]
fn a_peer_is_asked_while_our_own_way_fails() {
    let mut h = CloudProxy::new(vec!["b".into(), "c".into()]);
    let (mut own, mut asked) = (0, 0);
    // We do not reach the cloud for 300 s; b does not either, c does.
    let mut t = 0.0;
    while t < 300.0 {
        let by = h.peer(secs(t)).cloned();
        match by.as_ref().map(NodeId::as_str) {
            Some("c") => {
                asked += 1;
                h.answered(secs(t), by.as_ref());
                t += 1.0;
            }
            _ => {
                own += u32::from(by.is_none());
                h.unanswered(secs(t), by.as_ref());
                t += 5.0;
            }
        }
    }
    assert!(asked > 200 && own < 9, "asked {asked}, own {own}");
    // Our own way is back.
    while h.peer(secs(t)).is_some() {
        h.answered(secs(t), Some(&"c".into()));
        t += 1.0;
    }
    h.answered(secs(t), None);
    assert!(h.peer(secs(t + 1.0)).is_none());
}
