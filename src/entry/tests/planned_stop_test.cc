#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>

#include "entry/tests/entry_fixture.h"

namespace monsoonshelf::entry {

namespace {

using std::chrono::milliseconds;

// Keeps a target from responding until the test lets it.
class Gate {
 public:
  void Open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    changed_.notify_all();
  }
  void Wait() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return open_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false;
};

// Opens the gate when the test ends early; otherwise destroying the target would block.
class OpenOnExit {
 public:
  explicit OpenOnExit(Gate& gate) : gate_(gate) {}
  ~OpenOnExit() { gate_.Open(); }
  OpenOnExit(const OpenOnExit&) = delete;
  OpenOnExit& operator=(const OpenOnExit&) = delete;

 private:
  Gate& gate_;
};

// Result of a stop, for a thread that waits for it.
class StopWaiter {
 public:
  void Begin(EntryFixture& entry) {
    entry.Host().BeginStop([this](const StopResult& result) {
      const std::lock_guard lock(mutex_);
      result_ = result;
      done_ = true;
      changed_.notify_all();
    });
  }
  bool IsDone() {
    const std::lock_guard lock(mutex_);
    return done_;
  }
  StopResult Wait() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return done_; });
    return result_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool done_ = false;
  StopResult result_;
};

EntrySettings WithoutKeepTime(Duration stop_time = std::chrono::seconds(30)) {
  EntrySettings settings;
  settings.keep_time_ = Duration(0);
  settings.stop_time_ = stop_time;
  return settings;
}

records::Rule RuleWithDeadline(Duration deadline) {
  records::Rule rule;
  rule.service_ = "svc";
  rule.deadline_ = deadline;
  rule.idempotent_ = true;
  return rule;
}

}  // namespace

