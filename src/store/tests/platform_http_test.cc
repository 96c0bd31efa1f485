#include "store/internal/platform_http.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstdlib>

#include "store/platform_types.h"

namespace monsoonshelf::store::detail {

using coordination::PlatformOperation;
using coordination::PlatformRequest;

class PlatformHttpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformHttpTest);
  CPPUNIT_TEST(AcceptsValidResponses);
  CPPUNIT_TEST(RejectsResponsesThatDoNotMatchTheRequest);
  CPPUNIT_TEST(RejectsUnexpectedStatus);
  CPPUNIT_TEST(CorruptedResponsesDoNotCrash);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a check that rejects everything.
  void AcceptsValidResponses() {
    const std::string object = R"({"kind":"zone","name":"z","version":5,"body":"{}","new":1})";
    CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kGet, 200, object) == ResultCode::kOk);
    CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kPut, 200, object) == ResultCode::kOk);
    CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kPut, 412, object) ==
                   ResultCode::kPlatformConflict);
    CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kPut, 412, "{}") ==
                   ResultCode::kPlatformConflict);
    const std::string list = R"({"version":5,"objects":[)" + object + "]}";
    CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kList, 200, list) == ResultCode::kOk);
    CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kWatch, 200, list) == ResultCode::kOk);
    CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kDelete, 200,
                                R"({"kind":"zone","name":"z","version":5,"deleted":true})") ==
                   ResultCode::kOk);
  }

  // Guards against the use of a response that is truncated, outdated or for another request.
  void RejectsResponsesThatDoNotMatchTheRequest() {
    const std::string large(kMaxObjectBytes + 1, 'x');
    const std::string other = R"({"kind":"zone","name":"other","version":5,"body":""})";
    const std::pair<PlatformOperation, std::string> cases[] = {
        {PlatformOperation::kGet, ""},
        {PlatformOperation::kGet, "[]"},
        {PlatformOperation::kGet, R"({"kind":"zone","name":"z","version":5,"body":"{})"},
        {PlatformOperation::kGet, other},
        {PlatformOperation::kGet, R"({"kind":"rule","name":"z","version":5,"body":""})"},
        {PlatformOperation::kGet, R"({"kind":"zone","name":"z","version":0,"body":""})"},
        {PlatformOperation::kGet, R"({"kind":"zone","name":"z","version":-5,"body":""})"},
        {PlatformOperation::kGet, R"({"kind":"zone","name":"z","version":5.5,"body":""})"},
        {PlatformOperation::kGet, R"({"kind":"zone","name":"z","version":"5","body":""})"},
        {PlatformOperation::kGet, R"({"kind":"zone","name":"z","version":5,"body":{}})"},
        {PlatformOperation::kGet, R"({"kind":"zone","name":"z","version":5,"deleted":true})"},
        {PlatformOperation::kGet,
         R"({"kind":"zone","name":"z","version":5,"body":")" + large + "\"}"},
        {PlatformOperation::kPut, R"({"kind":"zone","name":"z","version":3,"body":""})"},
        {PlatformOperation::kDelete, R"({"kind":"zone","name":"z","version":5,"body":""})"},
        {PlatformOperation::kList, R"({"objects":[]})"},
        {PlatformOperation::kList, R"({"version":5,"objects":{}})"},
        {PlatformOperation::kList, R"({"version":4,"objects":[)" + other + "]}"},
        {PlatformOperation::kList,
         R"({"version":5,"objects":[{"kind":"rule","name":"z","version":5,"body":""}]})"},
        {PlatformOperation::kWatch, R"({"version":2,"objects":[]})"},
        {PlatformOperation::kWatch,
         R"({"version":9,"objects":[{"kind":"zone","name":"z","version":3,"body":""}]})"},
        {PlatformOperation::kHosts, R"({"hosts":[{"name":"","peer_address":"","leaving":false}]})"},
        {PlatformOperation::kHosts, R"({"hosts":[{"name":"h","peer_address":""}]})"},
    };
    for (const auto& [operation, body] : cases) {
      CPPUNIT_ASSERT_MESSAGE(body.substr(0, 200), ResultCodeOf(operation, 200, body) ==
                                                      ResultCode::kPlatformInvalidAnswer);
    }
    CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kPut, 412, other) ==
                   ResultCode::kPlatformInvalidAnswer);
  }

  // Guards against an HTTP status that is taken for success by mistake.
  void RejectsUnexpectedStatus() {
    for (const int status : {0, 201, 204, 206, 301, 400, 500}) {
      CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kGet, status, "{}") ==
                     ResultCode::kPlatformInvalidAnswer);
    }
    CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kList, 404, "{}") ==
                   ResultCode::kPlatformInvalidAnswer);
    CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kGet, 412, "{}") ==
                   ResultCode::kPlatformInvalidAnswer);
    CPPUNIT_ASSERT(ResultCodeOf(PlatformOperation::kGet, 429, "") ==
                   ResultCode::kPlatformBudgetSpent);
  }

  // Guards against crashes on corrupted or truncated responses.
  void CorruptedResponsesDoNotCrash() {
    const std::string valid =
        R"({"version":9,"objects":[{"kind":"zone","name":"z","version":5,"body":"{\"a\":1}"}]})";
    const bool ok = rc::check("damaged listing", [&](std::uint16_t position, char byte) {
      std::string corrupted = valid;
      corrupted[position % corrupted.size()] = byte;
      const auto reply = ParseHttpResponse(Request(PlatformOperation::kList), 200, corrupted);
      if (reply.code_ == ResultCode::kOk) {
        for (const auto& object : reply.objects_) RC_ASSERT(object.version_ <= reply.version_);
      }
      const auto shorter = valid.substr(0, position % valid.size());
      RC_ASSERT(ParseHttpResponse(Request(PlatformOperation::kList), 200, shorter).code_ ==
                ResultCode::kPlatformInvalidAnswer);
    });
    CPPUNIT_ASSERT(ok);
  }

 private:
  static PlatformRequest Request(PlatformOperation operation) {
    PlatformRequest request;
    request.operation_ = operation;
    request.kinds_ = {"zone"};
    request.version_ = 3;
    if (operation != PlatformOperation::kList && operation != PlatformOperation::kWatch) {
      request.name_ = "z";
    }
    return request;
  }

  static ResultCode ResultCodeOf(PlatformOperation operation, int status, const std::string& body) {
    return ParseHttpResponse(Request(operation), status, body).code_;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformHttpTest);

}  // namespace monsoonshelf::store::detail
