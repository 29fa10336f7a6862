use super::*;

// A controller's port was found by opening it and closing it again: another
// process was given it meanwhile, and the controller ended at once.
#[tokio::test]
async fn a_reserved_port_is_given_to_nobody_else_and_opens_again_and_again() {
    let (_kept, addr) = reserve(None).unwrap();
    let stranger = TcpSocket::new_v4().unwrap();
    assert!(stranger.bind(addr.into()).is_err());
    let mut others = Vec::new();
    for _ in 0..500 {
        let (listener, other) = listen(None).await.unwrap();
        assert_ne!(other, addr);
        others.push(listener);
    }
    for _ in 0..3 {
        let (listener, opened) = listen(Some(addr.port())).await.unwrap();
        assert_eq!(opened, addr);
        drop(listener);
    }
}

#[tokio::test]
async fn clusters_side_by_side_have_machines_at_places_of_their_own() {
    let (a, _first) = machines_place(7600).await.unwrap();
    let (b, _second) = machines_place(7600).await.unwrap();
    assert_ne!(a, b);
}
