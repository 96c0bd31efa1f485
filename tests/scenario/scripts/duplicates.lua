-- Guards against a second host with a used address or name that changes what is in effect.
world{hosts_per_zone = 2}
start()
run(5000)
local before = dispatcher("host-b1", "service1", "a")
add_host("host-x", "a", "10.0.0.1")
run(5000)
expect(events("event=duplicate_address code=553") > 0, "the address is reported")
expect(member("host-b1", "host-x") == "unknown", "the second host is not taken in")
expect(member("host-b1", "host-a1") == "alive", "the first host stays")
expect(dispatcher("host-b1", "service1", "a") == before, "the dispatcher stays")
