//! Memory and processor time of a process, as the kernel counts them.

use std::io;

/// What a process has used so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Usage {
    /// Resident memory now, in MiB.
    pub(crate) rss_mb: f64,
    /// Processor time since its start, in milliseconds.
    pub(crate) cpu_ms: f64,
}

/// Reads the usage of a process.
pub(crate) fn usage(pid: u32) -> io::Result<Usage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rss_kb = status
        .lines()
        .find_map(|l| l.strip_prefix("VmRSS:"))
        .and_then(first_number);
    let malformed = || io::Error::new(io::ErrorKind::InvalidData, "/proc is malformed");
    Ok(Usage {
        rss_mb: rss_kb.ok_or_else(malformed)? / 1_024.0,
        cpu_ms: cpu_ticks(&stat).ok_or_else(malformed)? * 1_000.0 / clock_ticks(),
    })
}

fn first_number(text: &str) -> Option<f64> {
    text.split_whitespace().next()?.parse().ok()
}

/// User and system time, the 14th and 15th field; the second field, the name in
/// parentheses, may hold spaces.
fn cpu_ticks(stat: &str) -> Option<f64> {
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn clock_ticks() -> f64 {
    rustix::param::clock_ticks_per_second() as f64
}
