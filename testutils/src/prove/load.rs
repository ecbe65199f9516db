//! The callers of a run: a fixed number of calls, some of them repeated.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::faults::Balancer;
use super::schedule::Schedule;
use crate::caller::Ask;
use crate::caller::Call;
use crate::caller::Caller;
use crate::caller::Record;
use crate::caller::Told;
use crate::rig::ADAPTERS;
use crate::rig::TEAMS;
use crate::rig::adapter_name;

/// Callers that send side by side.
const CALLERS: usize = 8;

/// How often a caller sends a keyed call again.
const REPEATS: usize = 2;

/// A record with the entry that it was sent to.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The entry.
    pub entry: usize,
    /// The request and its end.
    pub record: Record,
}

/// Sends the schedule's calls; `begun` counts them as they begin.
pub async fn send_all(
    schedule: &Schedule,
    caller: &Caller,
    balancer: &Balancer,
    begun: &Arc<AtomicUsize>,
) -> Vec<Sent> {
    let (seed, plan) = (schedule.seed, (schedule.calls, schedule.tokens));
    let mut workers = Vec::new();
    for worker in 0..CALLERS {
        let (caller, balancer, begun) = (caller.clone(), balancer.clone(), begun.clone());
        let rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(worker as u64));
        workers.push(tokio::spawn(work(rng, plan, caller, balancer, begun)));
    }
    let mut all = Vec::new();
    for w in workers {
        all.extend(w.await.unwrap_or_default());
    }
    all
}

async fn work(
    mut rng: ChaCha8Rng,
    (calls, tokens): (usize, u32),
    caller: Caller,
    balancer: Balancer,
    begun: Arc<AtomicUsize>,
) -> Vec<Sent> {
    let mut done = Vec::new();
    loop {
        let number = begun.fetch_add(1, Ordering::SeqCst);
        if number >= calls {
            return done;
        }
        let call = draw(&mut rng, number, tokens);
        let first = send(&mut rng, &caller, &balancer, call).await;
        let mut last = first.record.told.clone();
        done.push(first);
        for repeat in 1..=REPEATS {
            let Some(call) = again(done.last().map(|s| &s.record.call), repeat, &last) else {
                break;
            };
            let sent = send(&mut rng, &caller, &balancer, call).await;
            last = sent.record.told.clone();
            done.push(sent);
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(10..60))).await;
    }
}

async fn send(rng: &mut ChaCha8Rng, caller: &Caller, balancer: &Balancer, call: Call) -> Sent {
    let (entry, address) = loop {
        let all = balancer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        match all.len() {
            0 => tokio::time::sleep(Duration::from_millis(20)).await,
            n => break all[rng.random_range(0..n)],
        }
    };
    let record = caller.send(address, call).await;
    Sent { entry, record }
}

fn draw(rng: &mut ChaCha8Rng, number: usize, tokens: u32) -> Call {
    let team = TEAMS[rng.random_range(0..TEAMS.len())];
    let ask = match rng.random_range(0..10) {
        0..6 => completion(rng, tokens),
        6..8 => Ask::Booking {
            path: format!("/booking/confirm/{number}"),
            key: Some(format!("key-{number}")),
        },
        _ => Ask::Booking {
            path: format!("/booking/confirm/{number}"),
            key: None,
        },
    };
    Call {
        id: format!("c{number}"),
        bearer: team.1.to_owned(),
        ask,
        deadline: Duration::from_millis(rng.random_range(4_000..8_000)),
    }
}

fn completion(rng: &mut ChaCha8Rng, most: u32) -> Ask {
    // Two draws make the low adapters more popular than the high ones.
    let i = rng
        .random_range(0..ADAPTERS)
        .min(rng.random_range(0..ADAPTERS));
    let version = if rng.random_range(0..6) == 0 { 2 } else { 1 };
    Ask::Completion {
        model: format!("{}@{version}", adapter_name(i)),
        stream: rng.random_range(0..2) == 0,
        tokens: rng.random_range(1..most),
    }
}

// A keyed call whose end its caller does not like is sent again under its key;
// it is another request, so it has another id.
fn again(call: Option<&Call>, repeat: usize, told: &Told) -> Option<Call> {
    let call = call?;
    let Ask::Booking {
        path,
        key: Some(key),
    } = &call.ask
    else {
        return None;
    };
    // One in three is repeated though it was answered, as an impatient thumb does.
    let impatient = repeat == 1 && call.id.len() % 3 == 0;
    if matches!(told, Told::Answered { .. }) && !impatient {
        return None;
    }
    let first = call.id.split('r').next().unwrap_or(&call.id);
    Some(Call {
        id: format!("{first}r{repeat}"),
        ask: Ask::Booking {
            path: path.clone(),
            key: Some(key.clone()),
        },
        ..call.clone()
    })
}
