use super::*;

#[test]
fn backoff_doubles_up_to_its_maximum() {
    let mut backoff = Backoff::default();
    let pause = |backoff: &mut Backoff| {
        backoff
            .next_pause(TimeSpan::millis(100), TimeSpan::millis(500), 1.0)
            .as_millis()
    };
    assert_eq!(
        [
            pause(&mut backoff),
            pause(&mut backoff),
            pause(&mut backoff),
            pause(&mut backoff)
        ],
        [100, 200, 400, 500]
    );
    backoff.succeeded();
    assert_eq!(pause(&mut backoff), 100);
}
