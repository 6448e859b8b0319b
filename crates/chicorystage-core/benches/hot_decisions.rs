//! Benchmarks of frequent decisions at the largest intended size of a deployment.
//!
//! Where a group has two benchmarks, the second is a naive implementation or a
//! longer input. Compare the two as a ratio within one run.

use std::collections::HashSet;
use std::hint::black_box;

use chicorystage_api::inventory::Class;
use chicorystage_api::name::{ModelName, VmId};
use chicorystage_api::peer::{PermitKind, PermitRequest};
use chicorystage_core::evict::{Resident, evict};
use chicorystage_core::keep_alive::{KeepAlive, KeepAliveCost};
use chicorystage_core::permit::{PermitLimiter, PermitLimits};
use chicorystage_core::placement::{CacheTier, Candidate, DesiredSlots, SlotDemand, select_vm};
use chicorystage_core::rendezvous;
use criterion::{Criterion, criterion_group, criterion_main};

const ENDPOINTS: usize = 6_400;
const MODELS: usize = 280;
const PROBED: usize = 8;

fn vms(count: usize) -> Vec<VmId> {
    (0..count)
        .map(|i| VmId::from(format!("worker-{i:05}")))
        .collect()
}

fn desired_slots(count: usize) -> DesiredSlots {
    let candidate = |(i, vm): (usize, VmId)| Candidate {
        vm,
        zone: ["a", "b", "c"][i % 3].into(),
        cache_tier: CacheTier::Remote,
        memory_free_bytes: Some(1),
    };
    DesiredSlots {
        model: "varietal".into(),
        memory_bytes: 1,
        demand: SlotDemand::First,
        avoid: Vec::new(),
        candidates: vms(count).into_iter().enumerate().map(candidate).collect(),
        leaving: HashSet::new(),
        gone: HashSet::new(),
        releases: Vec::new(),
    }
}

fn choose_vm(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_vm");
    let all = desired_slots(ENDPOINTS);
    let probed = desired_slots(PROBED);
    group.bench_function("probed_candidates", |bencher| {
        bencher.iter(|| select_vm(None, black_box(&probed)));
    });
    group.bench_function("naive_all_endpoints", |bencher| {
        bencher.iter(|| select_vm(None, black_box(&all)));
    });
    group.finish();
}

fn rank(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("rank_endpoints");
    let names = vms(ENDPOINTS);
    let weight = |vm: &VmId| rendezvous::weight("varietal", vm.as_str());
    group.bench_function("first_only", |bencher| {
        bencher.iter(|| black_box(&names).iter().max_by_key(|vm| weight(vm)));
    });
    group.bench_function("naive_sort", |bencher| {
        bencher.iter(|| {
            let mut ranked = black_box(&names).clone();
            rendezvous::rank("varietal", &mut ranked, VmId::as_str);
            ranked
        });
    });
    group.finish();
}

fn plan_and_evict(criterion: &mut Criterion) {
    let names: Vec<ModelName> = (0..MODELS)
        .map(|i| ModelName::from(format!("model-{i:03}")))
        .collect();
    let mut history = KeepAlive::new();
    for (now_ms, name) in (0..200_000).step_by(97).zip(names.iter().cycle()) {
        history.observe(name, now_ms);
    }
    let cost = KeepAliveCost {
        reload_ms: 10_000,
        memory_permille: 300,
        cold_start_weight_percent: 50,
        keep_alive_min_ms: 0,
        keep_alive_max_ms: 3_600_000,
    };
    let residents: Vec<Resident> = names
        .iter()
        .map(|model| Resident {
            model: model.clone(),
            memory_bytes: 1,
            reload_ms: 1_000,
            probability_of_use: 0.5,
            has_work: false,
        })
        .collect();
    criterion.bench_function("keep_alive_plan", |bencher| {
        bencher.iter(|| history.plan(black_box(&names[0]), &cost));
    });
    criterion.bench_function("evict_one_of_280", |bencher| {
        bencher.iter(|| evict(black_box(&residents), 1));
    });
}

fn permits(criterion: &mut Criterion) {
    let limits = PermitLimits {
        loads_concurrent_max: 4,
        loads_per_s_max: 4,
        adapter_fetches_max: 30,
    };
    let request = |ticket| PermitRequest {
        vm: "worker-1".into(),
        ticket,
        kind: PermitKind::Model,
        class: Class::Standard,
        time_left_ms: 10_000,
    };
    let mut group = criterion.benchmark_group("permit_poll");
    for waiting in [8, 280] {
        let mut limiter = PermitLimiter::new(0);
        for ticket in 0..waiting {
            limiter.acquire(&request(ticket), limits, 0);
        }
        group.bench_function(format!("{waiting}_waiting"), |bencher| {
            bencher.iter(|| limiter.acquire(black_box(&request(waiting - 1)), limits, 1));
        });
    }
    group.finish();
}

criterion_group!(benches, choose_vm, rank, plan_and_evict, permits);
criterion_main!(benches);
