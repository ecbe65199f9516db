//! `banyan account` and the wait in `banyan why`, on recorded lines.

use std::io::Write;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use rstest::rstest;
use serde_json::Value;

const LINES: &str = r#"
1.0 vm-a {"msg":"started","ts":"2026-01-01T10:00:00.900Z","vm":"a"}
1.1 vm-b {"msg":"order","ts":"2026-01-01T10:00:01.000Z","vm":"b","what":"load","target":"base/a7","replica":"i-1","expected":3,"token":2,"end":"accepted","took_ms":null,"wait_ms":40,"waiting":3,"rank":"0/1"}
1.1 vm-b {"msg":"order","ts":"2026-01-01T10:00:01.300Z","vm":"b","what":"load","target":"base/a7","replica":"i-1","expected":3,"token":2,"end":"holds","took_ms":300,"rank":"0/1"}
1.3 vm-a {"msg":"placed","ts":"2026-01-01T10:00:01.350Z","vm":"a","id":"r1","route":"chat","rank":"0/1","replica":"i-1","waited_ms":400,"why":"not_loaded_in_time","load_ms":60,"loading_ms":310,"asks_ms":10}
1.5 vm-a {"msg":"stream missed its latency objective","ts":"2026-01-01T10:00:03.000Z","vm":"a","id":"r1","replica":"i-1","route":"chat","first_ms":900,"pause_ms":30,"late":"first","prompt":826}
1.6 vm-a {"msg":"placed","ts":"2026-01-01T10:00:04.000Z","vm":"a","id":"r2","replica":"i-1","waited_ms":100,"why":"replicas_full"}
1.7 vm-a {"msg":"no replica can take the request","ts":"2026-01-01T10:00:05.000Z","vm":"a","id":"r3","route":"chat","rank":"0/1","why":"not_loaded_in_time","waited_ms":1300,"load_ms":1300}
1.7 vm-a {"msg":"refused","ts":"2026-01-01T10:00:05.001Z","vm":"a","id":"r3","route":"chat","rank":"0/1","why":"not_loaded_in_time","status":503,"retry_after_ms":500,"held_ms":1301,"config":3,"load_ms":1300}
1.8 vm-b {"msg":"placed","ts":"2026-01-01T10:00:05.800Z","vm":"b","id":"r3","replica":"i-2","waited_ms":30,"why":"replicas_full"}
1.9 vm-b {"msg":"try ended","ts":"2026-01-01T10:00:07.000Z","vm":"b","id":"r4","replica":"i-2","why":"broken","standing":"live","sends":1,"runs":1,"left_ms":381}
1.9 vm-b {"msg":"refused","ts":"2026-01-01T10:00:07.001Z","vm":"b","id":"r4","why":"broken","status":502,"retry_after_ms":null,"held_ms":20,"config":3}
2.0 vm-b {"msg":"caller disconnected during the response","ts":"2026-01-01T10:00:11.000Z","vm":"b","id":"r5","replica":"i-2","last":3,"route":"chat","first_ms":200,"held_ms":700}
2.1 vm-b {"msg":"refused","ts":"2026-01-01T10:00:11.0
2.2 vm-b cut off
2.3 vm-b {"msg":"refused","ts":"2026-01-01T10:00:11.000Z","vm":"b","why":"no_replica"}
"#;

fn banyan(arguments: &[&str], input: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_banyan"));
    let command = command.args(arguments).stdin(Stdio::piped());
    let command = command.stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut stdin = child.stdin.take().unwrap();
    stdin.write_all(input.as_bytes()).unwrap();
    drop(stdin);
    child.wait_with_output().unwrap()
}

fn stdout(output: Output) -> String {
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(output.status.success(), "{error}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn account_text() {
    insta::assert_snapshot!(stdout(banyan(&["account"], LINES)), @r#"
    6 requests of 5 IDs, 10:00:01.000 to 10:00:11.000
    15 lines: 11 used, 1 of other kinds, 1 without an object, 1 not JSON, 1 incomplete
    0 lines dropped by the VMs
    median load: 300 ms, taken as cached below 75

    Requests
    group              seen  in_time  late  first  pause  both  unstated  refused  failed  left
    all                6     2        1     1      0      0     0         1        1       1
    route -            2     1        0     0      0      0     0         0        1       0
    route chat         4     1        1     1      0      0     0         1        0       1
    rank -             3     1        0     0      0      0     0         0        1       1
    rank 0/1           3     1        1     1      0      0     0         1        0       0
    from 10:00:01.000  1     0        1     1      0      0     0         0        0       0
    from 10:00:02.000  0     0        0     0      0      0     0         0        0       0
    from 10:00:03.000  0     0        0     0      0      0     0         0        0       0
    from 10:00:04.000  1     1        0     0      0      0     0         0        0       0
    from 10:00:05.000  2     1        0     0      0      0     0         1        0       0
    from 10:00:06.000  0     0        0     0      0      0     0         0        0       0
    from 10:00:07.000  1     0        0     0      0      0     0         0        1       0
    from 10:00:08.000  0     0        0     0      0      0     0         0        0       0
    from 10:00:09.000  0     0        0     0      0      0     0         0        0       0
    from 10:00:10.000  1     0        0     0      0      0     0         0        0       1

    Refused
    group              reason              requests  held p50  p90   retry_after p50  p90  returned  served
    all                not_loaded_in_time  1         1301      1301  500              500  1         1
    route chat         not_loaded_in_time  1         1301      1301  500              500  1         1
    rank 0/1           not_loaded_in_time  1         1301      1301  500              500  1         1
    from 10:00:05.000  not_loaded_in_time  1         1301      1301  500              500  1         1

    Failed, left and tried again
    group              what       reason               count
    all                failed     broken               1
    all                left       during the response  1
    all                try ended  broken               1
    route -            failed     broken               1
    route -            try ended  broken               1
    route chat         left       during the response  1
    rank -             failed     broken               1
    rank -             left       during the response  1
    rank -             try ended  broken               1
    from 10:00:07.000  failed     broken               1
    from 10:00:07.000  try ended  broken               1
    from 10:00:10.000  left       during the response  1

    Waits for a replica: mean of each part over those that waited
    group              waited  mean  p50  p90   load  copy  loading  full  withheld  none  asks  other
    all                4       457   100  1300  340   0     77       0     0         0     2     37
    route -            1       100   100  100   0     0     0        0     0         0     0     100
    route chat         3       576   400  1300  453   0     103      0     0         0     3     16
    rank -             1       100   100  100   0     0     0        0     0         0     0     100
    rank 0/1           3       576   400  1300  453   0     103      0     0         0     3     16
    from 10:00:01.000  1       400   400  400   60    0     310      0     0         0     10    20
    from 10:00:04.000  1       100   100  100   0     0     0        0     0         0     0     100
    from 10:00:05.000  2       665   30   1300  650   0     0        0     0         0     0     15

    Waits for a replica by last reason
    group              reason              waits  mean  p50   p90
    all                not_loaded_in_time  2      850   400   1300
    all                replicas_full       2      65    30    100
    route -            replicas_full       1      100   100   100
    route chat         not_loaded_in_time  2      850   400   1300
    route chat         replicas_full       1      30    30    30
    rank -             replicas_full       1      100   100   100
    rank 0/1           not_loaded_in_time  2      850   400   1300
    rank 0/1           replicas_full       1      30    30    30
    from 10:00:01.000  not_loaded_in_time  1      400   400   400
    from 10:00:04.000  replicas_full       1      100   100   100
    from 10:00:05.000  not_loaded_in_time  1      1300  1300  1300
    from 10:00:05.000  replicas_full       1      30    30    30

    Loads
    group              loads  fetched  again  cached  unmeasured  unseen  took p50  p90  ordered after p50  p90  waiting p50  p90
    all                1      1        0      0       0           0       300       300  40                 40   3            3
    rank 0/1           1      1        0      0       0           0       300       300  40                 40   3            3
    from 10:00:01.000  1      1        0      0       0           0       300       300  40                 40   3            3
    from 10:00:02.000  0      0        0      0       0           0       -         -    -                  -    -            -
    from 10:00:03.000  0      0        0      0       0           0       -         -    -                  -    -            -
    from 10:00:04.000  0      0        0      0       0           0       -         -    -                  -    -            -
    from 10:00:05.000  0      0        0      0       0           0       -         -    -                  -    -            -
    from 10:00:06.000  0      0        0      0       0           0       -         -    -                  -    -            -
    from 10:00:07.000  0      0        0      0       0           0       -         -    -                  -    -            -
    from 10:00:08.000  0      0        0      0       0           0       -         -    -                  -    -            -
    from 10:00:09.000  0      0        0      0       0           0       -         -    -                  -    -            -
    from 10:00:10.000  0      0        0      0       0           0       -         -    -                  -    -            -

    Orders
    group              order  outcome   count
    all                load   accepted  1
    all                load   holds     1
    rank 0/1           load   accepted  1
    rank 0/1           load   holds     1
    from 10:00:01.000  load   accepted  1
    from 10:00:01.000  load   holds     1

    A request is one arrival of an ID at a VM. seen = in_time + late + refused + failed + left.
    Requests that were answered in time and waited less than 20 ms have no line: they are in no count.
    in_time: no line says that it was late, refused, failed or given up. Only event streams have lines when they are late; responses that were under way at the end of the logs, and errors of a replica that were forwarded, are in this count too.
    late: first event, pause, both; unstated where the line has no key late. failed: 502 and 504, and responses that broke off without a line that they were resumed.
    returned, served: the ID is in the logs again later, and was answered then. An ID that came back and was answered in time without a wait is in neither.
    A load that took under a quarter of the median is taken as cached; again: not cached, and the replica had unloaded the adapter before in these logs. Durations are upper bounds, as the end of a load is found by polling.
    other: the part of the waits that the lines do not break down. Orders and loads have no route. - stands for what no line states.
    "#);
}

/// The JSON output has the same counts; periods are left out of the snapshot, as the text
/// shows them.
#[test]
fn account_json() {
    let text = stdout(banyan(&["account", "--json"], LINES));
    let mut value: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(value["requests"]["periods"].as_array().unwrap().len(), 10);
    let requests = value["requests"]["all"].take();
    let orders = value["orders"]["all"].take();
    insta::assert_snapshot!(value["lines"], @r#"{"dropped":0,"incomplete":1,"no_object":1,"not_json":1,"other":1,"read":15,"used":11}"#);
    insta::assert_snapshot!(requests, @r#"{"failed":{"broken":1},"failures":{"broken":1},"in_time":2,"late":{"both":0,"first":1,"pause":0,"unstated":0},"left":{"before":0,"during":1},"refused":{"not_loaded_in_time":{"held_ms":{"count":1,"mean":1301,"p50":1301,"p90":1301},"requests":1,"retry_ms":{"count":1,"mean":500,"p50":500,"p90":500},"returned":1,"served":1}},"seen":6,"sent_again":0,"waits":{"parts_ms":{"asks":10,"copy":0,"full":0,"load":1360,"loading":310,"none":0,"other":150,"withheld":0},"reasons_ms":{"not_loaded_in_time":{"count":2,"mean":850,"p50":400,"p90":1300},"replicas_full":{"count":2,"mean":65,"p50":30,"p90":100}},"total_ms":{"count":4,"mean":457,"p50":100,"p90":1300}}}"#);
    insta::assert_snapshot!(orders, @r#"{"loads":{"again":0,"cached":0,"fetched":1,"unmeasured":0,"unseen":0},"orders":{"load":{"accepted":1,"holds":1}},"took_ms":{"count":1,"mean":300,"p50":300,"p90":300},"wait_ms":{"count":1,"mean":40,"p50":40,"p90":40},"waiting":{"count":1,"mean":3,"p50":3,"p90":3}}"#);
}

/// Files and standard input are read as one log: an ID whose lines are in two files must
/// not be counted as two requests that know nothing of each other.
#[rstest]
#[case::input(&["-"])]
#[case::file(&["FILE"])]
#[case::file_and_input(&["FILE", "-"])]
fn account_inputs(#[case] names: &[&str]) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.log");
    let lines: Vec<&str> = LINES.lines().collect();
    let in_file = match names {
        ["FILE"] => lines.len(),
        ["FILE", _] => 9,
        _ => 0,
    };
    std::fs::write(&path, lines[..in_file].join("\n")).unwrap();
    let files = names.iter().map(|name| match *name {
        "FILE" => path.to_str().unwrap(),
        name => name,
    });
    let arguments: Vec<&str> = ["account"].into_iter().chain(files).collect();
    let text = stdout(banyan(&arguments, &lines[in_file..].join("\n")));
    assert_eq!(text, stdout(banyan(&["account"], LINES)));
}

#[test]
fn account_missing_file() {
    let output = banyan(&["account", "/nonexistent/a.log"], "");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn why_prints_parts_of_wait() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.log");
    std::fs::write(&path, LINES).unwrap();
    let text = stdout(banyan(&["why", "r1", path.to_str().unwrap()], ""));
    insta::assert_snapshot!(text, @r#"
    10:00:01.000 b order end=accepted expected=3 rank=0/1 replica=i-1 target=base/a7 token=2 wait_ms=40 waiting=3 what=load
    10:00:01.300 b order end=holds expected=3 rank=0/1 replica=i-1 target=base/a7 token=2 took_ms=300 what=load
    10:00:01.350 a placed rank=0/1 replica=i-1 route=chat waited_ms=400 why=not_loaded_in_time
        wait: load 60 ms, loading 310 ms, asks 10 ms, other 20 ms
    10:00:03.000 a stream missed its latency objective first_ms=900 late=first pause_ms=30 prompt=826 replica=i-1 route=chat
    "#);
}
