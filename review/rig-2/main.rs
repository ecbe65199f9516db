//! Runs one case of the second review: the project's own processes between stand-ins of the
//! platform's store, of replicas and of consumers. Needs the standard library only.
//!
//! `rig CASE RECORD` exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

mod cases;
mod client;
mod engine;
mod http;
mod process;
mod replica;
mod store;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, role, id, address] = &args[..]
        && role == "replica"
    {
        return process::serve(id, address);
    }
    let [_, case, record] = &args[..] else {
        eprintln!("usage: rig CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    world::watchdog(std::time::Duration::from_secs(115));
    let mut world = match world::World::start(record) {
        Ok(world) => world,
        Err(e) => {
            eprintln!("cannot run: {e}");
            std::process::exit(2);
        }
    };
    world.note(&format!("case {case}, trouble {trouble}"));
    let run = std::panic::AssertUnwindSafe(|| cases::run(case, &mut world, trouble));
    let result = std::panic::catch_unwind(run);
    world::end_all();
    let code = match result {
        Ok(Some(true)) => 1,
        Ok(Some(false)) => 0,
        Ok(None) | Err(_) => 2,
    };
    world.note(&format!("exit {code}"));
    drop(world);
    std::process::exit(code);
}