// A planned stop of an entry host as its callers see it: each request that a caller sent gets the
// whole response or a rejection (invariant 8).
class PlannedStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlannedStopTest);
  CPPUNIT_TEST(SlowReaderReceivesTheWholeResponse);
  CPPUNIT_TEST(PipelinedRequestDoesNotDiscardTheResponseBeforeIt);
  CPPUNIT_TEST(RequestOnConnectionAcceptedWhileDrainingIsRejected);
  CPPUNIT_TEST(PartlyReadRequestIsRejected);
  CPPUNIT_TEST(ForcedStopRespondsToEveryCall);
  CPPUNIT_TEST(ForcedStopRejectsPartlyReadRequests);
  CPPUNIT_TEST(RepeatedStopDoesNotCutCalls);
  CPPUNIT_TEST(ForwardedCallInFlightIsAnsweredOnce);
  CPPUNIT_TEST(ForwardedQueuedCallIsPlacedAgainAfterAForcedStop);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a stop that counts a call as ended when its response has been written to the
  // socket but not yet read by the caller, and then discards the rest.
  void SlowReaderReceivesTheWholeResponse() {
    for (const std::size_t size : {std::size_t{60'000}, std::size_t{8'000'000}}) {
      FakeTarget target([&](Connection& connection) {
        const std::string head = connection.ReadHead();
        if (!head.empty()) connection.Write(Response(head, std::string(size, 'b')));
      });
      EntryFixture entry(WithoutKeepTime());
      entry.targets_ = {target.Address()};
      entry.Publish();
      Connection caller = Connection::ConnectTo(entry.Address(), 4096);
      caller.Write(EntryFixture::Request("GET", "/s/svc/pack"));
      const std::string head = caller.ReadHead();
      StopWaiter stop;
      stop.Begin(entry);
      entry.WaitForEvent("to=draining");
      std::this_thread::sleep_for(milliseconds(100));
      std::thread destroyer([&] {
        if (size < 100'000) return;
        stop.Wait();
        entry.DestroyHost();
      });
      if (size < 100'000) {
        stop.Wait();
        entry.DestroyHost();
      }
      const std::size_t received = caller.ReadBody(size).size();
      destroyer.join();
      CPPUNIT_ASSERT_EQUAL(size, received);
    }
  }

  // Guards against a reset that discards a response on its way to the caller: the kernel resets a
  // connection that is closed with unread bytes, here those of a pipelined request.
  void PipelinedRequestDoesNotDiscardTheResponseBeforeIt() {
    constexpr std::size_t kSize = 60'000;
    Gate gate;
    FakeTarget target([&](Connection& connection) {
      const std::string head = connection.ReadHead();
      gate.Wait();
      if (!head.empty()) connection.Write(Response(head, std::string(kSize, 'b')));
    });
    const OpenOnExit release(gate);
    EntryFixture entry(WithoutKeepTime());
    entry.targets_ = {target.Address()};
    entry.Publish();
    Connection caller = Connection::ConnectTo(entry.Address(), 4096);
    caller.Write(EntryFixture::Request("GET", "/s/svc/pack"));
    while (target.ConnectionCount() == 0) std::this_thread::yield();
    caller.Write(EntryFixture::Request("POST", "/s/svc/b",
                                       "Monsoonshelf-Call-Id: " + entry.NewId() + "\r\n",
                                       std::string(100'000, 'q')));
    StopWaiter stop;
    stop.Begin(entry);
    entry.WaitForEvent("to=draining");
    gate.Open();
    entry.WaitForEnds(1);
    std::this_thread::sleep_for(milliseconds(100));
    caller.ReadHead();
    CPPUNIT_ASSERT_EQUAL(kSize, caller.ReadBody(kSize).size());
    stop.Wait();
  }

  // Guards against a connection that is closed as idle before its first request has arrived: its
  // caller got neither a response nor a rejection.
  void RequestOnConnectionAcceptedWhileDrainingIsRejected() {
    Gate gate;
    FakeTarget target([&](Connection& connection) {
      const std::string head = connection.ReadHead();
      gate.Wait();
      if (!head.empty()) connection.Write(Response(head, "done"));
    });
    const OpenOnExit release(gate);
    EntryFixture entry(WithoutKeepTime());
    entry.targets_ = {target.Address()};
    entry.Publish();
    Connection running = Connection::ConnectTo(entry.Address());
    running.Write(EntryFixture::Request("GET", "/s/svc/a"));
    while (target.ConnectionCount() == 0) std::this_thread::yield();
    StopWaiter stop;
    stop.Begin(entry);
    entry.WaitForEvent("to=draining");
    Connection caller = Connection::ConnectTo(entry.Address());
    std::this_thread::sleep_for(milliseconds(100));
    caller.Write(EntryFixture::Request("GET", "/s/svc/b"));
    const auto answer = EntryFixture::ReadAnswer(caller);
    CPPUNIT_ASSERT_EQUAL(std::string("758"), answer.Code());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), answer.Outcome());
    gate.Open();
    CPPUNIT_ASSERT_EQUAL(std::string("done"), EntryFixture::ReadAnswer(running).body_);
    CPPUNIT_ASSERT(!stop.Wait().forced_);
  }

  // Guards against a stop that ends while a request is partly read.
  void PartlyReadRequestIsRejected() {
    FakeTarget target(EchoHandler);
    EntryFixture entry(WithoutKeepTime());
    entry.targets_ = {target.Address()};
    entry.Publish();
    Connection caller = Connection::ConnectTo(entry.Address());
    CPPUNIT_ASSERT_EQUAL(200, entry.Call("GET", "/s/svc/a").Status());
    const std::string request = EntryFixture::Request("GET", "/s/svc/b", "X-Long: 12345678\r\n");
    caller.Write(request.substr(0, request.size() - 9));
    StopWaiter stop;
    stop.Begin(entry);
    entry.WaitForEvent("to=draining");
    std::this_thread::sleep_for(milliseconds(100));
    caller.Write(request.substr(request.size() - 9));
    const auto answer = EntryFixture::ReadAnswer(caller);
    CPPUNIT_ASSERT_EQUAL(std::string("758"), answer.Code());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), answer.Outcome());
    CPPUNIT_ASSERT(!stop.Wait().forced_);
  }

  // Guards against a forced stop that closes the connections of calls without a response: a call
  // that was never sent is not run, also if its target becomes free, and the outcome of the others
  // is unknown. Each has a log line.
  void ForcedStopRespondsToEveryCall() {
    std::atomic<int> received = 0;
    FakeTarget target([&](Connection& connection) {
      connection.ReadHead();
      ++received;
      connection.ReadToEnd();
    });
    EntryFixture entry(WithoutKeepTime(std::chrono::seconds(2)));
    entry.service_.slots_ = 1;
    entry.targets_ = {target.Address()};
    entry.rules_ = {RuleWithDeadline(std::chrono::seconds(30))};
    entry.Publish();
    const std::string deadline = "Monsoonshelf-Deadline-Ms: 30000\r\n";
    Connection running = Connection::ConnectTo(entry.Address());
    running.Write(EntryFixture::Request("GET", "/s/svc/a", deadline));
    while (received == 0) std::this_thread::yield();
    Connection queued = Connection::ConnectTo(entry.Address());
    queued.Write(EntryFixture::Request("GET", "/s/svc/b", deadline));
    StopWaiter stop;
    stop.Begin(entry);
    CPPUNIT_ASSERT(stop.Wait().forced_);
    entry.DestroyHost();
    const auto ends = entry.Ends();
    const auto first = EntryFixture::ReadAnswer(running);
    const auto second = EntryFixture::ReadAnswer(queued);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), first.Outcome());
    CPPUNIT_ASSERT_EQUAL(504, first.Status());
    CPPUNIT_ASSERT_EQUAL(std::string("not_run"), second.Outcome());
    CPPUNIT_ASSERT_EQUAL(503, second.Status());
    CPPUNIT_ASSERT_EQUAL(1, received.load());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), ends.size());
  }

  // Guards against a forced stop that closes the connection of a request that has been read in
  // part without a rejection.
  void ForcedStopRejectsPartlyReadRequests() {
    FakeTarget target(EchoHandler);
    EntryFixture entry(WithoutKeepTime(milliseconds(1300)));
    entry.targets_ = {target.Address()};
    entry.Publish();
    const std::string request = EntryFixture::Request(
        "POST", "/s/svc/b", "Monsoonshelf-Call-Id: " + entry.NewId() + "\r\n", "body");
    Connection in_head = Connection::ConnectTo(entry.Address());
    in_head.Write(request.substr(0, request.size() - 12));
    Connection in_body = Connection::ConnectTo(entry.Address());
    in_body.Write(request.substr(0, request.size() - 2));
    StopWaiter stop;
    stop.Begin(entry);
    CPPUNIT_ASSERT(stop.Wait().forced_);
    for (auto* caller : {&in_head, &in_body}) {
      const auto answer = EntryFixture::ReadAnswer(*caller);
      CPPUNIT_ASSERT_EQUAL(503, answer.Status());
      CPPUNIT_ASSERT_EQUAL(std::string("not_run"), answer.Outcome());
    }
    CPPUNIT_ASSERT_EQUAL(0, target.ConnectionCount());
  }

  // Guards against a second stop that cuts calls in flight.
  void RepeatedStopDoesNotCutCalls() {
    Gate gate;
    FakeTarget target([&](Connection& connection) {
      const std::string head = connection.ReadHead();
      gate.Wait();
      if (!head.empty()) connection.Write(Response(head, "done"));
    });
    const OpenOnExit release(gate);
    EntryFixture entry(WithoutKeepTime());
    entry.targets_ = {target.Address()};
    entry.Publish();
    Connection running = Connection::ConnectTo(entry.Address());
    running.Write(EntryFixture::Request("GET", "/s/svc/a", "Monsoonshelf-Deadline-Ms: 30000\r\n"));
    while (target.ConnectionCount() == 0) std::this_thread::yield();
    StopWaiter stop;
    stop.Begin(entry);
    stop.Begin(entry);
    entry.WaitForEvent("to=draining");
    stop.Begin(entry);
    gate.Open();
    CPPUNIT_ASSERT_EQUAL(std::string("done"), EntryFixture::ReadAnswer(running).body_);
    CPPUNIT_ASSERT(!stop.Wait().forced_);
  }

  // Guards against a call that is lost or run twice because the host that dispatches it stops: the
  // call was accepted by another host and is at the target when the stop begins.
  void ForwardedCallInFlightIsAnsweredOnce() {
    for (const std::string method : {"GET", "POST"}) {
      Gate gate;
      std::atomic<int> runs = 0;
      FakeTarget target([&](Connection& connection) {
        const std::string head = connection.ReadHead();
        if (head.empty()) return;
        ++runs;
        gate.Wait();
        connection.Write(Response(head, "done"));
      });
      const OpenOnExit release(gate);
      EntrySettings settings;
      settings.name_ = "h2";
      EntryFixture accepting(settings);
      EntryFixture dispatcher(WithoutKeepTime());
      PublishPair(accepting, dispatcher, target.Address());
      Connection caller = Connection::ConnectTo(accepting.Address());
      caller.Write(EntryFixture::Request(method, "/s/svc/a",
                                         "Monsoonshelf-Call-Id: " + dispatcher.NewId() + "\r\n"));
      while (runs == 0) std::this_thread::yield();
      StopWaiter stop;
      stop.Begin(dispatcher);
      dispatcher.WaitForEvent("to=draining");
      gate.Open();
      const auto answer = EntryFixture::ReadAnswer(caller);
      CPPUNIT_ASSERT_EQUAL(std::string("done"), answer.body_);
      CPPUNIT_ASSERT_EQUAL(std::string("answered"), answer.Outcome());
      CPPUNIT_ASSERT(!stop.Wait().forced_);
      CPPUNIT_ASSERT_EQUAL(1, runs.load());
    }
  }

  // Guards against a call that is lost because the host that queued it for another one is forced to
  // stop: the call was not run, so the host that accepted it places it itself.
  void ForwardedQueuedCallIsPlacedAgainAfterAForcedStop() {
    Gate gate;
    std::atomic<int> held = 0;
    FakeTarget target([&](Connection& connection) {
      const std::string head = connection.ReadHead();
      if (head.empty()) return;
      if (head.find(" /hold") != std::string::npos) {
        ++held;
        gate.Wait();
      }
      connection.Write(Response(head, "done"));
    });
    const OpenOnExit release(gate);
    EntrySettings settings;
    settings.name_ = "h2";
    EntryFixture accepting(settings);
    EntryFixture dispatcher(WithoutKeepTime(milliseconds(1300)));
    dispatcher.service_.slots_ = 1;
    PublishPair(accepting, dispatcher, target.Address());
    Connection running = Connection::ConnectTo(dispatcher.Address());
    running.Write(EntryFixture::Request("GET", "/s/svc/hold"));
    while (held == 0) std::this_thread::yield();
    Connection queued = Connection::ConnectTo(accepting.Address());
    queued.Write(EntryFixture::Request("GET", "/s/svc/b"));
    StopWaiter stop;
    stop.Begin(dispatcher);
    const auto answer = EntryFixture::ReadAnswer(queued);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), answer.body_);
    CPPUNIT_ASSERT_EQUAL(std::string("answered"), answer.Outcome());
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), EntryFixture::ReadAnswer(running).Outcome());
    CPPUNIT_ASSERT(stop.Wait().forced_);
  }

 private:
  // Sets views in which `dispatcher`, the host h1, dispatches the shard and `accepting` is h2.
  static void PublishPair(EntryFixture& accepting, EntryFixture& dispatcher,
                          const std::string& target) {
    for (auto* entry : {&accepting, &dispatcher}) {
      entry->targets_ = {target};
      entry->rules_ = {RuleWithDeadline(std::chrono::seconds(30))};
      entry->rules_[0].method_ = "GET";
      entry->rules_.push_back(entry->rules_[0]);
      entry->rules_[1].method_ = "POST";
      entry->rules_[1].idempotent_ = false;
      entry->view_.members_ = {entry->Member("h1", dispatcher.Address()),
                               entry->Member("h2", accepting.Address())};
      entry->view_.placements_[{"svc", "z1"}].dispatcher_ =
          entry->Member("h1", dispatcher.Address());
      entry->Publish();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);

}  // namespace monsoonshelf::entry
