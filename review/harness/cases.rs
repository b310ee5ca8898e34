//! The cases.

use crate::{
    client::{Flow, Outcome},
    fleet::{Layout, SIGTERM},
    http,
    record::Record,
    site::{Plan, Site, Traffic, config, grown_config},
};
use std::{
    io::{Error, Result},
    path::Path,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(String),
}

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs a case by its name.
pub fn run(case: &str, root: &Path, has_trouble: bool, record: &Record) -> Result<Verdict> {
    match case {
        "edge-outage" => edge_outage(root, has_trouble, record),
        "idle-timeout" => idle_timeout(root, has_trouble, record),
        "foreign-heartbeat" => foreign_heartbeat(root, has_trouble, record),
        "weights" => weights(root, has_trouble, record),
        "large-config" => large_config(root, has_trouble, record),
        "stalled-collector" => stalled_collector(root, has_trouble, record),
        "stale-seeds" => stale_seeds(root, has_trouble, record),
        _ => Err(Error::other("no such case")),
    }
}

/// All edge machines lose power for more than a minute and come back at their addresses.
fn edge_outage(root: &Path, has_trouble: bool, record: &Record) -> Result<Verdict> {
    const DOWN: Duration = s(64);
    const RECOVERY: Duration = s(12);
    let layout = Layout::choose()?;
    let route = layout.route(0);
    let plan = Plan {
        balancers: 2,
        hosts: vec![3],
        seeds: None,
        replica_lag: Duration::ZERO,
        link: None,
        has_collector: false,
        are_hosts_first: true,
        config: config(&layout, 7, &[(0, "safe", vec![(0, 1)])], 15_000),
    };
    let mut site = Site::start(root, layout, plan, record)?;
    site.wait_until_served(route)?;
    let traffic = Traffic::start(&site.clients, route, ms(100));
    let before = Instant::now();
    thread::sleep(s(6));
    let fault = Instant::now();
    if has_trouble {
        record.say("all edge machines lose power");
        site.balancers.iter_mut().for_each(crate::fleet::Node::kill);
    }
    thread::sleep(DOWN);
    if has_trouble {
        record.say("all edge machines are back");
        for balancer in &mut site.balancers {
            balancer.start(record)?;
        }
    }
    let back = Instant::now();
    thread::sleep(RECOVERY + s(15));
    traffic.stop();
    let (served_before, all_before) = traffic.served(before, fault);
    let (served, all) = traffic.served(back + RECOVERY, Instant::now());
    record.say(&format!(
        "served before the fault: {served_before} of {all_before}; sent later than 12 s after the \
         machines were back: {served} of {all}; nodes in rotation: {}",
        site.routers.in_rotation()
    ));
    site.record_logs(&["readiness", "store_access", "catalogue_in_force"]);
    if served_before * 4 < all_before {
        return Err(Error::other("too little was served before the fault"));
    }
    Ok(if served * 4 < all {
        Verdict::Broken(format!("RECOVER: {served} of {all} requests are served"))
    } else {
        Verdict::Held
    })
}

/// The operator raises `idle_timeout_ms`; clients pause for less than it.
fn idle_timeout(root: &Path, has_trouble: bool, record: &Record) -> Result<Verdict> {
    const FLOWS: usize = 6;
    let layout = Layout::choose()?;
    let route = layout.route(0);
    let routes = [(0, "unsafe", vec![(0, 1)])];
    let plan = Plan {
        balancers: 2,
        hosts: vec![2],
        seeds: None,
        replica_lag: Duration::ZERO,
        link: None,
        has_collector: false,
        are_hosts_first: false,
        config: config(&layout, 7, &routes, 15_000),
    };
    let site = Site::start(root, layout, plan, record)?;
    site.wait_until_served(route)?;
    let mut idle_timeout = ms(15_000);
    if has_trouble {
        idle_timeout = ms(30_000);
        record.say("config/main: version 12, idle_timeout_ms 30000");
        site.store
            .put("config", "main", &config(&layout, 12, &routes, 30_000));
    }
    // Later than config_apply_ms, and than stable_ms after the start of the processes.
    thread::sleep(s(6));
    let mut broken = Vec::new();
    let mut answered = 0;
    let pauses = [s(10), s(24)];
    let mut waiting = Vec::new();
    for index in 0..FLOWS {
        let mut flow = site.clients.flow(route)?;
        expect(flow.open(), &Outcome::Opened)?;
        if !matches!(flow.request("POST", "/first", s(2)), Outcome::Answered(_)) {
            return Err(Error::other("the first request of a flow is not answered"));
        }
        let pause = pauses[index % 2];
        waiting.push(thread::spawn(move || {
            thread::sleep(pause);
            let outcome = flow.request("POST", &format!("/second-{index}"), s(3));
            (pause, flow.client, outcome)
        }));
    }
    for thread in waiting {
        let (pause, client, outcome) = thread.join().map_err(|_| Error::other("panic"))?;
        record.say(&format!("pause of {} s: {outcome:?}", pause.as_secs()));
        answered += usize::from(matches!(outcome, Outcome::Answered(_)));
        // Flows idle for longer than idle_timeout_ms are not counted.
        let is_counted = pause < idle_timeout;
        let is_open = site.hosts.iter().any(|host| {
            let seen = host.seen.lock().expect("no panics");
            seen.open.get(&client) == Some(&true) && !seen.resets.contains(&client)
        });
        if is_counted && is_open && outcome == Outcome::Reset {
            broken.push(format!("{client}"));
        }
    }
    site.record_logs(&["flow_reset", "catalogue_in_force"]);
    record.say(&format!("answered after the pause: {answered} of {FLOWS}"));
    Ok(flow_verdict(&broken))
}

