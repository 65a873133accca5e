//! A group of daemons changes its policy at every one or at none: several processes, relays on every link between them,
//! clients that hand events in all along, and faults in the middle.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod common;

use common::*;
use marblefall_simulation::rig::clients::{Answer, Clients};
use marblefall_simulation::rig::daemons::{Group, Setting};
use marblefall_simulation::rig::history::{Did, Seen};
use marblefall_simulation::rig::relay::Does;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// One test at a time: each runs several processes, and some hold them to a term.
static ALONE: Mutex<()> = Mutex::new(());

/// A partner that counts effects by key, as one of a keyed class does: a repeat within the window has none.
#[derive(Clone, Default)]
struct Effects(Arc<Mutex<HashMap<String, Vec<Instant>>>>);

const WINDOW: Duration = Duration::from_millis(6000);

impl Effects {
    fn partner(&self) -> StandIn {
        let effects = self.0.clone();
        StandIn::start(move |message| {
            let key = message
                .field("idempotency-key")
                .unwrap_or_default()
                .to_owned();
            let mut effects = effects.lock().unwrap();
            let seen = effects.entry(key).or_default();
            if seen.last().is_none_or(|last| last.elapsed() > WINDOW) {
                seen.push(Instant::now());
            }
            ok()
        })
    }

    /// Every event that was answered as delivered took effect once, and none twice.
    fn judge(&self, answers: &[Answer]) {
        let effects = self.0.lock().unwrap();
        let doubled: Vec<_> = effects.iter().filter(|(_, seen)| seen.len() > 1).collect();
        assert!(doubled.is_empty(), "doubled: {doubled:?}");
        for answer in answers.iter().filter(|answer| answer.status == 204) {
            assert!(
                effects.contains_key(&answer.id),
                "{answer:?} and it never took effect"
            );
        }
    }
}

fn alone() -> std::sync::MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A group whose first three members vote; founded and not running.
fn found(name: &str, members: usize, on_cut: &str, partner: SocketAddr) -> (Group, Folder) {
    let under = Folder::in_memory(&format!("group-{name}"));
    let (program, on_cut) = (env!("CARGO_BIN_EXE_marblefall").into(), on_cut.to_owned());
    let (folder, partner) = (under.0.join("group"), vec![partner]);
    let setting = Setting {
        program,
        folder,
        members,
        voters: 3,
        on_cut,
        term_ms: 1000,
        partner,
    };
    (Group::found(setting).unwrap(), under)
}

/// Nobody did anything under a revision once anybody did under a later one; gives how often each was acted under.
fn judge(group: &Group) -> BTreeMap<u64, usize> {
    let mut seen = Seen::default();
    for member in 0..group.listens.len() {
        let text = std::fs::read_to_string(group.history_file(member)).unwrap_or_default();
        seen.did.extend(Did::read_all(&text));
    }
    let breaches = seen.judge();
    assert!(breaches.is_empty(), "{breaches:?}\n{}", group.logs());
    let mut acts = BTreeMap::new();
    for did in seen.did.iter().filter(|did| did.instance != "-") {
        *acts.entry(did.revision).or_default() += 1;
    }
    acts
}

