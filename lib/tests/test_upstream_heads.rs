//! Responses with odd heads, for each client that reads responses.

use std::net::SocketAddr;
use std::time::Duration;

use banyangauge::ids::FencingToken;
use banyangauge::platform::Platform;
use banyangauge::upstream::OrderClient;
use banyangauge::upstream::read_report;
use banyangauge_testutils::heads::Coding;
use banyangauge_testutils::heads::Head;
use banyangauge_testutils::heads::RawResponse;
use banyangauge_testutils::heads::RawServer;
use banyangauge_testutils::heads::SIZE;
use banyangauge_testutils::heads::sound;

/// How long a client waits for a whole response.
const TIMEOUT: Duration = Duration::from_secs(2);

/// A server that sends responses with a head; those to `/warm` only keep a connection open.
fn start(head: Head, body: &'static [u8]) -> SocketAddr {
    let is_sound = sound().iter().any(|h| h.name == head.name);
    let server = RawServer::start(move |request| {
        if request.head.contains(" /warm") {
            return RawResponse {
                bytes: sound()[0].response("", &[b'w'; SIZE]),
                pause_at: 0,
                is_kept: true,
            };
        }
        let bytes = head.response("", body);
        RawResponse {
            // Each second response comes in two parts.
            pause_at: bytes.len() / 40 * (request.earlier % 2),
            bytes,
            // A connection that ends without notice may lose the next request.
            is_kept: is_sound && !head.is_unframed(),
        }
    });
    server.unwrap().address
}

/// Odd responses that are sound reach all clients.
#[tokio::test]
async fn calls_with_sound_responses_succeed() {
    let with_body = |head: &Head| head.coding != Coding::None && !has_length(head);
    for head in sound().into_iter().filter(with_body) {
        let body = br#"{"token":1,"incarnation":7,"metadata":{"resourceVersion":"1"},"items":[]}"#;
        let to = start(head, body);
        let client = OrderClient::new(TIMEOUT);
        let token = FencingToken(1);
        let loaded = client.load(to, token, &"a@1".parse().unwrap()).await;
        assert_eq!(loaded, Ok(()), "{}", head.name);
        assert!(read_report(&client, to).await.is_ok(), "{}", head.name);
        let platform = Platform::new(to);
        assert_eq!(platform.delete("kinds", "x").await, Ok(()), "{}", head.name);
        let list = platform.list::<serde_json::Value>("kinds").await;
        assert!(list.is_ok_and(|l| l.items.is_empty()), "{}", head.name);
        assert!(platform.watch("kinds", "1").await.is_ok(), "{}", head.name);
    }
}

/// Whether a head states the length of another body.
fn has_length(head: &Head) -> bool {
    let fields = String::from_utf8_lossy(head.fields).to_lowercase();
    fields.contains("content-length")
}
