use super::*;
use marblefall_scheduler::EndpointStatus;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// Plays instances that lose their watches together against a discovery that hands out so many lists a second and
/// turns away what has waited for 2 s; gives for each the second in which it was served.
fn served(instances: usize, rate: f64, seconds: u32) -> Vec<Option<f64>> {
    let mut all: Vec<Asking> = (0..instances)
        .map(|n| Asking::new(instances, n as u64, Duration::from_secs(10)))
        .collect();
    let mut asks: Vec<f64> = all
        .iter_mut()
        .map(|asking| asking.first().as_secs_f64())
        .collect();
    let (mut queue, mut room): (VecDeque<(usize, f64)>, f64) = (VecDeque::new(), 0.0);
    let mut done = vec![None; instances];
    for step in 0..seconds * 100 {
        let now = f64::from(step) / 100.0;
        for (n, at) in asks.iter_mut().enumerate().filter(|(_, at)| **at <= now) {
            *at = f64::INFINITY;
            queue.push_back((n, now));
        }
        room = (room + rate / 100.0).min(1.0);
        while room >= 1.0 && !queue.is_empty() {
            // What is turned away has cost discovery as much.
            room -= 1.0;
            let (n, since) = queue.pop_front().expect("not empty");
            if now - since < 2.0 {
                done[n] = Some(now);
            } else {
                asks[n] = now + all[n].next(false).as_secs_f64();
            }
        }
    }
    done
}

/// 70 of a hundred couriers came back at once, each asked again within a second of being turned away, and none got the
/// list again (`herd+vast`, seed 3: 1,513 requests, no answer in 20 s).
#[test]
fn a_hundred_that_come_back_together_get_the_list_from_a_discovery_that_serves_eighteen_a_second() {
    let done = served(100, 18.0, 20);
    assert!(
        done.iter().all(Option::is_some),
        "{} never served",
        done.iter().filter(|at| at.is_none()).count()
    );
    let late = done.iter().flatten().filter(|at| **at > 10.0).count();
    assert!(late <= 5, "{late} served after 10 s");
}

#[test]
fn a_few_ask_at_once_and_many_within_the_time_they_must() {
    assert_eq!(Asking::new(3, 7, Duration::ZERO).first(), Duration::ZERO);
    let mut asking = Asking::new(5000, 7, Duration::from_secs(10));
    assert!((0..100).all(|_| asking.first() <= Duration::from_secs(10)));
}

/// On a roll day of 300 couriers, drains were broken 277 times: after discovery moved, couriers waited up to
/// 23.7 s before they asked the new address, while its news counted as told 4 s after the move.
#[test]
fn however_many_there_are_each_asks_in_time_for_news_to_count_as_told() {
    let mut asking = Asking::new(300, 11, Duration::ZERO);
    assert!((0..200).all(|_| asking.first() <= TOLD));
    assert!((0..200).all(|_| asking.next(true) < Duration::from_secs(4)));
}

/// A silence must be noticed and another watch be asked for, and answered if need be once more, before what was missed
/// counts as told, 6 s after the watch fell silent.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_in_time_however_many_there_are() {
    for instances in [1, 30, 300, 5000] {
        let mut asking = Asking::new(instances, 11, Duration::ZERO);
        let asked = (0..200).map(|_| SILENCE + asking.again()).max().unwrap();
        assert!(
            asked + ANSWER < Duration::from_secs(6),
            "{instances}: asked after {asked:?}"
        );
    }
    let mut asking = Asking::new(300, 11, Duration::ZERO);
    let asks: std::collections::BTreeSet<u128> =
        (0..300).map(|_| asking.again().as_millis() / 100).collect();
    assert!(
        asks.len() > 8,
        "all couriers together ask in {} parts of 100 ms",
        asks.len()
    );
}

const HEAD_OF_WATCH: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn entry(phase: &str) -> String {
    format!(
        r#"{{"id":"e","host_port":"127.0.0.1:1","cell":7,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

fn list(revision: u64, complete: bool, phase: &str) -> String {
    let entry = entry(phase);
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{entry}]}}\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// What is done with one watch that is opened at a stand-in for discovery, on a thread of its own.
type Script = Box<dyn FnOnce(&mut TcpStream) + Send>;

