-- Guards against hosts that cannot work while the platform is down. A restarted host must get the
-- configuration from its peers, leases must expire, and calls to ready targets must continue.
world{hosts_per_zone = 2}
start()
run(6000)
load(30)
run(2000)
platform{down = 1}
crash("host-a1")
run(500)
restart("host-a1")
run(1500)
expect(has_configuration("host-a1"), "the restarted host has a configuration")
expect(version("host-a1", "zone", "a") == version("host-b1", "zone", "a"),
       "the restarted host has the zone version of its peers")
run(8000)
for _, zone in ipairs(zones()) do
  expect(#holders("service1", zone) == 0, "no assignment is held in " .. zone .. " after its lease")
end
expect(not isolated("host-b1"), "hosts that reach each other are not isolated")
platform{}
run(12000)
for _, zone in ipairs(zones()) do
  expect(#holders("service1", zone) == 1, "one holder again in " .. zone)
end
