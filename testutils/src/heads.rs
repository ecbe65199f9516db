//! A server that sends responses byte by byte as it is told, and heads of responses for it.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// How the body of a response is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Coding {
    /// As it is.
    Plain,
    /// In chunks.
    Chunked,
    /// Not at all.
    None,
}

/// The head of a response, and how its body is sent.
#[derive(Clone, Copy, Debug)]
pub struct Head {
    /// Name of the case.
    pub name: &'static str,
    /// What precedes the fields of each response: the status line, and responses before it.
    pub start: &'static str,
    /// The fields that matter, each with the end of its line.
    pub fields: &'static [u8],
    /// How the body is sent.
    pub coding: Coding,
}

const OK: &str = "HTTP/1.1 200 OK\r\n";

const fn plain(name: &'static str, fields: &'static [u8]) -> Head {
    Head {
        name,
        start: OK,
        fields,
        coding: Coding::Plain,
    }
}

const fn chunked(name: &'static str, fields: &'static [u8]) -> Head {
    Head {
        coding: Coding::Chunked,
        ..plain(name, fields)
    }
}

const fn started(name: &'static str, start: &'static str, fields: &'static [u8]) -> Head {
    Head {
        start,
        ..plain(name, fields)
    }
}

const fn empty(name: &'static str, start: &'static str, fields: &'static [u8]) -> Head {
    Head {
        coding: Coding::None,
        ..started(name, start, fields)
    }
}

/// Size of the body that the lengths in the heads are for, in bytes.
pub const SIZE: usize = 3_000;

/// Returns sound heads; their bodies have [`SIZE`] bytes, or none.
pub fn sound() -> Vec<Head> {
    vec![
        plain("length", b"Content-Length: 3000\r\n"),
        plain(
            "length_twice",
            b"content-length: 3000\r\ncontent-length: 3000\r\n",
        ),
        plain("length_with_zero", b"content-length: 03000\r\n"),
        plain("length_between_tabs", b"content-length:\t3000\t \r\n"),
        chunked("chunked", b"Transfer-Encoding: Chunked\r\n"),
        chunked("chunked_between_tabs", b"transfer-encoding:\tchunked \r\n"),
        plain("ended_by_connection", b""),
        started("version_1_0", "HTTP/1.0 200 OK\r\n", b""),
        plain(
            "odd_name",
            b"x!#$%&'*+-.^_`|~9: v\r\ncontent-length: 3000\r\n",
        ),
        plain(
            "odd_values",
            b"x-a: \xe4\xff\x80\r\nx-b:\r\nx-c: \"a, b\";\tc=:\r\ncontent-length: 3000\r\n",
        ),
        started(
            "interim_before",
            "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n",
            b"content-length: 3000\r\n",
        ),
        started(
            "no_reason",
            "HTTP/1.1 200 \r\n",
            b"content-length: 3000\r\n",
        ),
        started(
            "odd_status",
            "HTTP/1.1 299 X\r\n",
            b"content-length: 3000\r\n",
        ),
        empty("no_content", "HTTP/1.1 204 No Content\r\n", b""),
        empty(
            "no_content_of_no_length",
            "HTTP/1.1 204 No Content\r\n",
            b"content-length: 0\r\n",
        ),
        empty("not_modified", "HTTP/1.1 304 Not Modified\r\n", b""),
        empty(
            "not_modified_of_length",
            "HTTP/1.1 304 Not Modified\r\n",
            b"content-length: 3000\r\n",
        ),
        empty(
            "not_modified_of_chunks",
            "HTTP/1.1 304 Not Modified\r\n",
            b"transfer-encoding: chunked\r\n",
        ),
    ]
}

impl Head {
    /// Returns whether the body ends with the connection.
    ///
    /// ```
    /// use banyangauge_testutils::heads::sound;
    /// let unframed: Vec<_> = sound().iter().filter(|h| h.is_unframed()).map(|h| h.name).collect();
    /// assert_eq!(unframed, ["ended_by_connection", "version_1_0"]);
    /// ```
    pub fn is_unframed(&self) -> bool {
        self.coding == Coding::Plain && self.fields.is_empty()
    }

