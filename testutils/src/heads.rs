//! A server that sends responses byte by byte as it is told, and heads of responses for it, sound
//! and malformed.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// What is wrong with the head of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Where it states the length of the body.
    Length,
    /// A line that is no field.
    Line,
    /// A blank or control byte in the name of a field.
    Name,
    /// The status.
    Status,
}

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

/// Returns the heads with this fault; their bodies have [`SIZE`] bytes.
pub fn malformed(fault: Fault) -> Vec<Head> {
    match fault {
        Fault::Length => lengths(),
        Fault::Line => lines(),
        Fault::Name => names(),
        Fault::Status => statuses(),
    }
}

/// Returns well-formed heads that state another length than that of the body.
pub fn misstated() -> Vec<Head> {
    vec![
        plain("a_part", b"content-length: 1000\r\n"),
        plain("nothing", b"content-length: 0\r\n"),
        plain("beyond_body", b"content-length: 4000\r\n"),
    ]
}

/// Size of the body that the lengths in the heads are for, in bytes.
pub const SIZE: usize = 3_000;

fn lengths() -> Vec<Head> {
    let mut heads = vec![
        chunked("coding_misspelt", b"transfer-encoding: chunkfd\r\n"),
        chunked("coding_with_blank", b"transfer-encoding: chun ked\r\n"),
        chunked("coding_with_control", b"transfer-encoding: chun\x01ked\r\n"),
        chunked("coding_empty", b"transfer-encoding:\r\n"),
        chunked("coding_identity", b"transfer-encoding: identity\r\n"),
        chunked(
            "coding_identity_after",
            b"transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n",
        ),
        chunked(
            "coding_identity_before",
            b"transfer-encoding: identity\r\ntransfer-encoding: chunked\r\n",
        ),
        chunked("coding_compressed", b"transfer-encoding: gzip, chunked\r\n"),
        chunked("coding_twice", b"transfer-encoding: chunked, chunked\r\n"),
        chunked(
            "coding_in_two_lines",
            b"transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n",
        ),
        chunked(
            "coding_with_parameter",
            b"transfer-encoding: chunked;q=1\r\n",
        ),
        chunked("coding_of_bytes", b"transfer-encoding: chunk\xe9d\r\n"),
        chunked(
            "coding_and_length",
            b"transfer-encoding: chunked\r\ncontent-length: 10\r\n",
        ),
        chunked(
            "length_and_coding",
            b"content-length: 3000\r\ntransfer-encoding: chunked\r\n",
        ),
        plain(
            "coding_misspelt_and_length",
            b"transfer-encoding: xhunked\r\ncontent-length: 3000\r\n",
        ),
        plain("length_with_letter", b"content-length: 30x0\r\n"),
        plain("length_empty", b"content-length:\r\n"),
        plain("length_negative", b"content-length: -3000\r\n"),
        plain("length_with_plus", b"content-length: +3000\r\n"),
        plain("length_hexadecimal", b"content-length: 0xbb8\r\n"),
        plain("length_with_blank", b"content-length: 30 00\r\n"),
        plain("length_with_nul", b"content-length: 30\x0000\r\n"),
        plain("length_of_bytes", b"content-length: 30\xb200\r\n"),
        plain(
            "length_too_large",
            b"content-length: 18446744073709551617\r\n",
        ),
        plain(
            "lengths_that_differ",
            b"content-length: 3000\r\ncontent-length: 2999\r\n",
        ),
        plain("list_that_differs", b"content-length: 3000, 2999\r\n"),
    ];
    heads.push(Head {
        start: "HTTP/1.0 200 OK\r\n",
        ..chunked("coding_of_version_1_0", b"transfer-encoding: chunked\r\n")
    });
    heads.push(started(
        "no_content_with_length",
        "HTTP/1.1 204 No Content\r\n",
        b"content-length: 3000\r\n",
    ));
    heads.push(Head {
        start: "HTTP/1.1 204 No Content\r\n",
        ..chunked("no_content_in_chunks", b"transfer-encoding: chunked\r\n")
    });
    heads.push(empty(
        "not_modified_with_letter",
        "HTTP/1.1 304 Not Modified\r\n",
        b"content-length: 30x0\r\n",
    ));
    heads.push(empty(
        "not_modified_misspelt",
        "HTTP/1.1 304 Not Modified\r\n",
        b"transfer-encoding: chunkfd\r\n",
    ));
    heads
}

