//! Invariants of the pool over random schedules.

#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use banyangauge::pool::*;
use proptest::prelude::*;

use crate::test_pool_rig::RequestState;
use crate::test_pool_rig::Rig;
use crate::test_pool_rig::arrival;

/// Longest deadline in these schedules, in milliseconds.
const MAX_DEADLINE_MS: u64 = 20_000;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        team: u8,
        adapter: u8,
        long: bool,
        deadline: u64,
        output: u32,
        poison: bool,
        avoid: u8,
    },
    Abandon(u64),
    Crash(u8),
    Health(u8, u8),
    Remove(u8),
    BreakLoads(u8, bool),
    Freeze(u64),
    FreezeEvictions(u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (
        0..4u8,
        0..12u8,
        any::<bool>(),
        1..MAX_DEADLINE_MS,
        1..400u32,
        prop::bool::weighted(0.02),
        0..6u8,
    )
        .prop_map(
            |(team, adapter, long, deadline, output, poison, avoid)| Step::Offer {
                team,
                adapter,
                long,
                deadline,
                output,
                poison,
                avoid,
            },
        );
    prop_oneof![
        30 => offer,
        3 => (0..60u64).prop_map(Step::Abandon),
        1 => (1..4u8).prop_map(Step::Crash),
        1 => (1..4u8, 0..4u8).prop_map(|(r, h)| Step::Health(r, h)),
        1 => (0..4u8).prop_map(Step::Remove),
        1 => (0..12u8, any::<bool>()).prop_map(|(a, on)| Step::BreakLoads(a, on)),
        1 => (0..3_000u64).prop_map(Step::Freeze),
        1 => (0..3_000u64).prop_map(Step::FreezeEvictions),
        10 => (0..800u64).prop_map(Step::Wait),
    ]
}

fn adapter_name(adapter: u8) -> String {
    // 0 is the bare model.
    match adapter {
        0 => String::new(),
        n => format!("a{n}@1"),
    }
}

fn apply(rig: &mut Rig, serial: u64, step: &Step) {
    match step {
        Step::Offer {
            team,
            adapter,
            long,
            deadline,
            output,
            poison,
            avoid,
        } => {
            let mut a = arrival(serial, &format!("t{team}"), &adapter_name(*adapter));
            if *long {
                a.class = Class::Long;
            }
            a.deadline = rig.now.after(Span::from_millis(*deadline));
            a.max_tokens = *output;
            if *poison {
                rig.poison.insert(a.fingerprint);
            }
            if (1..=3).contains(avoid) {
                a.avoid.insert(format!("r{avoid}").parse().unwrap());
            }
            rig.offer_in(0, a);
            rig.run_for(0);
        }
        Step::Abandon(back) => rig.abandon_in(0, serial.saturating_sub(*back)),
        Step::Crash(r) => rig.crash_in(0, &format!("r{r}")),
        Step::Health(r, h) => {
            let all = [Health::Live, Health::Suspect, Health::Leaving, Health::Gone];
            rig.set_health(&format!("r{r}"), all[usize::from(*h)]);
        }
        Step::Remove(0) => rig.configure(&[]),
        Step::Remove(r) => rig.configure(&[&format!("r{r}")]),
        Step::BreakLoads(a, on) => {
            if *a > 0 {
                let name = adapter_name(*a).parse().unwrap();
                match on {
                    true => rig.failing_loads.insert(name),
                    false => rig.failing_loads.remove(&name),
                };
            }
        }
        Step::Freeze(ms) => rig.freeze_slots(rig.now.after(Span::from_millis(*ms))),
        Step::FreezeEvictions(ms) => {
            // A shorter freeze does not end a longer one.
            let until = rig.now.after(Span::from_millis(*ms));
            rig.freeze_evictions(until.max(rig.evict_freeze));
        }
        Step::Wait(ms) => rig.run_for(*ms),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, ..ProptestConfig::default() })]

    /// Each request is granted or refused exactly once, unless its caller goes
    /// away first. The rig checks each grant, load and eviction.
    #[test]
    fn every_wait_ends_random(
        steps in prop::collection::vec(step(), 1..160),
        retries in 0..3u32,
        batch in 1..6u32,
    ) {
        let mut rig = Rig::new(PoolSettings::default(), 3, 2, batch);
        rig.retries = retries;
        for (serial, step) in steps.iter().enumerate() {
            apply(&mut rig, serial as u64, step);
        }
        rig.run_for(MAX_DEADLINE_MS + 60_000);
        prop_assert_eq!(rig.waiting(), 0);
        let open = |g: &RequestState| matches!(g, RequestState::Granted(_));
        prop_assert!(!rig.states.values().any(open));
        let view = rig.pool.view();
        prop_assert_eq!((view.queued, view.granted), (0, 0));
        // If a replica crashes for another reason while a suspect runs alone on
        // it, the suspect is blocked; the two causes cannot be distinguished.
        let crashed = steps.iter().any(|s| matches!(s, Step::Crash(_)));
        prop_assert!(crashed || rig.blocked.is_subset(&rig.poison), "blocked an innocent request");
    }
}
