// Tests of subcommands against recorded answers: what is sent, what is
// printed, and the exit code.

#include <cstdio>
#include <deque>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "command.h"

namespace sassafras::ctl {
namespace {

using nlohmann::json;

client::CallResult Answered(int status, const json& body) {
  client::CallResult result;
  result.answer = http::JsonAnswer(status, body);
  return result;
}

client::CallResult Unanswered(bool may_have_run) {
  client::CallResult result;
  result.may_have_run = may_have_run;
  result.why.message = "no entry answers";
  return result;
}

// Runs command lines against answers given beforehand.
class CommandsTest : public testing::Test {
 protected:
  ExitCode Run(std::vector<std::string> line) {
    line.insert(line.end(), {"--entry", "127.0.0.1:1"});
    ExitCode code = ExitCode::kOk;
    const auto invocation = ParseCommandLine(line, {}, out_, err_, code);
    if (!invocation) {
      return code;
    }
    Context context{invocation->global, invocation->given,
                    [this](http::Request request, client::ResendRule resend) {
                      return Take(std::move(request), resend);
                    },
                    out_, err_};
    return invocation->command->run(context);
  }

  client::CallResult Take(http::Request request, client::ResendRule resend) {
    sent_.push_back(std::move(request));
    rules_.push_back(resend);
    if (answers_.empty()) {
      return Unanswered(false);
    }
    auto answer = answers_.front();
    answers_.pop_front();
    return answer;
  }

  // A file with `text`, removed with the test.
  std::string File(const std::string& text) {
    path_ = testing::TempDir() + "ctl_section.toml";
    std::ofstream(path_) << text;
    return path_;
  }

  ~CommandsTest() override {
    if (!path_.empty()) {
      std::remove(path_.c_str());
    }
  }

