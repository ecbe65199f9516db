//! Just enough of HTTP/1.1 for the stand-ins.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Result;
use std::net::TcpStream;

/// The head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        let found = all.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn word(&self, n: usize) -> &str {
        self.first.split(' ').nth(n).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn broken(text: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, text.to_owned())
}

/// Reads a line without its end.
fn line(from: &mut BufReader<TcpStream>) -> Result<String> {
    let mut text = Vec::new();
    from.read_until(b'\n', &mut text)?;
    if text.last() != Some(&b'\n') {
        return Err(broken("closed"));
    }
    while matches!(text.last(), Some(b'\n' | b'\r')) {
        text.pop();
    }
    Ok(String::from_utf8_lossy(&text).into_owned())
}

/// Reads a head; `None` if the channel ends before it.
pub fn read_head(from: &mut BufReader<TcpStream>) -> Result<Option<Head>> {
    if from.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let mut head = Head {
        first: line(from)?,
        headers: Vec::new(),
    };
    loop {
        let text = line(from)?;
        if text.is_empty() {
            return Ok(Some(head));
        }
        let (name, value) = text.split_once(':').ok_or_else(|| broken("bad header"))?;
        let pair = (name.trim().to_owned(), value.trim().to_owned());
        head.headers.push(pair);
    }
}

/// Reads a body piece by piece; `false` if it ends with its channel and may be incomplete.
pub fn read_body(
    from: &mut BufReader<TcpStream>,
    head: &Head,
    mut on_piece: impl FnMut(&[u8]),
) -> Result<()> {
    let chunked = head
        .get("transfer-encoding")
        .is_some_and(|t| t.contains("chunked"));
    if chunked {
        loop {
            let size = line(from)?;
            let size = size.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| broken("bad chunk"))?;
            let mut piece = vec![0; size];
            from.read_exact(&mut piece)?;
            line(from)?;
            if size == 0 {
                return Ok(());
            }
            on_piece(&piece);
        }
    }
    let length = head
        .get("content-length")
        .and_then(|l| l.parse::<usize>().ok());
    let mut left = length.unwrap_or(0);
    let mut buffer = vec![0; 64 << 10];
    while left > 0 {
        let most = left.min(buffer.len());
        let read = from.read(&mut buffer[..most])?;
        if read == 0 {
            return Err(broken("body cut"));
        }
        on_piece(&buffer[..read]);
        left -= read;
    }
    Ok(())
}

/// Reads a whole body.
pub fn whole_body(from: &mut BufReader<TcpStream>, head: &Head) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    read_body(from, head, |piece| body.extend_from_slice(piece))?;
    Ok(body)
}

/// A complete response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}
