//! Renders a timeline as a self-contained HTML page.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::TimelineEvent;

/// Layout of the chart, in pixels.
const LANE_WIDTH: usize = 220;
const ROW_HEIGHT: usize = 22;
const LEFT_MARGIN: usize = 110;
const TOP_MARGIN: usize = 50;

const STYLE: &str = "body{font:13px sans-serif;margin:16px}text{font:12px sans-serif}\
.lane{stroke:#bbb}.at{fill:#666;text-anchor:end}.name{font-weight:bold}\
circle{fill:#356}circle.bad{fill:#b22}circle.good{fill:#283}";

/// Renders a page with a lane per process and a row per event, in the order of
/// `events`. All values are escaped.
///
/// ```
/// let page = banyangauge::operator::timeline_html(&[], 0);
/// assert!(page.starts_with("<!DOCTYPE html>"));
/// ```
pub fn timeline_html(events: &[TimelineEvent], dropped: u64) -> String {
    let mut lanes: BTreeMap<&str, usize> = BTreeMap::new();
    for e in events {
        lanes.insert(&e.event.process, 0);
    }
    for (number, position) in lanes.values_mut().enumerate() {
        *position = LEFT_MARGIN + number * LANE_WIDTH;
    }
    let width = LEFT_MARGIN + lanes.len().max(1) * LANE_WIDTH + LANE_WIDTH;
    let height = TOP_MARGIN + (events.len() + 1) * ROW_HEIGHT;
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Timeline</title><style>{STYLE}</style></head><body>\
         <p>{} events; {dropped} older events were evicted from the processes' buffers.</p>\n\
         <svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\">\n",
        events.len()
    );
    for (process, x) in &lanes {
        write_lane(&mut page, process, *x, height);
    }
    for (number, e) in events.iter().enumerate() {
        let x = lanes.get(e.event.process.as_str()).copied();
        write_event(
            &mut page,
            e,
            x.unwrap_or(LEFT_MARGIN),
            TOP_MARGIN + (number + 1) * ROW_HEIGHT,
        );
    }
    page.push_str("</svg></body></html>\n");
    page
}

// Writing to a `String` cannot fail, here and in `write_event`.
fn write_lane(page: &mut String, process: &str, x: usize, height: usize) {
    let _ = writeln!(
        page,
        "<text class=\"name\" x=\"{x}\" y=\"20\">{}</text>\
         <line class=\"lane\" x1=\"{x}\" y1=\"28\" x2=\"{x}\" y2=\"{height}\"/>",
        escape(process)
    );
}

fn write_event(page: &mut String, event: &TimelineEvent, x: usize, y: usize) {
    let e = &event.event;
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
        LEFT_MARGIN - 20,
        event.offset_ms,
        escape(&e.detail),
        y - 4,
        x + 10,
        escape(&label.join(" "))
    );
}

fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            c if c.is_control() => escaped.push('\u{fffd}'),
            c => escaped.push(c),
        }
    }
    escaped
}
