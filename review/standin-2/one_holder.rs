//! Case 8: rule ONE, the drill of the store while the machine that held the lease starts again.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use crate::callers::{count, new_attempt, record_ends, send_new, StreamRequest};
use crate::gateway::{Bounds, Gateway};
use crate::store::Store;
use crate::util::{now_ms, random, sleep_ms, Json};
use crate::worker::{Kind, SeenOrder, Worker};

const ADAPTERS: u64 = 60;
/// `lease_ms` of the site.
const LEASE_MS: u64 = 3_000;
/// How long the store is away, in milliseconds.
const AWAY_MS: u64 = 1_400;
/// Time from the end of the stopped process to its next start, in milliseconds, at least.
const RESTART_MS: u64 = 1_500;
/// Time for which a holder gives engines no orders after they have started, in milliseconds: former
/// ones may still be carried out.
const ENGINES_AGE_MS: u64 = 21_000;

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"r-doc","host":"h.example","prefix":"/doc/","kind":"stream","timeout_ms":4000,
  "latency_target_ms":300,"priority":0,"backend":"llm","max_attempts":1,"sticky":true,
  "resumable":false,"gap_aim_ms":200}],
 "services":[{"name":"llm","health_path":"/healthz","max_conns":350,"engine":{"slots":24,
  "kv_capacity":74923,"model_size":200000,"adapter_slots":8,"loads_per_s":15,
  "models":[{"name":"m0","model_size":72700,"load_s":13.2,"warm_s":0.4,"disk_s":0.52,
  "adapters":60,"adapter_mb":66}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,
  "idle_timeout_ms":15000}}"#;

/// Returns the holder that the store's row of the lease names, and its epoch.
fn lease(store: &Store) -> Option<(String, u64, bool)> {
    let (row, _) = store.find("lease/orders")?;
    let row = Json::parse(&row)?;
    let released = *row.get("released") == Json::Bool(true);
    Some((row.get("holder").text().to_owned(), row.get("epoch").number()?, released))
}

fn wait_for(what: &str, limit_ms: u64, mut is_so: impl FnMut() -> bool) -> bool {
    let until = now_ms() + limit_ms;
    while now_ms() < until {
        if is_so() {
            return true;
        }
        sleep_ms(5);
    }
    note!("waited in vain: {what}");
    false
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op", "config", Some(CONFIG));
    let kind = Kind {
        service: "llm".into(),
        zone: "z1".into(),
        software: "v1".into(),
        slots: 24,
        queue: 72,
        adapter_slots: 8,
        checks_fence: false,
        models: vec!["m0".into()],
        model_places: 2,
        load_ms: 6_000,
        disk_ms: 1_200,
        event_ms: 20,
    };
    let workers = [
        Worker::start("i-1", kind.clone(), &store),
        Worker::start("i-2", kind, &store),
    ];
    let bounds = Bounds { checks_fence: false, retry_slack: 102, cpu_share: 0.5, revoke_ms: None };
    let net = 10 + random(200);
    let gateway = |i: u64, zone: &str| {
        let ip = format!("127.91.{net}.{i}");
        Gateway::new(folder, &format!("front-{i}"), zone, &ip, store.address, &bounds)
    };
    let mut gateways = [gateway(1, "z1"), gateway(2, "z2"), gateway(3, "z3")];
    // The first gateway holds the lease first.
    gateways[0].start();
    if !wait_for("a holder", 10_000, || lease(&store).is_some()) {
        return 2;
    }
    gateways[1].start();
    gateways[2].start();
    for gateway in &gateways {
        gateway.wait_ready();
    }
    note!("lease: {:?}", lease(&store));

    // Requesters of each zone come to its machine, whose zone has no other.
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for gateway in &gateways {
        for _ in 0..6 {
            let (front, name, is_over) = (gateway.front, gateway.name.clone(), Arc::clone(&is_over));
            callers.push(std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let request = StreamRequest {
                        path: "/doc/2f".into(),
                        model: format!("m0/a{}", 1 + random(ADAPTERS)),
                        events: 6,
                        time_limit_ms: 4_000,
                        last_event_id: None,
                        resumes: None,
 key: None,
                    };
                    let attempt = new_attempt();
                    let reply = send_new(front, &request, &attempt, |_| {});
                    count(&format!("to {name}"), &format!("{attempt} for {}", request.model), &reply);
                    sleep_ms(150 + random(100));
                }
            }));
        }
    }
    sleep_ms(ENGINES_AGE_MS.saturating_sub(now_ms()) + 3_000);

    // Planned: the machine that holds the lease is stopped and started again.
    let Some((holder, epoch, _)) = lease(&store) else { return 2 };
    let Some(stopped) = gateways.iter().position(|gateway| gateway.name == holder) else { return 2 };
    note!("holder: {holder}, epoch {epoch}");
    gateways[stopped].terminate();
    gateways[stopped].wait_end(8_000);
    let ended_ms = now_ms();
    let is_released = lease(&store).is_some_and(|(_, _, released)| released);
    note!("lease: {:?}", lease(&store));
    let has_taken = wait_for("another holder", 6_000, || {
        lease(&store).is_some_and(|(now, _, released)| now != holder && !released)
    });
    if !has_taken {
        return 2;
    }
    let taken_ms = now_ms();
    note!("lease: {:?}", lease(&store));
    if !is_released {
        return 2;
    }
    if has_trouble {
        // The drill: soon the store is away for a moment. Meanwhile the machine starts again.
        sleep_ms(300);
        store.go_away();
        note!("store: away");
        sleep_ms(AWAY_MS / 2);
        gateways[stopped].start();
        sleep_ms(AWAY_MS / 2);
        let age_ms = store.return_from_copy(now_ms() - (ended_ms + taken_ms) / 2);
        note!("store: back from a copy that is {age_ms} ms old; lease {:?}", lease(&store));
    } else {
        sleep_ms((ended_ms + RESTART_MS).saturating_sub(now_ms()));
        gateways[stopped].start();
    }
    for _ in 0..8 {
        sleep_ms(500);
        note!("lease: {:?}", lease(&store));
    }
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    for gateway in &mut gateways {
        gateway.kill();
    }
    record_ends();
    for worker in &workers {
        for order in worker.orders().iter().filter(|order| order.at_ms + 1_000 > ended_ms) {
            note!("{}: {} ms {} epoch {} {} status {}", worker.id, order.at_ms, order.holder, order.fence, order.what, order.status);
        }
        for run in worker.runs().iter().filter(|run| run.at_ms + 1_000 > ended_ms) {
            note!("{}: {} ms ran {}, ended {:?}", worker.id, run.at_ms, run.attempt, run.ended);
        }
    }
    let orders: usize = workers.iter().map(|worker| worker.orders().len()).sum();
    let lower: usize = workers.iter().map(|worker| lower_after_higher(&worker.id, &worker.orders())).sum();
    let turns: usize = workers.iter().map(|worker| turns(&worker.id, &worker.orders())).sum();
    note!("{orders} orders; {lower} with a lower epoch number after a higher one; {turns} turns within lease_ms");
    if orders < 20 {
        return 2;
    }
    i32::from(lower + turns > 0)
}

