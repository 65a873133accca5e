use super::*;
use std::collections::VecDeque;

/// Simulates instances that lose their watches at the same time, and a discovery that serves `rate` requests per second
/// and rejects requests that have waited for 2 s. Returns the time in seconds at which each instance was served.
fn simulate_reconnect(instances: usize, rate: f64, seconds: u32) -> Vec<Option<f64>> {
    let mut schedules: Vec<PollSchedule> = (0..instances)
        .map(|n| PollSchedule::new(instances, n as u64, Duration::from_secs(10)))
        .collect();
    let mut request_at: Vec<f64> = schedules
        .iter_mut()
        .map(|schedule| schedule.first_delay().as_secs_f64())
        .collect();
    let mut queue = VecDeque::<(usize, f64)>::new();
    let mut capacity: f64 = 0.0;
    let mut served_at = vec![None; instances];
    for step in 0..seconds * 100 {
        let now = f64::from(step) / 100.0;
        for (n, at) in request_at
            .iter_mut()
            .enumerate()
            .filter(|(_, at)| **at <= now)
        {
            *at = f64::INFINITY;
            queue.push_back((n, now));
        }
        capacity = (capacity + rate / 100.0).min(1.0);
        while capacity >= 1.0 && !queue.is_empty() {
            // A rejected request uses as much of discovery's capacity as a served one.
            capacity -= 1.0;
            let (n, since) = queue.pop_front().expect("not empty");
            if now - since < 2.0 {
                served_at[n] = Some(now);
            } else {
                let delay = schedules[n].retry_delay(WatchResult::NoList);
                request_at[n] = now + delay.as_secs_f64();
            }
        }
    }
    served_at
}

/// Retries within a second of a rejection would keep an overloaded discovery from serving any instance.
#[test]
fn hundred_reconnecting_instances_are_served_at_eighteen_per_second() {
    let served_at = simulate_reconnect(100, 18.0, 20);
    assert!(
        served_at.iter().all(Option::is_some),
        "{} never served",
        served_at.iter().filter(|at| at.is_none()).count()
    );
    let late = served_at.iter().flatten().filter(|at| **at > 10.0).count();
    assert!(late <= 5, "{late} served after 10 s");
}

#[test]
fn first_delay_is_zero_for_few_instances_and_limited_for_many() {
    assert_eq!(
        PollSchedule::new(3, 7, Duration::ZERO).first_delay(),
        Duration::ZERO
    );
    let mut schedule = PollSchedule::new(5000, 7, Duration::from_secs(10));
    assert!((0..100).all(|_| schedule.first_delay() <= Duration::from_secs(10)));
}

/// An instance must act on changes within 4 s after discovery has moved.
#[test]
fn delays_end_before_the_deadline_for_changes() {
    let mut schedule = PollSchedule::new(300, 11, Duration::ZERO);
    assert!((0..200).all(|_| schedule.first_delay() <= MAX_SPREAD));
    assert!(
        (0..200).all(|_| schedule.retry_delay(WatchResult::ReceivedList) < Duration::from_secs(4))
    );
}
