-- Guards against two hosts that hold the assignment of a shard at once: a paused holder must be
-- fenced after its lease has expired and before another host takes over, and must detect this when
-- it resumes.
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
expect(old ~= nil, "a host holds the assignment")
run(100 * random(20))
pause(old)
local taken
for i = 1, 140 do
  run(100)
  local now = holder()
  if now and now ~= old and not taken then taken = i * 100 end
end
expect(taken ~= nil and taken > 4000 and taken < 13000,
       "another host takes over 4 s to 13 s after the pause")
resume(old)
for _ = 1, 100 do run(100); holder() end
expect(events("event=session_lost") >= 1, "the old holder detects that its session is lost")
