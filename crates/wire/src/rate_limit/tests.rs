use super::*;

#[test]
fn token_bucket_never_exceeds_rate_and_burst() {
    let mut bucket = TokenBucket::new(10.0, 20.0);
    let mut taken = 0;
    for ms in 0..10_000 {
        while bucket.try_take(Time(ms * 1000), 1.0) {
            taken += 1;
        }
    }
    assert!((119..=120).contains(&taken), "{taken}");
}
