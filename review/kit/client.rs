//! A consumer's channel as it is over a wide-area network: usual segments and a small window.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::os::fd::FromRawFd;
use std::os::fd::OwnedFd;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2_000_000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Payload of a segment on an Ethernet link.
const SEGMENT_BYTES: i32 = 1_460;

#[repr(C)]
struct SockAddr {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddr, length: u32) -> i32;
}

fn check(result: i32) -> io::Result<i32> {
    match result {
        -1 => Err(io::Error::last_os_error()),
        result => Ok(result),
    }
}

/// Opens a channel whose receive buffer has about `window` bytes.
pub fn open(address: SocketAddr, window: i32) -> io::Result<TcpStream> {
    let IpAddr::V4(ip) = address.ip() else {
        return Err(io::Error::other("an address of IPv4 is needed"));
    };
    let to = SockAddr {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: ip.octets(),
        zero: [0; 8],
    };
    let size = size_of::<i32>() as u32;
    // The calls get valid pointers and sizes, and the descriptor has one owner.
    let socket = unsafe {
        let fd = check(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))?;
        let socket = OwnedFd::from_raw_fd(fd);
        check(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, size))?;
        check(setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT_BYTES, size))?;
        socket
    };
    unsafe {
        check(connect(socket.as_raw_fd(), &to, size_of::<SockAddr>() as u32))?;
    }
    Ok(TcpStream::from(socket))
}
