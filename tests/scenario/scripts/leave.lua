-- Guards against a graceful stop that interrupts calls or that other hosts handle as a crash.
world{hosts_per_zone = 2}
start()
run(5000)
load(60)
run(1000)
local old = holders("service1", "a")[1]
leave(old)
run(1000)
for _, host in ipairs(hosts()) do
  expect(host == old or member(host, old) == "leaving", host .. " sees the host as leaving")
  expect(dispatcher(host, "service1", "a") ~= old, "another host dispatches")
end
run(2000)
run(9000)
local now = holders("service1", "a")
expect(#now == 1 and now[1] ~= old, "exactly one other host holds the assignment")
expect(events("event=session_fenced") == 0,
       "the assignment was released, not taken over by fencing")