/// A heartbeat of another writer, with fields missing, reaches the node beside a host.
fn foreign_heartbeat(root: &Path, has_trouble: bool, record: &Record) -> Result<Verdict> {
    let layout = Layout::choose()?;
    let route = layout.route(0);
    let plan = Plan {
        balancers: 2,
        hosts: vec![2],
        seeds: None,
        replica_lag: Duration::ZERO,
        link: None,
        has_collector: false,
        are_hosts_first: true,
        config: config(&layout, 7, &[(0, "unsafe", vec![(0, 1)])], 15_000),
    };
    let site = Site::start(root, layout, plan, record)?;
    site.wait_until_served(route)?;
    thread::sleep(s(6));
    let mut flows: Vec<Flow> = Vec::new();
    for _ in 0..12 {
        let mut flow = site.clients.flow(route)?;
        expect(flow.open(), &Outcome::Opened)?;
        if !matches!(flow.request("POST", "/first", s(2)), Outcome::Answered(_)) {
            return Err(Error::other("the first request of a flow is not answered"));
        }
        flows.push(flow);
    }
    thread::sleep(s(2));
    let host = &site.hosts[0];
    if has_trouble {
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"slots\":4,\"state\":\"ready\",\"seq\":1,\"born\":{}}}",
            host.plan.service,
            host.plan.app,
            crate::host::unix_ms()
        );
        let path = "/cardamomloom/instances/i-other";
        let status = http::call(host.plan.control_plane, "PUT", path, &body);
        record.say(&format!("PUT {path} {body}: {status}"));
    }
    let refused_before = host.refused.load(Ordering::SeqCst);
    let (mut broken, mut answered) = (Vec::new(), 0);
    for mut flow in flows {
        let outcome = flow.request("POST", "/second", s(2));
        answered += usize::from(matches!(outcome, Outcome::Answered(_)));
        let is_open = site.hosts.iter().any(|host| {
            let seen = host.seen.lock().expect("no panics");
            seen.open.get(&flow.client) == Some(&true) && !seen.resets.contains(&flow.client)
        });
        if is_open && outcome == Outcome::Reset {
            broken.push(format!("{}", flow.client));
        }
    }
    thread::sleep(s(8));
    let refused = host.refused.load(Ordering::SeqCst) - refused_before;
    record.say(&format!("answered: {answered} of 12"));
    record.say(&format!("heartbeats of the host refused since: {refused}"));
    site.record_logs(&["flow_reset", "host_state", "report_outdated"]);
    Ok(flow_verdict(&broken))
}

