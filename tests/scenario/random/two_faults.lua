-- Guards against combinations of faults that no other script covers: two random faults overlap,
-- under load and with changes by operators. The script expects nothing itself; the invariant checks
-- decide.
world{zones = {"a", "b", "c"}, regions = {a = "r1", b = "r1", c = "r2"},
      hosts_per_zone = 1 + random(2), services = 2, targets_per_shard = 1 + random(2)}

local function any(list) return list[random(#list)] end
local function later(ms, undo) after(ms, undo) end

local faults = {
  function(ms) local h = any(hosts()); pause(h); later(ms, function() resume(h) end) end,
  function(ms) local h = any(hosts()); crash(h); later(ms, function() restart(h) end) end,
  function() local h = any(hosts()); crash(h); restart(h) end,
  function(ms) local h = any(hosts()); isolate(h, true); later(ms, function() isolate(h, false) end) end,
  function(ms) local h = any(hosts()); leave(h); later(12000, function() restart(h) end) end,
  function(ms) local z = any(zones()); zone(z, false); later(ms, function() zone(z, true) end) end,
  function(ms)
    split{c = 1, platform = random(2) - 1}
    later(ms, function() split{} end)
  end,
  function(ms) platform{down = 1}; later(ms, function() platform{} end) end,
  function(ms)
    platform{slow_ms = 100 * random(10), lose_response = 0.3, stale_ms = 1000 * random(3)}
    later(ms, function() platform{} end)
  end,
  function(ms)
    network{loss = 0.02 * random(5), duplication = 0.1, jitter_ms = 5}
    later(ms, function() network{} end)
  end,
  function(ms)
    local h = any(hosts())
    cut_platform(h, true)
    later(ms, function() cut_platform(h, false) end)
  end,
  function() target(any(targets()), "reset") end,
  function(ms)
    local t = any(targets())
    target(t, "drain", true)
    later(ms, function() target(t, "drain", false) end)
  end,
  function(ms)
    local t = any(targets())
    target(t, "down", true)
    later(ms, function() target(t, "down", false) end)
  end,
  function(ms)
    local t = any(targets())
    target(t, "leave", true)
    later(ms, function() target(t, "leave", false) end)
  end,
  function() target(any(targets()), "mismatch", random(5)) end,
  function(ms)
    local t = any(targets())
    target(t, "service_ms", 300)
    later(ms, function() target(t, "service_ms", 30) end)
  end,
}

-- Restarts random targets during the whole run, so that the limits of cold targets apply during the
-- faults.
local function restart_targets()
  local t = any(targets())
  target(t, "cold_ms", 500 * random(12))
  target(t, "reset")
  after(500 + random(2000), restart_targets)
end

start()
run(3000)
load(20 * random(4))
restart_targets()
run(1000 * random(3))
any(faults)(1000 * random(12))
run(random(6000))
any(faults)(1000 * random(12))
run(random(4000))
put("rule", "rule1", '{"service":"service1","path_prefix":"/"}')
run(16000)
