//! SIGHUP moves the proxy to another discovery.

use crate::support::{ask, changed, config, line, ok, request, until, Backend, Discovery, Proxy};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// SIGHUP moves the watch to another discovery, which need not know the versions of the first; a file that
/// cannot be used is logged and changes nothing. Both where lists are pushed and where they are asked for.
#[test]
fn sighup_moves_discovery_and_a_bad_file_changes_nothing() {
    for mode in ["automatic", "subscribe"] {
        let (a, b) = (Backend::start(|_| ok("a")), Backend::start(|_| ok("b")));
        let (old, new) = (Discovery::start(), Discovery::start());
        let mut config = config(old.address, &[line("a", a.address, "ready", 0)]);
        config["settings"]["discovery"] = json!(mode);
        let proxy = Proxy::start(&config);
        until("the watch", || old.calls() > 0);
        let with = |pointer: &str, value: Value| changed(&config, pointer, value).to_string();
        let bad_files = [
            String::new(),
            "no json".into(),
            json!({"discovery": new.address.to_string()}).to_string(),
            with("/discovery", json!("nowhere")),
            with("/limits/sockets", json!(3)),
            with("/settings/profiles/0/aim_us", json!(9_000_000)),
            with("/settings/my_zone", json!("north")),
        ];
        for bad in bad_files {
            let before = proxy.log().matches("SIGHUP").count();
            proxy.reload(&bad);
            until("a line about the bad file", || proxy.log().matches("SIGHUP").count() > before);
            assert_eq!(ask(&proxy, &request("read", 7000)).body, b"a", "{mode}");
            assert_eq!(new.calls(), 0, "{mode}: moved by {bad}");
        }
        config["discovery"] = json!(new.address.to_string());
        proxy.reload(&config.to_string());
        until("a call at the new address", || new.calls() > 0);
        let before = old.calls();
        assert_eq!(
            ask(&proxy, &request("read", 7000)).body,
            b"a",
            "the old list holds until there is a new one"
        );
        new.tell(true, &[line("b", b.address, "ready", 0)]);
        until("the new list", || ask(&proxy, &request("read", 7000)).body == b"b");
        assert_eq!(old.calls(), before, "{mode}: the old address is left alone");
    }
}

/// A reload while discovery is silent. What it has to tell counts as told 4 s after the signal: a proxy of a large
/// fleet does not wait its turn then, as it does where discovery refuses calls.
#[test]
fn a_silent_discovery_is_asked_again_at_once_for_the_whole_list() {
    let backend = Backend::start(|_| ok("x"));
    let (old, new) = (Discovery::start(), Discovery::start());
    let mut config = config(old.address, &[line("a", backend.address, "ready", 0)]);
    config["settings"]["discovery"] = json!("subscribe");
    config["settings"]["group_size"] = json!(300);
    let proxy = Proxy::start(&config);
    config["discovery"] = json!(new.address.to_string());
    proxy.reload(&config.to_string());
    until("a call at the new address", || new.calls() == 1);
    let began = Instant::now();
    until("a second one", || new.calls() == 2);
    // A second later nothing more may go to a backend that drains.
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    assert!(!proxy.log().contains("subscription lost"), "{}", proxy.log());
    assert_eq!(ask(&proxy, &request("read", 7000)).status(), 200, "the list held stays in force");
}
