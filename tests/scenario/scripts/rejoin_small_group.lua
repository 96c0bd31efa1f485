-- Guards against a host that returns from isolation into a small group and suspects its only peer
-- because of pings sent before its return, and then misses revisions (seed 1523 of two_faults.lua).
world{hosts_per_zone = 2, regions = {a = "r1", b = "r1", c = "r2"}}
start()
run(5000)
isolate("host-c1", true)
run(4000 + random(500))
split{c = 1, platform = 1}
run(3000)
cut_platform("host-c1", true)
zone("a", false)
isolate("host-c1", false)
run(3000)
expect(version("host-c1", "zone", "a") == version("host-c2", "zone", "a"),
       "the host has the revision")
run(1500)
expect(member("host-c1", "host-c2") == "alive" and member("host-c2", "host-c1") == "alive",
       "both hosts see each other alive")
