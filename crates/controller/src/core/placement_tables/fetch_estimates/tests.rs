use super::*;

#[test]
fn estimates_unseen_image_from_its_size() {
    let mut estimates = FetchEstimates::new(TimeSpan::secs(30.0));
    let (a, b) = (Image::from("a"), Image::from("b"));
    assert_eq!(estimates.estimate(&a, 6.0, None), TimeSpan::secs(30.0));
    assert_eq!(estimates.estimate(&a, 6.0, Some(0.5)), TimeSpan::secs(12.0));
    estimates.record(&a, TimeSpan::secs(14.0));
    assert_eq!(estimates.estimate(&a, 6.0, Some(0.5)), TimeSpan::secs(14.0));
    assert_eq!(estimates.estimate(&b, 6.0, None), TimeSpan::secs(14.0));
}
