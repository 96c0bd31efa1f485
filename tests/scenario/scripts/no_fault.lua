-- Guards against hosts that fail to find each other, to hold their limits or to place calls.
world{hosts_per_zone = 2}
start()
run(5000)
for _, host in ipairs(hosts()) do
  expect(has_configuration(host), host .. " has a configuration")
  for _, other in ipairs(hosts()) do
    expect(member(host, other) == "alive", host .. " sees " .. other)
  end
end
load(50)
run(15000)
for _, zone in ipairs(zones()) do
  expect(#holders("service1", zone) == 1, "one holder in " .. zone)
end
local answered, not_run, unknown = outcomes()
expect(answered > 500 and not_run + unknown < answered / 50, "calls are answered")
