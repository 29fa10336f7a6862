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

#[test]
fn changed_rate_applies_from_then_on() {
    let mut bucket = TokenBucket::new(10.0, 20.0);
    let second = |n: u64| Time(n * 1_000_000);
    bucket.set_rate(second(1), 2.0, 4.0);
    assert_eq!(
        bucket.level(second(1)),
        4.0,
        "tokens beyond the new burst are lost"
    );
    assert!(bucket.try_take(second(1), 4.0));
    assert_eq!(bucket.level(second(2)), 2.0);
    bucket.set_rate(second(2), 10.0, 20.0);
    assert_eq!(bucket.level(second(3)), 12.0);
}