/// What some say to others.
fn one_way(group: &Group, from: &[usize], to: &[usize], does: Does) {
    from.iter()
        .for_each(|from| to.iter().for_each(|to| group.ways.set(*from, *to, does)));
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn worth(n: usize) -> (&'static str, String) {
    ("wanted_ms = 2500", format!("wanted_ms = {}", 2500 + n))
}

/// A change that is in force nowhere else: the nth wanted time.
fn changed(group: &Group, n: usize) -> String {
    let (from, to) = worth(n);
    group.file(&[(from, &to)])
}

#[test]
fn twenty_changes_under_traffic_each_take_effect_everywhere_at_once() {
    let _alone = alone();
    let effects = Effects::default();
    let partner = effects.partner();
    let (mut group, _folder) = found("changes", 3, "stop", partner.at);
    group.start_all().unwrap();
    let clients = Clients::start(&group.listens, 12, ms(5), 1);
    for n in 1..=20 {
        let (done, said) = group.change(n % 3, &changed(&group, n)).unwrap();
        assert!(done, "change {n}: {said}\n{}", group.logs());
        assert!(
            said.contains(&format!("in force everywhere as revision {}", n + 1)),
            "{said}"
        );
    }
    let answers = clients.end();
    let refused: Vec<_> = answers
        .iter()
        .filter(|answer| answer.status != 204)
        .collect();
    assert!(
        refused.is_empty(),
        "{refused:?} of {} hand-ins",
        answers.len()
    );
    let acts = judge(&group);
    assert_eq!(acts.keys().copied().max(), Some(21), "{acts:?}");
    assert!(acts.len() > 15, "too little was done to tell: {acts:?}");
    effects.judge(&answers);
    let (done, said) = run(&["group", "history", &group.home(0)]);
    assert!(
        done && said.lines().count() == 21 && said.contains("by founding: in force as revision 1"),
        "{said}"
    );
}

#[test]
fn change_proceeds_without_stopped_member_which_applies_it_before_acting() {
    let _alone = alone();
    let effects = Effects::default();
    let partner = effects.partner();
    let (mut group, _folder) = found("down", 3, "stop", partner.at);
    group.start_all().unwrap();
    for round in 0..3usize {
        let (down, at) = (round % 3, (round + 1) % 3);
        let clients = Clients::start(&group.listens, 6, ms(5), 2);
        group.kill(down);
        let (done, said) = group.change(at, &changed(&group, round + 1)).unwrap();
        assert!(done, "{said}\n{}", group.logs());
        let revision = round as u64 + 2;
        group.start(down).unwrap();
        group.in_step(down, revision).unwrap();
        let answers = clients.end();
        effects.judge(&answers);
        let last: BTreeMap<&String, u16> = answers
            .iter()
            .map(|answer| (&answer.id, answer.status))
            .collect();
        assert!(last.values().all(|status| *status == 204), "{last:?}");
    }
    judge(&group);
}

#[test]
fn member_suspended_across_a_change_does_nothing_under_the_old_policy() {
    let _alone = alone();
    let effects = Effects::default();
    let partner = effects.partner();
    let (mut group, _folder) = found("stopped", 4, "stop", partner.at);
    group.start_all().unwrap();
    let clients = Clients::start(&group.listens, 9, ms(1), 3);
    for (round, member) in [3usize, 1, 0].into_iter().enumerate() {
        group.daemon(member).unwrap().signal("STOP");
        let (done, said) = group.change(2, &changed(&group, round + 1)).unwrap();
        group.daemon(member).unwrap().signal("CONT");
        assert!(done, "{said}\n{}", group.logs());
        group.in_step(member, round as u64 + 2).unwrap();
    }
    effects.judge(&clients.end());
    judge(&group);
}

#[test]
fn partitioned_member_stops_at_its_lease_and_others_change_without_it() {
    let _alone = alone();
    let effects = Effects::default();
    let partner = effects.partner();
    let (mut group, _folder) = found("cut", 4, "stop", partner.at);
    group.start_all().unwrap();
    for (round, does) in [Does::Swallows, Does::Refuses].into_iter().enumerate() {
        let cut = round + 1;
        group.ways.between(&[cut], &[0, 1, 2, 3], does);
        let (done, said) = group.change(3, &changed(&group, round + 1)).unwrap();
        assert!(done, "{does:?}: {said}\n{}", group.logs());
        // What is handed in at the one that is cut off is told when to come back.
        wait_for("the term's end", || group.status(cut)["standing"] == "shut");
        let answer = event(
            group.listens[cut],
            &format!("cut-{round}"),
            "order",
            "a",
            "k",
            b"{}",
        )
        .unwrap();
        assert_eq!(answer.status(), 429);
        assert!(answer.field("retry-after").is_some());
        let (applied, why) = run(&["group", "history", &group.home(cut)]);
        assert!(
            !applied && why.contains("nobody leads"),
            "{why}\n{}",
            group.logs()
        );
        group.ways.between(&[cut], &[0, 1, 2, 3], Does::Passes);
        group.in_step(cut, round as u64 + 2).unwrap();
    }
    // One way only: it hears all and is not heard, and the other way round.
    for (round, (from, to)) in [(vec![1], vec![0, 2, 3]), (vec![0, 2, 3], vec![1])]
        .into_iter()
        .enumerate()
    {
        one_way(&group, &from, &to, Does::Swallows);
        let (done, said) = group.change(3, &changed(&group, 10 + round)).unwrap();
        assert!(done, "{said}\n{}", group.logs());
        one_way(&group, &from, &to, Does::Passes);
        group.in_step(1, 4 + round as u64).unwrap();
    }
    judge(&group);
}

#[test]
fn slow_or_flapping_links_delay_a_change_and_do_not_mix_policies() {
    let _alone = alone();
    let effects = Effects::default();
    let partner = effects.partner();
    let (mut group, _folder) = found("flaps", 3, "stop", partner.at);
    group.start_all().unwrap();
    let clients = Clients::start(&group.listens, 6, ms(5), 4);
    group.ways.between(&[0], &[1, 2], Does::Delays(40));
    let (done, said) = group.change(0, &changed(&group, 1)).unwrap();
    assert!(done, "{said}\n{}", group.logs());
    group.ways.between(&[0], &[1, 2], Does::Passes);
    let mut in_force = 1;
    for n in 2..8usize {
        let cut = n % 3;
        group.ways.between(
            &[cut],
            &[0, 1, 2],
            [Does::Refuses, Does::Swallows, Does::CutsFrames][n % 3],
        );
        let plan = group.plan((cut + 1) % 3, &changed(&group, n)).unwrap();
        let home = group.home((cut + 1) % 3);
        let applying = std::thread::spawn(move || run(&["apply", &plan, &home]));
        // Healed at whatever stage the change has come to by then.
        std::thread::sleep(Duration::from_millis(60 * n as u64));
        group.ways.between(&[cut], &[0, 1, 2], Does::Passes);
        let (done, said) = applying.join().unwrap();
        in_force += usize::from(done);
        assert!(
            done || said.contains("withdrawn everywhere") || said.contains("stale"),
            "{said}"
        );
    }
    assert!(in_force > 3, "hardly a change came into force: {in_force}");
    for member in 0..3 {
        group.in_step(member, in_force as u64 + 1).unwrap();
    }
    effects.judge(&clients.end());
    judge(&group);
}

#[test]
fn one_rejection_withdraws_a_change_everywhere() {
    let _alone = alone();
    // Destination b does not answer, so that messages for it are held.
    let partner = StandIn::start(|message| match message.field("ce-clinic") {
        Some("b") => Act::Silence,
        _ => ok(),
    });
    let (mut group, _folder) = found("no", 3, "stop", partner.at);
    group.start_all().unwrap();
    let at = group.listens[1];
    let held = std::thread::spawn(move || event(at, "held", "order", "b", "held", b"{}"));
    wait_for("the held message", || partner.count() > 0);
    let whole = group.file(&[]);
    let begin = whole.find("[destination.b]").unwrap();
    let end = whole[begin..].find("[group]").unwrap() + begin;
    let without_b = format!("{}{}", &whole[..begin], &whole[end..]);
    let (done, said) = group.change(0, &without_b).unwrap();
    assert!(
        !done && said.contains("withdrawn everywhere: member m01: instance m01-1"),
        "{said}"
    );
    assert!(
        said.contains("a message for a destination is held that would be gone"),
        "{said}"
    );
    let (done, said) = group
        .change(
            0,
            &group.file(&[("name = \"clinics\"", "name = \"others\"")]),
        )
        .unwrap();
    assert!(
        !done && said.contains("a change may only say which instances a member runs"),
        "{said}"
    );
    for member in 0..3 {
        group.in_step(member, 1).unwrap();
    }
    // One that every member can take up still goes.
    let (done, said) = group.change(2, &changed(&group, 1)).unwrap();
    assert!(done, "{said}");
    drop(partner);
    drop(held);
    judge(&group);
}

#[test]
fn of_two_concurrent_changes_one_is_applied_and_stale_plan_is_rejected() {
    let _alone = alone();
    let partner = StandIn::start(|_| ok());
    let (mut group, _folder) = found("operators", 3, "stop", partner.at);
    group.start_all().unwrap();
    let plans: Vec<_> = (0..3)
        .map(|at| {
            (
                group.plan(at, &changed(&group, at + 1)).unwrap(),
                group.home(at),
            )
        })
        .collect();
    let stale = group.plan(0, &changed(&group, 9)).unwrap();
    let applying = plans
        .into_iter()
        .map(|(plan, home)| std::thread::spawn(move || run(&["apply", &plan, &home])));
    let applying: Vec<_> = applying.collect();
    let outcomes: Vec<(bool, String)> = applying
        .into_iter()
        .map(|one| one.join().unwrap())
        .collect();
    let done = outcomes.iter().filter(|(done, _)| *done).count();
    assert_eq!(done, 1, "{outcomes:?}\n{}", group.logs());
    let refused =
        |said: &str| said.contains("has no outcome yet") || said.contains("the plan is stale");
    assert!(
        outcomes.iter().all(|(done, said)| *done || refused(said)),
        "{outcomes:?}"
    );
    let (done, said) = run(&["apply", &stale, &group.home(0)]);
    assert!(
        !done
            && said.contains(
                "the plan is stale: it was made against revision 1, in force is revision 2"
            ),
        "{said}"
    );
    judge(&group);
}

#[test]
fn under_serve_policy_change_waits_until_stopped_member_is_excluded() {
    let _alone = alone();
    let effects = Effects::default();
    let partner = effects.partner();
    let (mut group, _folder) = found("serve", 3, "serve", partner.at);
    group.start_all().unwrap();
    group.ways.between(&[2], &[0, 1], Does::Swallows);
    // It serves on, past its term.
    wait_for("the cut to be seen", || {
        let state = group.status(0)["group"]["members"][2]["state"].clone();
        state == "cut off" || state == "not heard"
    });
    let answer = event(group.listens[2], "on", "order", "a", "on", b"{}").unwrap();
    assert_eq!(answer.status(), 204);
    let (plan, home) = (group.plan(0, &changed(&group, 1)).unwrap(), group.home(0));
    let applying = std::thread::spawn(move || run(&["apply", &plan, &home]));
    wait_for("the change to wait", || {
        group.status(1)["group"]["open"]["waits_for"] == serde_json::json!(["m02"])
    });
    // It is truly stopped before that is said.
    group.kill(2);
    let (done, said) = run(&["group", "without", "m02", &group.home(1)]);
    assert!(done, "{said}");
    let (done, said) = applying.join().unwrap();
    assert!(
        done && said.contains("takes it up before it acts again: m02"),
        "{said}"
    );
    group.ways.between(&[2], &[0, 1], Does::Passes);
    group.start(2).unwrap();
    group.in_step(2, 2).unwrap();
    // And an open change can be taken back.
    group.ways.between(&[2], &[0, 1], Does::Swallows);
    let (plan, home) = (group.plan(0, &changed(&group, 2)).unwrap(), group.home(0));
    let applying = std::thread::spawn(move || run(&["apply", &plan, &home]));
    wait_for("the change to wait", || {
        group.status(0)["group"]["open"].is_object()
    });
    let (done, said) = run(&["group", "withdraw", &group.home(1)]);
    assert!(done, "{said}");
    let (done, said) = applying.join().unwrap();
    assert!(!done && said.contains("withdrawn by an operator"), "{said}");
    judge(&group);
}

#[test]
fn lost_old_or_torn_storage_does_not_vote_and_is_readmitted() {
    let _alone = alone();
    let effects = Effects::default();
    let partner = effects.partner();
    let (mut group, _folder) = found("folders", 3, "stop", partner.at);
    group.start_all().unwrap();
    let votes = |group: &Group, member: usize| group.votes(member);
    let old = std::fs::read(votes(&group, 1)).unwrap();
    let whole = group.file(&[]);
    let (done, said) = group.change(0, &changed(&group, 1)).unwrap();
    assert!(done, "{said}");
    let mut revision = 2;
    for (round, what) in ["lost", "old", "torn"].into_iter().enumerate() {
        group.kill(1);
        match what {
            "lost" => {
                std::fs::remove_dir_all(group.home(1)).unwrap();
                group.found_one(1, &whole).unwrap();
            }
            "old" => std::fs::write(votes(&group, 1), &old).unwrap(),
            _ => {
                let bytes = std::fs::read(votes(&group, 1)).unwrap();
                std::fs::write(votes(&group, 1), &bytes[..bytes.len() - 3]).unwrap();
            }
        }
        group.start(1).unwrap();
        group.in_step(1, revision).unwrap();
        wait_for("it to vote again", || {
            group.status(1)["votes"]["takes_part"] == true
        });
        let log = group.log(1);
        assert!(
            log.contains("storage-amnesia") && log.contains("voter-admitted"),
            "{what}: {log}"
        );
        // It votes: with another one down the change still has its majority.
        group.kill(2);
        let (done, said) = group.change(1, &changed(&group, round + 2)).unwrap();
        assert!(done, "{what}: {said}\n{}", group.logs());
        revision += 1;
        group.start(2).unwrap();
        group.in_step(2, revision).unwrap();
    }
    judge(&group);
}

#[test]
fn group_killed_within_a_change_recovers_in_any_order_with_one_outcome() {
    let _alone = alone();
    let effects = Effects::default();
    let partner = effects.partner();
    let (mut group, _folder) = found("killed", 3, "stop", partner.at);
    group.start_all().unwrap();
    let mut revision = 1;
    for round in 0..5usize {
        let clients = Clients::start(&group.listens, 6, ms(2), 5);
        let (plan, home) = (
            group.plan(0, &changed(&group, round + 1)).unwrap(),
            group.home(round % 3),
        );
        let applying = std::thread::spawn(move || run(&["apply", &plan, &home]));
        std::thread::sleep(Duration::from_millis(8 * round as u64 * round as u64));
        (0..3).for_each(|member| group.kill(member));
        for member in [[2, 1, 0], [0, 2, 1], [1, 0, 2]][round % 3] {
            group.start(member).unwrap();
        }
        drop(applying.join().unwrap());
        wait_for("a leader", || {
            group.status(0)["group"]["revision"]
                .as_u64()
                .is_some_and(|now| now >= revision)
        });
        wait_for("the outcome", || group.status(0)["group"]["open"].is_null());
        let now = group.status(0)["group"]["revision"].as_u64().unwrap();
        assert!(
            now == revision || now == revision + 1,
            "{now} after {revision}"
        );
        revision = now;
        for member in 0..3 {
            group.in_step(member, revision).unwrap();
        }
        effects.judge(&clients.end());
        judge(&group);
    }
}

#[test]
fn malformed_frame_closes_its_connection_only() {
    use std::io::{Read, Write};
    let _alone = alone();
    let partner = StandIn::start(|_| ok());
    let (mut group, _folder) = found("noise", 3, "stop", partner.at);
    group.start_all().unwrap();
    let link = group.link(0);
    use marblefall_control_plane::group::transport::{encode_frame, Hello};
    use marblefall_coordination::identifiers::MemberId;
    let other = encode_frame(&Hello::from_operator("strangers"));
    let later = encode_frame(&(9u16, "clinics", 1u8));
    let mut torn = encode_frame(&Hello::from_operator("clinics"));
    *torn.last_mut().unwrap() ^= 1;
    let long = [u32::MAX.to_le_bytes(), [0; 4]].concat();
    let stranger = encode_frame(&Hello::from_member("clinics", MemberId(77)));
    let codes = [
        "link-other-group",
        "link-version",
        "frame-torn",
        "frame-too-long",
        "link-no-member",
    ];
    for (bytes, code) in [other, later, torn, long, stranger].into_iter().zip(codes) {
        let mut stream = std::net::TcpStream::connect(link).unwrap();
        stream.set_read_timeout(Some(BOUND)).unwrap();
        let _ = stream.write_all(&bytes);
        assert!(
            matches!(stream.read(&mut [0; 8]), Ok(0) | Err(_)),
            "{code}: not closed"
        );
        wait_for(code, || group.log(0).contains(code));
    }
    let (done, said) = group.change(1, &changed(&group, 1)).unwrap();
    assert!(done, "{said}\n{}", group.logs());
    judge(&group);
}
