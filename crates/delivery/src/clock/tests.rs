//! Tests of the steady clock and its file.

use super::*;

fn folder(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("marblefall-clock-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

fn write(folder: &Path, boot_id: &str, unix_ms_at_boot: i64) {
    let record = ClockRecord {
        boot_id: boot_id.to_owned(),
        unix_ms_at_boot,
    };
    fs::write(folder.join(FILE_NAME), serde_json::to_vec(&record).unwrap()).unwrap();
}

#[test]
fn stepped_wall_clock_does_not_change_a_folders_clock() {
    let folder = folder("stepped");
    let hour_ms = 3_600_000;
    // The wall clock was an hour behind when the file was written, and has been stepped since.
    write(
        &folder,
        &boot_id(),
        wall_unix_ms() - monotonic_ms() - hour_ms,
    );
    let clock = SteadyClock::open(&folder).unwrap();
    let behind_ms = wall_unix_ms() - clock.unix_ms();
    assert!((behind_ms - hour_ms).abs() < 1000, "{behind_ms} ms behind");
}

#[test]
fn processes_of_one_folder_have_the_same_clock() {
    let folder = folder("shared");
    let first = SteadyClock::open(&folder).unwrap();
    assert_eq!(SteadyClock::open(&folder).unwrap(), first);
    assert_eq!(read(&folder, &boot_id()).unwrap(), Some(first));
}

#[test]
fn clock_is_reset_after_a_reboot_or_torn_write() {
    let folder = folder("reboot");
    write(&folder, "another boot", 12);
    let behind_ms = wall_unix_ms() - SteadyClock::open(&folder).unwrap().unix_ms();
    assert!(behind_ms.abs() < 1000, "{behind_ms} ms behind");
    fs::write(folder.join(FILE_NAME), b"{\"boot_id\":").unwrap();
    assert_eq!(read(&folder, &boot_id()).unwrap(), None);
    SteadyClock::open(&folder).unwrap();
    assert!(read(&folder, &boot_id()).unwrap().is_some());
}

#[test]
fn request_date_is_converted_from_wall_to_steady_clock() {
    let received_at = ReceivedAt {
        steady_ms: 5_000,
        wall_ms: 3_605_000,
    };
    assert_eq!(received_at.steady_ms_of(3_606_500), 6_500);
}
