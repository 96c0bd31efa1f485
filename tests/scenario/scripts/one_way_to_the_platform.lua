-- Guards against a host without the platform that lags behind the peers it reaches.
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
-- Zones a and b reach zone c, which has the revision, and not the platform.
run(5000)
expect(version("host-a1", "zone", "a") == version("host-c1", "zone", "a"), "zone a has the revision")
expect(member("host-a1", "host-c1") == "alive", "the partition is healed")