  std::deque<client::CallResult> answers_;
  std::vector<http::Request> sent_;
  std::vector<client::ResendRule> rules_;
  std::ostringstream out_;
  std::ostringstream err_;
  std::string path_;
};

TEST_F(CommandsTest, PutTakesTheVersionInForceAndMakesAChangeId) {
  answers_ = {Answered(200, {{"version", 7}}),
              Answered(200, {{"section", "team"}, {"version", 8}})};
  EXPECT_EQ(Run({"document", "put", "team", File("a = 1\n")}), ExitCode::kOk);
  ASSERT_EQ(sent_.size(), 2u);
  EXPECT_EQ(sent_[1].method, "PUT");
  EXPECT_EQ(sent_[1].body, "a = 1\n");
  EXPECT_EQ(*sent_[1].Query("base"), "7");
  EXPECT_EQ(sent_[1].Query("change")->size(), 32u);
  EXPECT_TRUE(rules_[1].on_unknown);  // the change id makes it harmless
  EXPECT_NE(out_.str().find("version 8"), std::string::npos);
}

TEST_F(CommandsTest, PutOfANewSectionIsBasedOnNothing) {
  answers_ = {Answered(404, {{"code", "not-found"}}),
              Answered(200, {{"version", 1}})};
  EXPECT_EQ(Run({"document", "put", "team", File("")}), ExitCode::kOk);
  EXPECT_EQ(*sent_[1].Query("base"), "0");
}

TEST_F(CommandsTest, PutPrintsTheWinnerOfAConflict) {
  answers_ = {
      Answered(409, {{"code", "conflict"},
                     {"message", "version 3 is in force"},
                     {"details", {{"version", 3}, {"editor", "nino"}}}})};
  EXPECT_EQ(Run({"document", "put", "team", File("x"), "--base", "2"}),
            ExitCode::kConflict);
  EXPECT_NE(err_.str().find("version 3 by nino"), std::string::npos);
}

TEST_F(CommandsTest, PutPrintsEveryErrorWithItsPlace) {
  answers_ = {Answered(
      422, {{"code", "invalid"},
            {"message", "2 errors"},
            {"details",
             {{"errors",
               {{{"line", 1}, {"column", 2}, {"message", "unknown key \"a\""}},
                {{"line", 9}, {"column", 4}, {"message", "too large"}}}}}}})};
  EXPECT_EQ(Run({"document", "put", "team", File("x"), "--base", "2"}),
            ExitCode::kInvalid);
  EXPECT_NE(err_.str().find("line 1, column 2: unknown key \"a\""),
            std::string::npos);
  EXPECT_NE(err_.str().find("line 9, column 4: too large"), std::string::npos);
}

TEST_F(CommandsTest, PutOfUnknownOutcomeTellsHowToSendItAgain) {
  answers_ = {Unanswered(true)};
  EXPECT_EQ(Run({"document", "put", "team", File("x"), "--base", "2",
                 "--change", "c-1"}),
            ExitCode::kUnknown);
  EXPECT_NE(err_.str().find("--base 2 --change c-1"), std::string::npos);
}

TEST_F(CommandsTest, PutWaitsUntilTheChangeIsInForce) {
  answers_ = {
      Answered(200, {{"version", 1}}),
      Answered(200, {{"in_force", false}, {"waiting_for", {"entry-2"}}}),
      Answered(200, {{"in_force", true}})};
  EXPECT_EQ(Run({"document", "put", "team", File("x"), "--base", "0",
                 "--change", "c-1", "--wait"}),
            ExitCode::kOk);
  ASSERT_EQ(sent_.size(), 3u);
  EXPECT_EQ(sent_[2].target, "/v1/changes/c-1");
}

TEST_F(CommandsTest, OutcomesHaveTheirExitCodes) {
  answers_ = {Unanswered(false)};
  EXPECT_EQ(Run({"workers"}), ExitCode::kNotReached);
  answers_ = {Unanswered(true)};
  EXPECT_EQ(Run({"jobs", "cancel", "j"}), ExitCode::kUnknown);
  answers_ = {Answered(503, {{"outcome", "not-run"}})};
  EXPECT_EQ(Run({"workers"}), ExitCode::kNotReached);
  answers_ = {Answered(503, {{"outcome", "unknown"}})};
  EXPECT_EQ(Run({"workers"}), ExitCode::kUnknown);
  answers_ = {Answered(404, {{"code", "not-found"}, {"message", "no job"}})};
  EXPECT_EQ(Run({"jobs", "get", "j"}), ExitCode::kRefused);
  EXPECT_NE(err_.str().find("no job [not-found]"), std::string::npos);
  answers_ = {Answered(422, {{"code", "infeasible"}})};
  EXPECT_EQ(Run({"jobs", "submit", "j"}), ExitCode::kRefused);
}

TEST_F(CommandsTest, JobIdsAreEncodedAndMayBeResent) {
  answers_ = {Answered(201, {{"id", "a/b"}}), Answered(200, json::object())};
  EXPECT_EQ(Run({"jobs", "submit", "a/b", "--tasks", "3", "--kind", "gang"}),
            ExitCode::kOk);
  const auto spec = json::parse(sent_[0].body);
  EXPECT_EQ(spec["id"], "a/b");
  EXPECT_EQ(spec["tasks"], 3);
  EXPECT_EQ(spec["kind"], "gang");
  EXPECT_TRUE(rules_[0].on_unknown);
  EXPECT_EQ(Run({"jobs", "cancel", "a/b"}), ExitCode::kOk);
  EXPECT_EQ(sent_[1].target, "/v1/jobs/a%2Fb");
}

TEST_F(CommandsTest, ReplaceWaitsForTheNewVoterBeforeItRemovesTheOld) {
  const auto status = [](const char* role) {
    return Answered(200, {{"replicas", {{{"name", "new"}, {"role", role}}}}});
  };
  answers_ = {Answered(200, {{"replicas", json::array()}}),
              Answered(200, json::object()), status("learner"), status("voter"),
              Answered(200, json::object())};
  EXPECT_EQ(Run({"cluster", "replace", "old", "new"}), ExitCode::kOk);
  ASSERT_EQ(sent_.size(), 5u);
  EXPECT_EQ(sent_[1].method, "POST");
  EXPECT_EQ(sent_[4].method, "DELETE");
  EXPECT_EQ(sent_[4].target, "/v1/cluster/replicas/old");
  EXPECT_FALSE(rules_[1].on_unknown);
}

// Else the one member under the name would be removed, and none put in its
// place.
TEST_F(CommandsTest, ReplaceByItselfIsRefusedBeforeAnythingIsSent) {
  EXPECT_EQ(Run({"cluster", "replace", "r1", "r1"}), ExitCode::kUsage);
  EXPECT_TRUE(sent_.empty());
}

json StatusWith(const std::vector<std::string>& names) {
  json replicas = json::array();
  for (const std::string& name : names) {
    replicas.push_back({{"name", name}, {"role", "learner"}});
  }
  return {{"replicas", replicas}};
}

// Bytes of a name that aren't UTF-8 ended the program by an exception.
TEST_F(CommandsTest, NamesThatAreNotUtf8AreSentAsValidText) {
  answers_ = {Answered(200, StatusWith({"old"})), Unanswered(false)};
  EXPECT_NE(Run({"cluster", "add", "h\xe4"}), ExitCode::kOk);
  ASSERT_EQ(sent_.size(), 2u);
  EXPECT_EQ(json::parse(sent_[1].body)["name"], "h\ufffd");
}

TEST_F(CommandsTest, LostAnswerToClusterAddIsJudgedByTheMembers) {
  answers_ = {Answered(200, StatusWith({"old"})), Unanswered(true),
              Answered(200, StatusWith({"old", "new"}))};
  EXPECT_EQ(Run({"cluster", "add", "new"}), ExitCode::kOk);
  EXPECT_EQ(sent_.size(), 3u);
}

TEST_F(CommandsTest, ClusterAddThatWasNotMadeIsSentAgain) {
  answers_ = {Answered(200, StatusWith({"old"})), Unanswered(true),
              Answered(200, StatusWith({"old"})),
              Answered(200, json::object())};
  EXPECT_EQ(Run({"cluster", "add", "new"}), ExitCode::kOk);
  ASSERT_EQ(sent_.size(), 4u);
  EXPECT_EQ(sent_[3].method, "POST");
}

// The first sending surfaces between the question and the second one.
TEST_F(CommandsTest, RefusalOfASecondSendingIsJudgedByTheMembers) {
  const json refused = {{"code", "refused"}, {"outcome", "not-run"}};
  for (const bool is_member : {true, false}) {
    std::vector<std::string> names = {"old"};
    if (is_member) {
      names.emplace_back("new");
    }
    answers_ = {Answered(200, StatusWith({"old"})), Unanswered(true),
                Answered(200, StatusWith({"old"})), Answered(400, refused),
                Answered(200, StatusWith(names))};
    EXPECT_EQ(Run({"cluster", "add", "new"}),
              is_member ? ExitCode::kOk : ExitCode::kRefused);
  }
}

TEST_F(CommandsTest, LostAnswerToClusterRemoveIsJudgedByTheMembers) {
  answers_ = {Unanswered(true), Answered(200, StatusWith({"new"}))};
  EXPECT_EQ(Run({"cluster", "remove", "old"}), ExitCode::kOk);
  EXPECT_EQ(sent_.size(), 2u);
}

TEST_F(CommandsTest, JsonIsPassedOn) {
  answers_ = {Answered(200, {{"workers", {{{"id", "w-1"}}}}})};
  EXPECT_EQ(Run({"workers", "--json"}), ExitCode::kOk);
  EXPECT_EQ(json::parse(out_.str())["workers"][0]["id"], "w-1");
}

}  // namespace
}  // namespace sassafras::ctl