/// Returns how often a holder orders again within `lease_ms` though another one has ordered meanwhile;
/// only accepted orders count.
fn turns(worker: &str, orders: &[SeenOrder]) -> usize {
    let mut spans: Vec<(&str, u64, u64)> = Vec::new();
    for order in orders.iter().filter(|order| matches!(order.status, 200 | 202)) {
        match spans.last_mut() {
            Some(span) if span.0 == order.holder => span.2 = order.at_ms,
            _ => spans.push((&order.holder, order.at_ms, order.at_ms)),
        }
    }
    for (holder, from, to) in &spans {
        note!("{worker}: accepted orders of {holder} from {from} to {to} ms");
    }
    let mut count = 0;
    for i in 2..spans.len() {
        let before = spans[..i - 1].iter().rfind(|span| span.0 == spans[i].0);
        if let Some(before) = before
            && spans[i].1 - before.2 <= LEASE_MS
        {
            note!("{worker}: {} orders again {} ms after its last order, another one ordered meanwhile", spans[i].0, spans[i].1 - before.2);
            count += 1;
        }
    }
    count
}

/// Records and counts the accepted orders whose epoch number is lower than an earlier one's, where
/// the worker doesn't check them.
fn lower_after_higher(worker: &str, orders: &[SeenOrder]) -> usize {
    let mut highest: Option<&SeenOrder> = None;
    let mut last_holder = String::new();
    let mut count = 0;
    for order in orders {
        if order.holder != last_holder {
            note!("{worker}: orders of {} begin at {} ms, epoch {}", order.holder, order.at_ms, order.fence);
            last_holder.clone_from(&order.holder);
        }
        let is_accepted = matches!(order.status, 200 | 202);
        match highest {
            Some(known) if order.fence < known.fence => {
                note!(
                    "{worker}: at {} ms {} orders with epoch {} ({}, status {}), after epoch {} of {} at {} ms",
                    order.at_ms, order.holder, order.fence, order.what, order.status,
                    known.fence, known.holder, known.at_ms
                );
                count += usize::from(is_accepted);
            }
            _ if is_accepted => highest = Some(order),
            _ => {}
        }
    }
    count
}
