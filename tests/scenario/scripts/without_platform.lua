-- Guards against hosts that miss revisions because they do not reach the platform themselves. One
-- host that reaches the platform must be enough for all.
world{hosts_per_zone = 3}
start()
run(5000)
for _, host in ipairs(hosts()) do cut_platform(host, host ~= "host-c3") end
for i = 1, 5 do
  zone("a", i % 2 == 0)
  run(3000)
  for _, host in ipairs(hosts()) do
    expect(version(host, "zone", "a") == version("host-c3", "zone", "a"),
           host .. " has the revision")
  end
end
