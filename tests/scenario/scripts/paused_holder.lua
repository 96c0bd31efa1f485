-- Guards against two holders of a shard's strict limits: a paused holder whose lease ended must be fenced
-- before another host takes over, and must notice when it resumes.
world{hosts_per_zone = 3}
start()
run(6000)
load(30)
local function holder()
  local held = holders("service1", "a")
  expect(#held <= 1, "at most one holder")
  return held[1]
end
local old = holder()
expect(old ~= nil, "the limits are held")
run(100 * random(20))
pause(old)
local taken
for i = 1, 140 do
  run(100)
  local now = holder()
  if now and now ~= old and not taken then taken = i * 100 end
end
expect(taken ~= nil and taken > 4000 and taken < 13000, "taken over after the lease, in time")
resume(old)
for _ = 1, 100 do run(100); holder() end
expect(events("event=session_lost") >= 1, "the old holder notices the fence")
