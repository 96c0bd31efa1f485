-- Guards against an isolated host that keeps acting on an outdated configuration, and against one
-- that declares all other hosts dead because it receives no messages.
world{hosts_per_zone = 2}
start()
run(5000)
load(40)
isolate("host-b1", true)
run(2700)
expect(isolated("host-b1"), "the host is isolated after 2.5 s")
expect(member("host-a1", "host-b1") ~= "alive", "the other hosts detect the failure within 3 s")
zone("c", false)
run(20000)
expect(member("host-b1", "host-a1") == "alive",
       "the isolated host does not declare the other hosts dead")
isolate("host-b1", false)
run(3000)
expect(not isolated("host-b1"), "the host is no longer isolated")
expect(version("host-b1", "zone", "c") == version("host-a1", "zone", "c"),
       "the host has the new revision")