fn lines() -> Vec<Head> {
    vec![
        plain("no_colon", b"content-length 3000\r\n"),
        plain("one_word", b"x-note\r\ncontent-length: 3000\r\n"),
        plain("control_bytes", b"\x01\x02\x03\r\ncontent-length: 3000\r\n"),
        plain("no_name", b": 3000\r\ncontent-length: 3000\r\n"),
        plain("blank", b" \r\ncontent-length: 3000\r\n"),
        plain("folded", b"x-note: a\r\n b\r\ncontent-length: 3000\r\n"),
        plain("folded_first", b" x-note: a\r\ncontent-length: 3000\r\n"),
        plain(
            "value_with_nul",
            b"x-note: a\0b\r\ncontent-length: 3000\r\n",
        ),
        plain("value_with_cr", b"x-note: a\rb\r\ncontent-length: 3000\r\n"),
        plain("value_with_lf", b"x-note: a\nb\r\ncontent-length: 3000\r\n"),
        plain("empty_line", b"\ncontent-length: 3000\r\n"),
        chunked("empty_line_in_chunks", b"\ntransfer-encoding: chunked\r\n"),
        chunked(
            "second_status_line",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
        ),
    ]
}

fn names() -> Vec<Head> {
    vec![
        plain("blank_inside", b"content length: 3000\r\n"),
        plain("blank_at_end", b"content-length : 3000\r\n"),
        plain("blank_in_front", b" content-length: 3000\r\n"),
        plain("tab_inside", b"content\tlength: 3000\r\n"),
        plain("tab_at_end", b"content-length\t: 3000\r\n"),
        plain("control_byte", b"content\x01length: 3000\r\n"),
        plain("delete", b"content\x7flength: 3000\r\n"),
        plain("nul", b"content\0length: 3000\r\n"),
        plain("cr", b"content\rlength: 3000\r\n"),
        plain("cr_first", b"\rontent-length: 3000\r\n"),
        plain("lf", b"content\nlength: 3000\r\n"),
        plain("lf_first", b"\nontent-length: 3000\r\n"),
        chunked("lf_first_of_coding", b"\nransfer-encoding: chunked\r\n"),
        plain("lf_last", b"content-lengt\n: 3000\r\n"),
        plain("not_ascii", b"content\xe9length: 3000\r\n"),
        plain("note_with_blank", b"x note: a\r\ncontent-length: 3000\r\n"),
        plain(
            "note_with_control",
            b"x\x02note: a\r\ncontent-length: 3000\r\n",
        ),
        chunked("coding_with_blank", b"transfer encoding: chunked\r\n"),
        chunked(
            "coding_with_blank_at_end",
            b"transfer-encoding : chunked\r\n",
        ),
        chunked("coding_with_control", b"transfer\x1fencoding: chunked\r\n"),
    ]
}

fn statuses() -> Vec<Head> {
    const LENGTH: &[u8] = b"content-length: 3000\r\n";
    vec![
        started("zero", "HTTP/1.1 000 X\r\n", LENGTH),
        started("below_range", "HTTP/1.1 099 X\r\n", LENGTH),
        started("one_digit", "HTTP/1.1 0 X\r\n", LENGTH),
        started("two_digits", "HTTP/1.1 20 X\r\n", LENGTH),
        started("four_digits", "HTTP/1.1 2000 X\r\n", LENGTH),
        started("letter", "HTTP/1.1 2x0 X\r\n", LENGTH),
        started("negative", "HTTP/1.1 -20 X\r\n", LENGTH),
        started("none", "HTTP/1.1 \r\n", LENGTH),
        started("interim", "HTTP/1.1 100 X\r\n", LENGTH),
        started("other_protocol", "HTTP/1.1 101 X\r\n", LENGTH),
        started("interim_last", "HTTP/1.1 199 X\r\n", LENGTH),
        started("above_range", "HTTP/1.1 600 X\r\n", LENGTH),
        started("last", "HTTP/1.1 999 X\r\n", LENGTH),
        started("unknown_version", "HTTP/7.3 200 X\r\n", LENGTH),
        started("no_protocol", "HTTX/1.1 200 X\r\n", LENGTH),
    ]
}

/// Returns sound heads; their bodies have [`SIZE`] bytes, or none.
pub fn sound() -> Vec<Head> {
    vec![
        plain("length", b"Content-Length: 3000\r\n"),
        plain(
            "length_twice",
            b"content-length: 3000\r\ncontent-length: 3000\r\n",
        ),
        plain("length_listed_twice", b"content-length: 3000, 3000\r\n"),
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
