use super::*;
use crate::{Client, SentFlag};
use std::cell::Cell;
use tokio::task::LocalSet;

// Guards against an overloaded server that also handles requests whose senders no longer
// wait for them, and therefore never catches up.
#[test]
fn detects_sender_that_closed_its_connection() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        let request = http::write_request("GET", "here", "/", &[]);
        client.write_all(&request).await.unwrap();
        let mut data = Vec::new();
        let next = next_request(&mut server, &mut data).await;
        assert!(matches!(next, NextRequest::Request(_)));
        assert!(!sender_has_closed(&server));
        // A second request is no sign that the sender closed the connection.
        client.write_all(&request).await.unwrap();
        server.readable().await.unwrap();
        assert!(!sender_has_closed(&server));
        let next = next_request(&mut server, &mut data).await;
        assert!(matches!(next, NextRequest::Request(_)));
        drop(client);
        while !sender_has_closed(&server) {
            tokio::task::yield_now().await;
        }
    });
}

// If the server closed an idle connection, a read must not fail because of it, and a change
// must never be sent twice.
#[test]
fn retries_only_reads_on_stale_connection() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let std::net::SocketAddr::V4(addr) = listener.local_addr().unwrap() else {
            unreachable!("bound to an IPv4 address")
        };
        let request_count = Rc::new(Cell::new(0));
        let shared_count = Rc::clone(&request_count);
        spawn_local(answer_connections(listener, move |r| {
            shared_count.set(shared_count.get() + 1);
            // Every second request gets no response, and its connection is closed.
            let reply = (shared_count.get() % 2 == 1).then_some(Response {
                status: 200,
                retry_after: None,
                body: r.body,
                close: false,
            });
            async move { reply }
        }));
        let client = Client::default();
        let exchange_body = async |method, body: &[u8]| {
            client
                .exchange(addr, method, "/", body, &SentFlag::default())
                .await
                .map(|r| r.body)
                .ok()
        };
        assert_eq!(exchange_body("POST", b"one").await, Some(b"one".to_vec()));
        assert_eq!(exchange_body("POST", b"two").await, None);
        assert_eq!(request_count.get(), 2, "a change is sent once");
        assert_eq!(
            exchange_body("POST", b"three").await,
            Some(b"three".to_vec())
        );
        assert_eq!(exchange_body("GET", b"").await, Some(Vec::new()));
        assert_eq!(request_count.get(), 5, "a read is sent again");
    });
}
