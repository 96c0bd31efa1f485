-- Guards against a host that starts with the address of another host and replaces it in the member
-- list or as dispatcher.
world{hosts_per_zone = 2}
start()
run(5000)
local before = dispatcher("host-b1", "service1", "a")
add_host("host-x", "a", "10.0.0.1")
run(5000)
expect(events("event=duplicate_address code=553") > 0, "the duplicate address is reported")
expect(member("host-b1", "host-x") == "unknown", "the second host is not a member")
expect(member("host-b1", "host-a1") == "alive", "the first host stays a member")
expect(dispatcher("host-b1", "service1", "a") == before, "the dispatcher does not change")
