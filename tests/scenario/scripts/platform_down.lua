-- Guards against hosts that need the platform: a new host takes the configuration from peers, leases end,
-- and calls to ready targets go on.
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
expect(has_configuration("host-a1"), "the new host has the configuration of its peers")
expect(version("host-a1", "zone", "a") == version("host-b1", "zone", "a"), "and the same version")
run(8000)
for _, zone in ipairs(zones()) do
  expect(#holders("service1", zone) == 0, "no lease lasts without the platform")
end
expect(not isolated("host-b1"), "hosts that hear each other are not isolated")
platform{}
run(12000)
for _, zone in ipairs(zones()) do
  expect(#holders("service1", zone) == 1, "limits are held again in " .. zone)
end
