//! Tests the command `demo`.

mod support;

use support::run;

#[tokio::test]
async fn demo_completes_every_request_and_runs_each_booking_once() {
    let shown = run(None, &["demo", "--json"]).await.expect(0).json();
    let kinds = shown["kinds"].as_object().expect("kinds");
    assert_eq!(kinds.len(), 4);
    for (kind, report) in kinds {
        assert_eq!(report["whole"], report["requests"], "{kind}: {shown}");
    }
    assert_eq!(shown["bookings"]["runs"], shown["bookings"]["keys_run"]);
}