/// Watches a stand-in on loopback that plays one script for each connection, in their order, until that many lists have
/// been told; connections stay open to the end. Gives the listing that the last one told of the endpoint.
fn watched(scripts: Vec<Script>, lists: usize) -> Vec<EndpointStatus> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serving = std::thread::spawn(move || {
        let mut open = Vec::new();
        for script in scripts {
            let (mut stream, _) = listener.accept().unwrap();
            let (give, take) = std::sync::mpsc::channel();
            open.push(take);
            std::thread::spawn(move || {
                let mut byte = [0];
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() == 1 {
                    head.push(byte[0]);
                }
                script(&mut stream);
                let _ = give.send(stream);
            });
        }
        open
    });
    let told = async_io::block_on(async {
        let (news, heard) = async_channel::unbounded();
        let (_mover, moves) = async_channel::unbounded();
        let asking = Asking::new(1, 7, Duration::ZERO);
        let watching = watch(Home { address, moves }, Names::default(), 0, asking, news);
        let hear = async {
            let mut told = Vec::new();
            while told.len() < lists {
                match heard.recv().await.unwrap() {
                    EngineEvent::EndpointsReplaced(hosts)
                    | EngineEvent::EndpointsUpdated(hosts) => {
                        told.extend(hosts.iter().map(|h| h.status))
                    }
                    other => panic!("{other:?}"),
                }
            }
            Some(told)
        };
        let late = async {
            Timer::after(Duration::from_secs(25)).await;
            None
        };
        let watching = async {
            watching.await;
            None
        };
        future::or(hear, future::or(watching, late)).await
    });
    drop(serving);
    told.expect("told within 25 s")
}

fn says(text: String) -> Script {
    Box::new(move |stream| stream.write_all(text.as_bytes()).unwrap())
}

/// A watch counted as alive with every byte: one that trickled without ever finishing a line was followed for ever, and a
/// drain was never heard of.
#[test]
fn silence_is_of_lines_in_whatever_byte_it_begins() {
    let whole = format!("{HEAD_OF_WATCH}{}", chunk(&list(1, true, "SERVING")));
    let half = chunk("{\"revision\":2,\"complete\":false,");
    let cuts = [
        String::new(),
        HEAD_OF_WATCH[..20].to_owned(),
        HEAD_OF_WATCH.to_owned(),
        format!("{whole}{}", &half[..half.len() / 2]),
        format!("{whole}{half}"),
        format!("{whole}1"),
    ];
    let plays = cuts
        .into_iter()
        .flat_map(|cut| [false, true].map(|trickles| (cut.clone(), trickles)));
    let plays: Vec<_> = plays
        .map(|(cut, trickles)| {
            std::thread::spawn(move || {
                let lists = if cut.contains("SERVING") { 2 } else { 1 };
                let first: Script = Box::new(move |stream| {
                    stream.write_all(cut.as_bytes()).unwrap();
                    let Ok(mut stream) = stream.try_clone() else {
                        return;
                    };
                    // Bytes that keep coming, until whoever reads them goes.
                    std::thread::spawn(move || {
                        while trickles && stream.write_all(b"1\r\n \r\n").is_ok() {
                            std::thread::sleep(Duration::from_millis(100));
                        }
                    });
                });
                let second = says(format!(
                    "{HEAD_OF_WATCH}{}",
                    chunk(&list(2, true, "DRAINING"))
                ));
                assert_eq!(
                    watched(vec![first, second], lists).last(),
                    Some(&EndpointStatus::Draining)
                );
            })
        })
        .collect();
    plays.into_iter().for_each(|play| play.join().unwrap());
}

