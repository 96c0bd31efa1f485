-- Guards against leases that end, or limits that get lost, because responses of the platform are lost.
world{hosts_per_zone = 2}
start()
run(4000)
platform{lose_response = 0.4}
run(20000)
expect(events("event=session_lost") == 0, "own writes are recognised")
for _, zone in ipairs(zones()) do
  expect(#holders("service1", zone) == 1, "one holder in " .. zone)
end
