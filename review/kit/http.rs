//! HTTP/1.1 messages over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// The head of a message: its first line and its headers, the names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        match (line.is_empty(), head.line.is_empty()) {
            (true, true) => {}
            (true, false) => return Ok(Some(head)),
            (false, true) => head.line = line.to_owned(),
            (false, false) => {
                if let Some((name, value)) = line.split_once(':') {
                    let name = name.trim().to_ascii_lowercase();
                    head.headers.push((name, value.trim().to_owned()));
                }
            }
        }
    }
}

/// Reads a body that has a length or comes in chunks; an error if it ends early. A request
/// without either has none.
pub fn read_body(stream: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    if head
        .header("transfer-encoding")
        .is_some_and(|t| t.contains("chunked"))
    {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            stream.read_line(&mut line)?;
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            let start = body.len();
            body.resize(start + size, 0);
            stream.read_exact(&mut body[start..])?;
            let mut end = String::new();
            stream.read_line(&mut end)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = head.header("content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// Writes an answer with a body of known length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}
