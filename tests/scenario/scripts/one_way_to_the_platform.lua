-- Guards against hosts that do not reach the platform and miss a revision which peers that they
-- reach have.
world{hosts_per_zone = 2}
start()
run(5000)
split{a = 0, b = 0, c = 0, platform = 1}
run(1000)
split{a = 0, b = 0, c = 1, platform = 1}
run(20000)
zone("a", false)
run(1000)
split{a = 0, b = 0, c = 0, platform = 1}
-- Zones a and b now reach zone c, which has the revision, but still not the platform.
run(5000)
expect(version("host-a1", "zone", "a") == version("host-c1", "zone", "a"),
       "zone a has the revision")
expect(member("host-a1", "host-c1") == "alive", "zones a and c are connected again")
