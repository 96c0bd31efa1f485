-- Guards against lost platform responses: a host that misses the response to its own write must not
-- lose its session or its assignments.
world{hosts_per_zone = 2}
start()
run(4000)
platform{lose_response = 0.4}
run(20000)
expect(events("event=session_lost") == 0, "no session is lost: hosts recognize their own writes")
for _, zone in ipairs(zones()) do
  expect(#holders("service1", zone) == 1, "one holder in " .. zone)
end
