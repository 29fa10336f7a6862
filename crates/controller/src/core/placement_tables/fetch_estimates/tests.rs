use super::*;

#[test]
fn an_unseen_image_costs_what_its_size_says() {
    let mut e = FetchEstimates::new(TimeSpan::secs(30.0));
    let (a, b) = (Image::from("a"), Image::from("b"));
    assert_eq!(e.of(&a, 6.0, None), TimeSpan::secs(30.0));
    assert_eq!(e.of(&a, 6.0, Some(0.5)), TimeSpan::secs(12.0));
    e.note(&a, TimeSpan::secs(14.0));
    assert_eq!(e.of(&a, 6.0, Some(0.5)), TimeSpan::secs(14.0));
    assert_eq!(e.of(&b, 6.0, None), TimeSpan::secs(14.0));
}
