-- Guards against a host that goes on with old knowledge when it hears nobody, and against one that takes all
-- others for dead.
world{hosts_per_zone = 2}
start()
run(5000)
load(40)
isolate("host-b1", true)
run(2700)
expect(isolated("host-b1"), "isolated after 2.5 s")
expect(member("host-a1", "host-b1") ~= "alive", "the others noticed within 3 s")
zone("c", false)
run(20000)
expect(member("host-b1", "host-a1") == "alive", "silence is not taken for the death of all others")
isolate("host-b1", false)
run(3000)
expect(not isolated("host-b1"), "back")
expect(version("host-b1", "zone", "c") == version("host-a1", "zone", "c"), "with the new revision")
