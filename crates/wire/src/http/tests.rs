use super::*;
use proptest::prelude::*;

#[test]
fn parses_request_split_at_any_byte() {
    let request_bytes = b"POST /a?b=1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\nGET";
    for cut in 0..request_bytes.len() - 3 {
        assert_eq!(
            parse_request(&request_bytes[..cut]),
            Ok(None),
            "cut at {cut}"
        );
    }
    let (r, consumed) = parse_request(request_bytes).unwrap().unwrap();
    assert_eq!((r.path.as_str(), r.query.as_str()), ("/a", "b=1"));
    assert_eq!(r.body, b"abcde");
    assert_eq!(&request_bytes[consumed..], b"GET");
}

#[test]
fn rejects_malformed_requests() {
    let cases: [(&[u8], HttpError); 7] = [
        (b"\x00\x01\x02 garbage\r\n\r\n", HttpError::Malformed),
        (
            b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            HttpError::Malformed,
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            HttpError::Malformed,
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            HttpError::Malformed,
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
            HttpError::BodyTooLarge,
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n",
            HttpError::BodyTooLarge,
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            HttpError::Malformed,
        ),
    ];
    for (bytes, error) in cases {
        assert_eq!(parse_request(bytes), Err(error));
    }
    let oversized_head = [b"GET / HTTP/1.1\r\nX: ".as_slice(), &[b'a'; MAX_HEAD_BYTES]].concat();
    assert_eq!(parse_request(&oversized_head), Err(HttpError::HeadTooLarge));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default()
    })]
    #[test]
    fn response_round_trips(status in 200u16..600, after in proptest::option::of(0u32..99),
        body in proptest::collection::vec(any::<u8>(), 0..300), close: bool) {
        let r = Response { status, retry_after: after, body, close };
        let bytes = write_response(&r);
        prop_assert_eq!(parse_response(&bytes, false), Ok(Some((r, bytes.len()))));
    }

    #[test]
    fn parser_never_panics(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse_request(&body);
        let _ = parse_response(&body, true);
        let mut chunked = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        chunked.extend(&body);
        if let Ok(Some((r, consumed))) = parse_request(&chunked) {
            prop_assert!(consumed <= chunked.len() && r.body.len() <= body.len());
        }
    }
}