/// The silent watch was closed before another one was dialled: what it told in that moment was not heard, and while all of
/// discovery was silent nobody listened.
#[test]
fn a_silent_watch_that_tells_on_while_another_comes_up_is_heard() {
    let (dialled, second_is_there) = std::sync::mpsc::channel();
    let first: Script = Box::new(move |stream| {
        stream
            .write_all(format!("{HEAD_OF_WATCH}{}", chunk(&list(1, true, "SERVING"))).as_bytes())
            .unwrap();
        second_is_there.recv().unwrap();
        let _ = stream.write_all(chunk(&list(2, false, "DRAINING")).as_bytes());
    });
    // The second one never answers.
    let second: Script = Box::new(move |_| dialled.send(()).unwrap());
    assert_eq!(
        watched(vec![first, second], 2),
        [EndpointStatus::Active, EndpointStatus::Draining]
    );
}

#[test]
fn a_list_may_come_indented_over_many_lines_and_in_any_cuts() {
    let text = format!(
        "{{\n  \"revision\": 3,\n  \"complete\": true,\n  \"members\": [\n    {}\n  ]\n}}\n",
        entry("DRAINING")
            .replace(',', ",\n      ")
            .replace('{', "{\n      ")
            .replace('}', "\n    }")
    );
    for at in 0..text.len() {
        let mut lines = Lines::default();
        lines.push(b"\r\n");
        assert!(matches!(lines.next(), Ok(Line::Empty)));
        lines.push(&text.as_bytes()[..at]);
        assert!(matches!(lines.next(), Ok(Line::More)), "cut at {at}");
        lines.push(&text.as_bytes()[at..]);
        lines.push(list(4, false, "SERVING").as_bytes());
        let Ok(Line::List(first)) = lines.next() else {
            panic!("cut at {at}")
        };
        let Ok(Line::List(second)) = lines.next() else {
            panic!("cut at {at}")
        };
        assert_eq!(
            (first.revision, first.members.len(), second.revision),
            (3, 1, 4)
        );
        assert!(matches!(lines.next(), Ok(Line::More)));
    }
    for noise in [
        "noise\n",
        "[1]\n",
        "{\"revision\":-1}\n",
        "{\"revision\":1}x}\n",
        "{]}\n",
    ] {
        let mut lines = Lines::default();
        lines.push(noise.as_bytes());
        assert!(lines.next().is_err(), "{noise}");
    }
}

/// An entry with a number out of all bounds kept the whole list from being taken, drains of others with it.
#[test]
fn an_entry_that_cannot_be_read_keeps_no_other_from_being_taken() {
    let drains = entry("DRAINING");
    for bad in [
        r#"{"id":"x","host_port":"127.0.0.1:1","cell":-7,"phase":"SERVING"}"#,
        r#"{"id":"x","host_port":"127.0.0.1:1","cell":1e400,"phase":"SERVING"}"#,
        r#"{"id":"x","cell":7,"phase":"SERVING"}"#,
        r#"{"id":3,"host_port":"127.0.0.1:1","phase":"SERVING"}"#,
        r#""noise""#,
    ] {
        let text = format!("{{\"revision\":1,\"complete\":true,\"members\":[{bad},{drains}]}}");
        let list: List = serde_json::from_str(&text).unwrap();
        let EngineEvent::EndpointsReplaced(hosts) = list.input(&Names::default()) else {
            panic!("{bad}")
        };
        assert_eq!(
            hosts.iter().map(|host| host.status).collect::<Vec<_>>(),
            [EndpointStatus::Draining],
            "{bad}"
        );
    }
    for (size, rate) in [
        ("1e400", 0.0),
        ("-3", 0.0),
        ("1e300", 0.0),
        ("null", 0.0),
        ("\"7\"", 0.0),
        ("7.5", 7.5),
    ] {
        let text = format!("{{\"revision\":1,\"complete\":true,\"members\":[{drains}]}}");
        let list: List =
            serde_json::from_str(&text.replace("\"size\":1.0", &format!("\"size\":{size}")))
                .unwrap();
        let EngineEvent::EndpointsReplaced(hosts) = list.input(&Names::default()) else {
            panic!("{size}")
        };
        assert_eq!(
            hosts
                .iter()
                .map(|host| host.advertised_rate)
                .collect::<Vec<_>>(),
            [rate],
            "{size}"
        );
    }
}
