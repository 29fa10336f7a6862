use super::*;

#[test]
fn backoff_doubles_up_to_its_maximum() {
    let mut b = Backoff::default();
    let pause = |b: &mut Backoff| {
        b.failed(TimeSpan::millis(100), TimeSpan::millis(500), 1.0)
            .as_millis()
    };
    assert_eq!(
        [pause(&mut b), pause(&mut b), pause(&mut b), pause(&mut b)],
        [100, 200, 400, 500]
    );
    b.succeeded();
    assert_eq!(pause(&mut b), 100);
}
