use super::*;

#[test]
fn token_bucket_never_exceeds_rate_and_burst() {
    let mut b = TokenBucket::new(10.0, 20.0);
    let mut given = 0;
    for ms in 0..10_000 {
        while b.take(Time(ms * 1000), 1.0) {
            given += 1;
        }
    }
    assert!((119..=120).contains(&given), "{given}");
}
