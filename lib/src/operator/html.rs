//! A time line as one HTML page that needs no other file.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::TimelineEvent;

/// Pixels between two lanes, two events and the edges.
const LANE: usize = 220;
const ROW: usize = 22;
const LEFT: usize = 110;
const TOP: usize = 50;

const STYLE: &str = "body{font:13px sans-serif;margin:16px}text{font:12px sans-serif}\
.lane{stroke:#bbb}.at{fill:#666;text-anchor:end}.name{font-weight:bold}\
circle{fill:#356}circle.bad{fill:#b22}circle.good{fill:#283}";

/// A page with a lane for each process and a row for each event, in the order
/// of the clock; every value is escaped.
///
/// ```
/// let page = banyangauge::operator::timeline_html(&[], 0);
/// assert!(page.starts_with("<!DOCTYPE html>"));
/// ```
pub fn timeline_html(lines: &[TimelineEvent], dropped: u64) -> String {
    let mut lanes: BTreeMap<&str, usize> = BTreeMap::new();
    for line in lines {
        lanes.insert(&line.event.process, 0);
    }
    for (number, lane) in lanes.values_mut().enumerate() {
        *lane = LEFT + number * LANE;
    }
    let width = LEFT + lanes.len().max(1) * LANE + LANE;
    let height = TOP + (lines.len() + 1) * ROW;
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Time line</title><style>{STYLE}</style></head><body>\
         <p>{} events; {dropped} older ones were dropped by the processes' rings.</p>\n\
         <svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\">\n",
        lines.len()
    );
    for (process, x) in &lanes {
        lane(&mut page, process, *x, height);
    }
    for (number, line) in lines.iter().enumerate() {
        let x = lanes.get(line.event.process.as_str()).copied();
        event(&mut page, line, x.unwrap_or(LEFT), TOP + (number + 1) * ROW);
    }
    page.push_str("</svg></body></html>\n");
    page
}

// Writing to a string cannot fail, here and below.
fn lane(page: &mut String, process: &str, x: usize, height: usize) {
    let _ = writeln!(
        page,
        "<text class=\"name\" x=\"{x}\" y=\"20\">{}</text>\
         <line class=\"lane\" x1=\"{x}\" y1=\"28\" x2=\"{x}\" y2=\"{height}\"/>",
        escape(process)
    );
}

fn event(page: &mut String, line: &TimelineEvent, x: usize, y: usize) {
    let e = &line.event;
    let class = match e.kind.as_str() {
        "refused" | "unknown" | "convicted" | "lost" => "bad",
        "answered" | "in_force" | "acquired" => "good",
        _ => "plain",
    };
    let parts = [&e.kind, &e.request, &e.adapter, &e.upstream, &e.pool];
    let label: Vec<_> = parts
        .into_iter()
        .filter(|p| !p.is_empty())
        .cloned()
        .collect();
    let _ = writeln!(
        page,
        "<text class=\"at\" x=\"{}\" y=\"{y}\">{:.3} ms</text>\
         <g><title>{}</title><circle class=\"{class}\" cx=\"{x}\" cy=\"{}\" r=\"4\"/>\
         <text x=\"{}\" y=\"{y}\">{}</text></g>",
        LEFT - 20,
        line.offset_ms,
        escape(&e.detail),
        y - 4,
        x + 10,
        escape(&label.join(" "))
    );
}

fn escape(text: &str) -> String {
    let mut safe = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => safe.push_str("&amp;"),
            '<' => safe.push_str("&lt;"),
            '>' => safe.push_str("&gt;"),
            '"' => safe.push_str("&quot;"),
            '\'' => safe.push_str("&#39;"),
            c if c.is_control() => safe.push('\u{fffd}'),
            c => safe.push(c),
        }
    }
    safe
}
