-- Guards against a stale list from the platform that reverts records on a restarted host to
-- versions older than those of its peers, or deletes records.
world{hosts_per_zone = 2}
start()
run(5000)
put("rule", "new", '{"service":"service1","path_prefix":"/new"}')
zone("b", false)
remove("target", "service1-a1")
run(1500)
platform{stale_ms = 8000, slow_ms = 300}
for _ = 1, 4 do
  crash("host-a1")
  restart("host-a1")
  run(6000)
  expect(version("host-a1", "zone", "b") == version("host-b1", "zone", "b"),
         "zone state is current")
  expect(version("host-a1", "rule", "new") > 0, "the new rule is in effect")
end