/// The weights of a route change while flows are open, and a balancer is stopped and started.
fn weights(root: &Path, has_trouble: bool, record: &Record) -> Result<Verdict> {
    const FLOWS: usize = 24;
    const WINDOW: Duration = ms(2_000);
    let layout = Layout::choose()?;
    let route = layout.route(0);
    let routes = |weights: [u32; 2]| {
        let targets = vec![(0, weights[0]), (1, weights[1])];
        vec![(0, "unsafe", targets)]
    };
    let plan = Plan {
        balancers: 2,
        hosts: vec![2, 2],
        seeds: None,
        replica_lag: Duration::ZERO,
        link: None,
        has_collector: false,
        are_hosts_first: true,
        config: config(&layout, 7, &routes([90, 10]), 15_000),
    };
    let mut site = Site::start(root, layout, plan, record)?;
    site.wait_until_served(route)?;
    thread::sleep(s(6));
    let mut flows = Vec::new();
    for _ in 0..FLOWS {
        let mut flow = site.clients.flow(route)?;
        expect(flow.open(), &Outcome::Opened)?;
        if !matches!(flow.request("POST", "/first", s(2)), Outcome::Answered(_)) {
            return Err(Error::other("the first request of a flow is not answered"));
        }
        flows.push(flow);
    }
    if has_trouble {
        record.say("config/main: version 12, weights 10 and 90 in place of 90 and 10");
        site.store.put(
            "config",
            "main",
            &config(&layout, 12, &routes([10, 90]), 15_000),
        );
    }
    thread::sleep(s(1));
    // The routers move the flows of the balancer that stops, and then back.
    site.balancers[0].signal(SIGTERM, record);
    if !site.balancers[0].wait(s(6)) {
        return Err(Error::other("a balancer does not stop"));
    }
    site.balancers[0].start(record)?;
    thread::sleep(s(5));
    let mut threads = Vec::new();
    for mut flow in flows {
        threads.push(thread::spawn(move || {
            let started = Instant::now();
            let outcome = flow.request("POST", "/second", s(4));
            (started, flow.client, outcome)
        }));
    }
    let (mut broken, mut answered) = (Vec::new(), 0);
    for thread in threads {
        let (started, client, outcome) = thread.join().map_err(|_| Error::other("panic"))?;
        let span = started..started + WINDOW;
        let (mut own, mut others, mut is_open) = (0, Vec::new(), false);
        for host in &site.hosts {
            let seen = host.seen.lock().expect("no panics");
            let arrived = seen.packets.get(&client).map_or(0, |times| {
                times.iter().filter(|time| span.contains(time)).count()
            });
            if let Some(open) = seen.open.get(&client) {
                own += arrived;
                is_open |= *open;
            } else if arrived > 0 {
                others.push((host.plan.id.clone(), host.plan.service.clone(), arrived));
            }
        }
        answered += usize::from(matches!(outcome, Outcome::Answered(_)));
        record.say(&format!(
            "{client}: {outcome:?}; open at its host: {is_open}; packets in 2 s: at its host {own}, at others {others:?}"
        ));
        let at_others: usize = others.iter().map(|(_, _, arrived)| arrived).sum();
        if is_open && ((own == 0 && at_others >= 3) || outcome == Outcome::Reset) {
            broken.push(format!("{client}"));
        }
    }
    record.say(&format!("answered: {answered} of {FLOWS}"));
    site.record_logs(&["flow_reset", "catalogue_in_force"]);
    Ok(flow_verdict(&broken))
}

/// The configuration grows to nearly the largest object of the store; then all processes are killed.
fn large_config(root: &Path, has_trouble: bool, record: &Record) -> Result<Verdict> {
    const RECOVERY: Duration = s(12);
    /// Largest object of the store.
    const VALUE_BYTES: usize = 1_048_576;
    /// 10 Mbit/s.
    const LINK: usize = 1_250_000;
    let layout = Layout::choose()?;
    let route = layout.route(0);
    let routes = vec![(0, "safe", vec![(0, 1)])];
    let plan = Plan {
        balancers: 2,
        hosts: vec![3],
        seeds: None,
        replica_lag: Duration::ZERO,
        link: Some(LINK),
        has_collector: false,
        are_hosts_first: true,
        config: config(&layout, 7, &routes, 15_000),
    };
    let mut site = Site::start(root, layout, plan, record)?;
    site.wait_until_served(route)?;
    thread::sleep(s(5));
    let traffic = Traffic::start(&site.clients, route, ms(100));
    let mut version = 7;
    if has_trouble {
        for count in [1_480, 2_960, 4_440, 5_920] {
            version += 5;
            let large = grown_config(&layout, version, &routes, count);
            if large.len() > VALUE_BYTES {
                return Err(Error::other("the configuration is too large"));
            }
            record.say(&format!(
                "config/main: version {version}, {count} routes more, {} bytes",
                large.len()
            ));
            site.store.put("config", "main", &large);
            thread::sleep(s(5));
        }
    }
    let before = Instant::now();
    thread::sleep(s(6));
    let fault = Instant::now();
    record.say("all processes are killed");
    let mut nodes: Vec<_> = site.balancers.iter_mut().chain(&mut site.agents).collect();
    nodes.iter_mut().for_each(|node| node.kill());
    thread::sleep(ms(1_100));
    for node in &mut nodes {
        node.start(record)?;
    }
    record.say("all processes are back");
    let back = Instant::now();
    thread::sleep(RECOVERY + s(15));
    traffic.stop();
    let (served_before, all_before) = traffic.served(before, fault);
    let (served, all) = traffic.served(back + RECOVERY, Instant::now());
    record.say(&format!(
        "served before the fault: {served_before} of {all_before}; sent later than 12 s after the \
         processes were back: {served} of {all}"
    ));
    site.record_logs(&["readiness", "store_lost", "catalogue_in_force"]);
    if served_before * 4 < all_before {
        return Err(Error::other("too little was served before the fault"));
    }
    Ok(if served * 4 < all {
        Verdict::Broken(format!("RECOVER: {served} of {all} requests are served"))
    } else {
        Verdict::Held
    })
}

