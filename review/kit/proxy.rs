//! A proxy that stands for a machine's link: it passes so many bytes a second each way.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Bytes that are passed on at a time.
const PIECE_BYTES: usize = 8 << 10;

/// One direction of the link.
struct Direction {
    rate: f64,
    free_from: Mutex<Instant>,
}

impl Direction {
    /// Waits until `bytes` more have crossed the link.
    fn pass(&self, bytes: usize) {
        let until = {
            let mut free_from = self.free_from.lock().unwrap();
            let start = (*free_from).max(Instant::now());
            *free_from = start + Duration::from_secs_f64(bytes as f64 / self.rate);
            *free_from
        };
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// Starts a proxy to `target` and returns its address; `rate` is in bytes a second.
pub fn start(target: SocketAddr, rate: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let direction = || {
        Arc::new(Direction {
            rate,
            free_from: Mutex::new(Instant::now()),
        })
    };
    let (there, back) = (direction(), direction());
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else {
                continue;
            };
            near.set_nodelay(true).ok();
            far.set_nodelay(true).ok();
            let copies = (near.try_clone(), far.try_clone());
            if let (Ok(near2), Ok(far2)) = copies {
                let (there, back) = (there.clone(), back.clone());
                std::thread::spawn(move || forward(near, far, &there));
                std::thread::spawn(move || forward(far2, near2, &back));
            }
        }
    });
    address
}

fn forward(mut from: TcpStream, mut to: TcpStream, direction: &Direction) {
    let mut buffer = vec![0; PIECE_BYTES];
    while let Ok(read) = from.read(&mut buffer) {
        if read == 0 {
            break;
        }
        direction.pass(read);
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    to.shutdown(Shutdown::Both).ok();
    from.shutdown(Shutdown::Both).ok();
}
