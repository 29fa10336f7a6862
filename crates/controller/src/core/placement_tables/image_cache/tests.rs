use super::*;

#[test]
fn drops_least_recently_used_image_first() {
    let mut cache = ImageCache::default();
    let image = |n: u32| Image::from(format!("i{n}"));
    for n in 0..3 {
        cache.record_fetched(&image(n), 10.0, Time(u64::from(n)), 30.0);
    }
    cache.record_use(&image(0), 10.0, Time(10), TimeSpan::ZERO);
    cache.record_fetched(&image(3), 10.0, Time(11), 30.0);
    let mut images_after: Vec<_> = cache.images().map(|(i, _)| i.to_string()).collect();
    images_after.sort();
    assert_eq!(images_after, ["i0", "i2", "i3"]);
}

// Guards against counting a fetch as complete once its expected time is over: work was
// placed on the machine as if the image were in its cache, and the real end of the fetch
// was never recorded.
#[test]
fn overdue_fetch_still_counts_as_in_progress() {
    let mut cache = ImageCache::default();
    let a = Image::from("a");
    cache.record_use(&a, 6.0, Time(0), TimeSpan::secs(10.0));
    assert_eq!(
        cache.remaining_fetch_time(&a, Time(4_000_000)),
        Some(TimeSpan::secs(6.0))
    );
    assert_eq!(
        cache.remaining_fetch_time(&a, Time(60_000_000)),
        Some(TimeSpan::secs(1.0))
    );
    cache.record_fetched(&a, 6.0, Time(61_000_000), 40.0);
    assert_eq!(
        cache.remaining_fetch_time(&a, Time(62_000_000)),
        Some(TimeSpan::ZERO)
    );
}
