//! The demonstration, as a newcomer runs it.

mod support;

use support::run;

#[tokio::test]
async fn the_demonstration_keeps_every_promise_it_shows() {
    let shown = run(None, &["demo", "--json"]).await.expect(0).json();
    let kinds = shown["kinds"].as_object().expect("kinds");
    assert_eq!(kinds.len(), 4);
    for (kind, report) in kinds {
        assert_eq!(report["whole"], report["requests"], "{kind}: {shown}");
    }
    assert_eq!(shown["bookings"]["runs"], shown["bookings"]["keys_run"]);
}
