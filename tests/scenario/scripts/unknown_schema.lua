-- Guards against a record with an unknown schema that removes the last valid version from effect,
-- or that makes hosts exchange configurations endlessly.
world{hosts_per_zone = 2}
start()
run(5000)
local before = version("host-a1", "zone", "a")
put("zone", "a", '{"region":"r1","state":"out"}', 99)
run(5000)
expect(version("host-a1", "zone", "a") == before, "the last valid version stays in effect")
expect(events("event=record_rejected") == #hosts(), "each host reports the rejected record once")
