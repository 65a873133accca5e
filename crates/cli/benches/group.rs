//! What a change of policy costs a group of processes: from `apply` to its end, from proposed to in force by the leader's
//! clock, how long members are held still, and what a member costs at rest. `cargo bench -p marblefall --bench group`.

#![allow(clippy::unwrap_used, reason = "a failed step ends the measurement")]

#[path = "../tests/common/mod.rs"]
mod common;

use common::{ok, run, wait_for, StandIn};
use marblefall_simulation::rig::clients::Clients;
use marblefall_simulation::rig::daemons::{Daemon, Group, Setting};
use marblefall_simulation::rig::history::{Did, Seen};
use std::thread;
use std::time::{Duration, Instant};

const CHANGES: usize = 25;
const REST: Duration = Duration::from_secs(5);
/// `_SC_CLK_TCK` of Linux, in which `/proc` counts processor time.
const TICKS: f64 = 100.0;

fn main() {
    println!("| processes | apply to its end, ms | proposed to in force, ms | held still, ms | at rest: % of a core, B/s, MB |");
    println!("| --- | --- | --- | --- | --- |");
    for members in [3, 10, 20, 40] {
        measure(members, 0);
    }
    println!("\nwith a third of the members down, first change after they died, then the rest:");
    measure(9, 3);
    traffic();
}

fn found(folder: &str, members: usize, partner: &StandIn) -> Group {
    let folder = std::env::temp_dir().join(format!("marblefall-{}-{folder}", std::process::id()));
    let (program, on_cut) = (env!("CARGO_BIN_EXE_marblefall").into(), "stop".to_owned());
    let partner = vec![partner.at];
    let setting = Setting {
        program,
        folder,
        members,
        voters: 3,
        on_cut,
        term_ms: 1000,
        partner,
    };
    let mut group = Group::found(setting).expect("founded");
    group.start_all().expect("all act");
    group
}

fn history(group: &Group, member: usize) -> Vec<Did> {
    Did::read_all(&std::fs::read_to_string(group.history_file(member)).unwrap_or_default())
}

/// No two policies at once.
fn judge(group: &Group) {
    let did = (0..group.listens.len())
        .flat_map(|member| history(group, member))
        .collect();
    assert_eq!(
        Seen {
            did,
            ..Seen::default()
        }
        .judge(),
        []
    );
    let _ = std::fs::remove_dir_all(&group.setting.folder);
}

fn changed(group: &Group, n: usize) -> String {
    group.file(&[("wanted_ms = 2500", &format!("wanted_ms = {}", 2500 + n))])
}

/// Middle, 99th part and most of some figures.
fn spread(mut all: Vec<f64>) -> String {
    all.sort_by(f64::total_cmp);
    let at = |part: f64| {
        all.get(((all.len() as f64 - 1.0) * part).round() as usize)
            .copied()
            .unwrap_or(f64::NAN)
    };
    format!("{:.0}, {:.0}, {:.0}", at(0.5), at(0.99), at(1.0))
}

fn measure(members: usize, down: usize) {
    let partner = StandIn::start(|_| ok());
    let mut group = found(&format!("bench-{members}"), members, &partner);
    let (cpu, passed) = (cpu_s(&group), group.ways.passed());
    thread::sleep(REST);
    let per = members as f64 * REST.as_secs_f64();
    let rest = format!(
        "{:.2}, {:.0}, {:.1}",
        (cpu_s(&group) - cpu) / per * 100.0,
        (group.ways.passed() - passed) as f64 / per,
        memory_mb(&group)
    );
    for member in members - down..members {
        group.kill(member);
    }
    let (mut took, mut first) = (Vec::new(), None);
    for n in 1..=CHANGES {
        let plan = group.plan(n % 3, &changed(&group, n)).expect("planned");
        let begun = Instant::now();
        let (done, said) = run(&["apply", &plan, &group.home(n % 3)]);
        assert!(done, "{said}");
        let ms = begun.elapsed().as_secs_f64() * 1000.0;
        match first {
            None if down > 0 => first = Some(ms),
            _ => took.push(ms),
        }
    }
    let (_, history) = run(&["group", "history", &group.home(0)]);
    let after = |line: &str| {
        line.rsplit_once("(after ")?
            .1
            .strip_suffix(" ms)")?
            .parse()
            .ok()
    };
    let proposed: Vec<f64> = history
        .lines()
        .skip(1 + usize::from(down > 0))
        .filter_map(after)
        .collect();
    let first = first.map_or(String::new(), |first| format!(" (the first {first:.0})"));
    println!(
        "| {members} | {}{first} | {} | {} | {rest} |",
        spread(took),
        spread(proposed),
        spread(stills(&group, members - down))
    );
    judge(&group);
}

/// How long each member's gate stood still at each change, in milliseconds.
fn stills(group: &Group, members: usize) -> Vec<f64> {
    let mut all = Vec::new();
    for member in 0..members {
        let mut since = None;
        for did in history(group, member)
            .iter()
            .filter(|did| did.instance == "-")
        {
            match did.what.as_str() {
                "still" => since = Some(did.micros),
                "acts" => all.extend(
                    since
                        .take()
                        .map(|since| (did.micros - since) as f64 / 1000.0),
                ),
                _ => {}
            }
        }
    }
    all
}

/// What clients see of a change: hand-ins answered in the second round it against the seconds before.
fn traffic() {
    let partner = StandIn::start(|_| ok());
    let mut group = found("bench-traffic", 3, &partner);
    let clients = Clients::start(&group.listens, 12, Duration::from_millis(10), 1);
    wait_for("traffic", || partner.count() > 500);
    let mut parts = Vec::new();
    for n in 1..=15 {
        let calm = per_second(&partner, Duration::from_secs(1));
        let plan = group.plan(0, &changed(&group, n)).expect("planned");
        let home = group.home(0);
        let applying = thread::spawn(move || run(&["apply", &plan, &home]));
        let busy = per_second(&partner, Duration::from_secs(1));
        assert!(applying.join().unwrap().0);
        parts.push(busy / calm);
    }
    let answers = clients.end();
    let refused = answers.iter().filter(|answer| answer.status != 204).count();
    parts.sort_by(f64::total_cmp);
    println!(
        "\nunder traffic, 15 changes: {} hand-ins, {refused} refused; goodput in the second of a change against the one \
         before, middle {:.3}, least {:.3}",
        answers.len(),
        parts[parts.len() / 2],
        parts[0]
    );
    judge(&group);
}

fn per_second(partner: &StandIn, span: Duration) -> f64 {
    let before = partner.count();
    thread::sleep(span);
    (partner.count() - before) as f64
}

fn pids(group: &Group) -> Vec<u32> {
    (0..group.listens.len())
        .filter_map(|member| group.daemon(member))
        .map(Daemon::pid)
        .collect()
}

fn cpu_s(group: &Group) -> f64 {
    let of = |pid: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<f64> = stat
            .rsplit_once(')')?
            .1
            .split_whitespace()
            .map(|field| field.parse().unwrap_or(0.0))
            .collect();
        Some((fields.get(11)? + fields.get(12)?) / TICKS)
    };
    pids(group).into_iter().filter_map(of).sum()
}

/// Resident memory of one member, in the mean.
fn memory_mb(group: &Group) -> f64 {
    let of = |pid: u32| {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse::<f64>().ok()
    };
    let all: Vec<f64> = pids(group).into_iter().filter_map(of).collect();
    all.iter().sum::<f64>() / all.len().max(1) as f64 / 1024.0
}