/// The collector of the logs of one agent does not read for a while, and the zone is evacuated.
fn stalled_collector(root: &Path, has_trouble: bool, record: &Record) -> Result<Verdict> {
    const EVACUATE: Duration = s(5);
    let layout = Layout::choose()?;
    let route = layout.route(0);
    let plan = Plan {
        balancers: 2,
        hosts: vec![2],
        seeds: None,
        replica_lag: Duration::ZERO,
        link: None,
        has_collector: true,
        are_hosts_first: true,
        config: config(&layout, 7, &[(0, "safe", vec![(0, 1)])], 15_000),
    };
    let site = Site::start(root, layout, plan, record)?;
    site.wait_until_served(route)?;
    thread::sleep(s(5));
    let traffic = Traffic::start(&site.clients, route, ms(3));
    let (agent, host) = (&site.agents[0], &site.hosts[0]);
    let stalled = agent.is_collector_stalled.clone();
    let stalled = stalled.ok_or_else(|| Error::other("no collector"))?;
    if has_trouble {
        stalled.store(true, Ordering::SeqCst);
        record.say("the collector of the logs of one agent reads no more");
    }
    let readiness = layout.readiness(*host.plan.app.ip());
    let end = Instant::now() + s(50);
    while Instant::now() < end && has_trouble {
        if http::call(readiness, "GET", "/cardamomloom/readyz", "") != 200 {
            record.say("the agent does not answer the readiness probe");
            break;
        }
        thread::sleep(ms(200));
    }
    site.store.put("evacuations", &host.plan.zone, "{}");
    let evacuated = Instant::now();
    record.say(&format!("evacuations/{} is acknowledged", host.plan.zone));
    thread::sleep(EVACUATE + s(2));
    stalled.store(false, Ordering::SeqCst);
    record.say("the collector reads again");
    thread::sleep(s(4));
    traffic.stop();
    let seen = host.seen.lock().expect("no panics");
    let count = |from: Duration, to: Duration| -> usize {
        let span = evacuated + from..evacuated + to;
        let openings = seen.openings.values();
        openings.filter(|arrival| span.contains(arrival)).count()
    };
    let (early, late) = (count(Duration::ZERO, EVACUATE), count(EVACUATE, s(60)));
    record.say(&format!(
        "new flows at {} after the acknowledgement: {early} within evacuate_ms, {late} later",
        host.plan.id
    ));
    Ok(if late > 0 {
        Verdict::Broken(format!("EVAC: {late} flows"))
    } else {
        Verdict::Held
    })
}

/// The system starts with seeds at which nobody answers.
fn stale_seeds(root: &Path, has_trouble: bool, record: &Record) -> Result<Verdict> {
    let layout = Layout::choose()?;
    let route = layout.route(0);
    let stale = (10..13)
        .map(|index| layout.control_plane(layout.edge(index)))
        .collect();
    let plan = Plan {
        balancers: 2,
        hosts: vec![3],
        seeds: has_trouble.then_some(stale),
        replica_lag: Duration::ZERO,
        link: None,
        has_collector: false,
        are_hosts_first: true,
        config: config(&layout, 7, &[(0, "safe", vec![(0, 1)])], 15_000),
    };
    let site = Site::start(root, layout, plan, record)?;
    let back = Instant::now();
    let traffic = Traffic::start(&site.clients, route, ms(100));
    thread::sleep(s(60));
    traffic.stop();
    let (served, all) = traffic.served(back + s(12), Instant::now());
    record.say(&format!(
        "served later than 12 s after the start: {served} of {all}"
    ));
    Ok(if served * 4 < all {
        Verdict::Broken(format!("{served} of {all} requests are served"))
    } else {
        Verdict::Held
    })
}

fn flow_verdict(broken: &[String]) -> Verdict {
    if broken.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken(format!(
            "FLOW: {} flows: {}",
            broken.len(),
            broken.join(", ")
        ))
    }
}

fn expect(found: Outcome, wanted: &Outcome) -> Result<()> {
    if found == *wanted {
        Ok(())
    } else {
        Err(Error::other(format!(
            "expected {wanted:?}, found {found:?}"
        )))
    }
}
