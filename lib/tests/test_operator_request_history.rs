//! Reconstructing a request's history from log lines.

use banyangauge::operator::RequestHistory;

const LINES: &str = r#"
  1.0 vm-a {"msg":"owners","ts":"2026-01-01T10:00:01.000Z","vm":"a","term":4,"revision":9}
  1.1 vm-b {"msg":"order","ts":"2026-01-01T10:00:01.100Z","vm":"b","what":"load","target":"base/a7","replica":"i-1","end":"accepted"}
  1.2 vm-b {"msg":"order","ts":"2026-01-01T10:00:01.200Z","vm":"b","what":"load","target":"base/a8","replica":"i-2","end":"accepted"}
not a log line
  1.3 vm-a {"msg":"placed","ts":"2026-01-01T10:00:01.300Z","vm":"a","id":"r1","target":"base/a7","replica":"i-1","waited_ms":200,"why":"not_loaded_in_time"}
  1.3 vm-a {"msg":"placed","ts":"2026-01-01T10:00:01.310Z","vm":"a","id":"r2","replica":"i-1","waited_ms":200}
  1.4 vm-b {"msg":"replica gone","ts":"2026-01-01T10:00:01.390Z","vm":"b","replica":"i-1","why":"removed"}
  1.5 vm-a {"msg":"try ended","ts":"2026-01-01T10:00:01.400Z","vm":"a","id":"r1","replica":"i-1","why":"broken","sends":1,"runs":1}
  1.5 vm-a {"msg":"refused","ts":"2026-01-01T10:00:01.401Z","vm":"a","id":"r1","why":"broken","status":502,"retry_after_ms":null}
"#;

#[test]
fn render_includes_related_events() {
    let mut history = RequestHistory::new("r1");
    history.add_log(LINES);
    insta::assert_snapshot!(history.render(), @r"
    10:00:01.000 a owners revision=9 term=4
    10:00:01.100 b order end=accepted replica=i-1 target=base/a7 what=load
    10:00:01.300 a placed replica=i-1 target=base/a7 waited_ms=200 why=not_loaded_in_time
    10:00:01.390 b replica gone replica=i-1 why=removed
    10:00:01.400 a try ended replica=i-1 runs=1 sends=1 why=broken
    10:00:01.401 a refused status=502 why=broken
    ");
}

/// A route went by an old configuration while the store came back from a copy.
#[test]
fn render_includes_restore_of_store() {
    let mut history = RequestHistory::new("r1");
    history.add_log(
        r#"
{"msg":"store came back from an earlier copy, reading all again","ts":"2026-01-01T10:00:01.000Z","vm":"a","era":2,"old_era":1,"known":"1/89 1/90 1/90 1/91","config":22,"told_by":null}
{"msg":"store objects replaced after a restore","ts":"2026-01-01T10:00:01.010Z","vm":"a","kind":"config","era":2,"old_revision":"1/89","revision":"2/63","missing":"","took_ms":10}
{"msg":"store objects replaced after a restore","ts":"2026-01-01T10:00:01.010Z","vm":"b","kind":"config","era":2,"old_revision":"1/89","revision":"2/63","missing":"","took_ms":10}
{"msg":"refused","ts":"2026-01-01T10:00:01.401Z","vm":"a","id":"r1","why":"no_route","status":404,"config":22}
"#,
    );
    insta::assert_snapshot!(history.render(), @r"
    10:00:01.000 a store came back from an earlier copy, reading all again config=22 era=2 known=1/89 1/90 1/90 1/91 old_era=1
    10:00:01.010 a store objects replaced after a restore era=2 kind=config missing= old_revision=1/89 revision=2/63 took_ms=10
    10:00:01.401 a refused config=22 status=404 why=no_route
    ");
}

#[test]
fn render_unknown_request() {
    let mut history = RequestHistory::new("r9");
    history.add_log(LINES);
    assert_eq!(history.render(), "no log line names request r9\n");
}
