-- Without a fault, hosts must find each other, each shard must have one holder, and calls must be
-- answered.
world{hosts_per_zone = 2}
start()
run(5000)
for _, host in ipairs(hosts()) do
  expect(has_configuration(host), host .. " has a configuration")
  for _, other in ipairs(hosts()) do
    expect(member(host, other) == "alive", host .. " sees " .. other .. " alive")
  end
end
load(50)
run(15000)
for _, zone in ipairs(zones()) do
  expect(#holders("service1", zone) == 1, "one holder in " .. zone)
end
local answered, not_run, unknown = outcomes()
expect(answered > 500 and not_run + unknown < answered / 50,
       "more than 500 calls are answered, and fewer than 2 % fail")