    /// Returns the bytes of a response with such a head, and with these fields and this body.
    ///
    /// ```
    /// use banyangauge_testutils::heads::sound;
    /// let bytes = sound()[0].response("x-id: 1\r\n", b"body");
    /// let text = "HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 3000\r\n\r\nbody";
    /// assert_eq!(bytes, text.as_bytes());
    /// ```
    pub fn response(&self, fields: &str, body: &[u8]) -> Vec<u8> {
        let mut bytes = self.start.as_bytes().to_vec();
        bytes.extend_from_slice(fields.as_bytes());
        bytes.extend_from_slice(self.fields);
        bytes.extend_from_slice(b"\r\n");
        match self.coding {
            Coding::None => {}
            Coding::Plain => bytes.extend_from_slice(body),
            Coding::Chunked => {
                for part in body.chunks(CHUNK) {
                    bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                    bytes.extend_from_slice(part);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(b"0\r\n\r\n");
            }
        }
        bytes
    }
}

/// Size of a chunk in bytes.
const CHUNK: usize = 1_000;

/// A request that came to a [`RawServer`].
#[derive(Clone, Debug)]
pub struct RawRequest {
    /// The request line and the header, in lower case.
    pub head: String,
    /// Number of requests that came before on the same connection.
    pub earlier: usize,
}

impl RawRequest {
    /// Returns the value of a field, or an empty text.
    ///
    /// ```
    /// use banyangauge_testutils::heads::RawRequest;
    /// let head = "get / http/1.1\r\nhost: x\r\n\r\n".to_owned();
    /// let request = RawRequest { head, earlier: 0 };
    /// assert_eq!((request.field("host"), request.field("accept")), ("x", ""));
    /// ```
    pub fn field(&self, name: &str) -> &str {
        let mut lines = self.head.lines();
        let value = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        value.unwrap_or_default()
    }
}

/// What a [`RawServer`] sends.
#[derive(Clone, Debug)]
pub struct RawResponse {
    /// The head and the body.
    pub bytes: Vec<u8>,
    /// Number of bytes after which it pauses.
    pub pause_at: usize,
    /// Whether the connection is kept; otherwise it ends in order.
    pub is_kept: bool,
}

/// A server that sends what it is told, on threads that end with the process.
pub struct RawServer {
    /// Where it listens.
    pub address: SocketAddr,
}

/// Time between two parts of a response.
const PAUSE: Duration = Duration::from_millis(5);

/// How long a connection that has ended waits for its peer's end.
const LINGER: Duration = Duration::from_millis(200);

impl RawServer {
    /// Starts a server.
    ///
    /// # Errors
    ///
    /// If the system has no free port.
    ///
    /// ```
    /// use banyangauge_testutils::heads::{RawResponse, RawServer};
    /// use std::io::{Read, Write};
    /// let bytes = b"any bytes".to_vec();
    /// let response = RawResponse { bytes, pause_at: 0, is_kept: false };
    /// let server = RawServer::start(move |_| response.clone()).unwrap();
    /// let mut stream = std::net::TcpStream::connect(server.address).unwrap();
    /// stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    /// let mut text = String::new();
    /// stream.read_to_string(&mut text).unwrap();
    /// assert_eq!(text, "any bytes");
    /// ```
    pub fn start(
        respond: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let respond = Arc::new(respond);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let respond = respond.clone();
                // The peer may close the connection first.
                std::thread::spawn(move || serve(stream, &*respond).ok());
            }
        });
        Ok(Self { address })
    }
}

fn serve(mut stream: TcpStream, respond: &dyn Fn(&RawRequest) -> RawResponse) -> io::Result<()> {
    stream.set_nodelay(true)?;
    for earlier in 0.. {
        let head = read_request(&mut stream)?;
        let response = respond(&RawRequest { head, earlier });
        let pause_at = response.pause_at.min(response.bytes.len());
        let (first, rest) = response.bytes.split_at(pause_at);
        if !first.is_empty() {
            stream.write_all(first)?;
            std::thread::sleep(PAUSE);
        }
        stream.write_all(rest)?;
        if !response.is_kept {
            break;
        }
    }
    stream.shutdown(Shutdown::Write)?;
    // Closing with unread bytes would reset the connection.
    stream.set_read_timeout(Some(LINGER))?;
    io::copy(&mut stream, &mut io::sink())?;
    Ok(())
}

/// Reads a request with its body; returns its head in lower case.
fn read_request(stream: &mut TcpStream) -> io::Result<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let request = RawRequest { head, earlier: 0 };
    let length: u64 = request.field("content-length").parse().unwrap_or_default();
    io::copy(&mut stream.take(length), &mut io::sink())?;
    Ok(request.head)
}
