#include "radishroute/raft.h"

#include <catch2/catch.hpp>

#include "radishroute/error.h"
#include "raft_cluster.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kElectionLimit{2000};

std::size_t WaitForLeader(raft_cluster& cluster) {
  REQUIRE(cluster.RunUntil([&] { return cluster.Leader().has_value(); }, milliseconds(5000)));
  return *cluster.Leader();
}

bool IsVoter(const raft_cluster& cluster, voter_id id) {
  auto leader = cluster.Leader();
  if (!leader) return false;
  const replica* found = FindReplica(cluster.Core(*leader).Log().Replicas(), id);
  return found != nullptr && found->voting;
}

proposal_status ChangeVoters(raft_cluster& cluster, const change_voters& change) {
  std::size_t leader = WaitForLeader(cluster);
  cluster.Deliver(leader, change);
  cluster.RunUntil([&] { return cluster.Result(change.id).has_value(); }, milliseconds(2000));
  return cluster.Result(change.id).value_or(proposal_finished{}).status;
}

}  // namespace

// Guards against an election that takes longer than the 2 s allowed after the leader is lost while
// idle, storing, replicating or about to commit.
TEST_CASE("a leader lost in any phase is replaced in time and no commit is lost") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    // The delay covers the time from the proposal to its commit, about 12 ms here.
    for (auto delay : {milliseconds(0), milliseconds(3), milliseconds(6), milliseconds(30)}) {
      raft_cluster cluster(seed, 5);
      std::size_t leader = WaitForLeader(cluster);
      proposal_id id = cluster.Propose(leader);
      cluster.Run(delay);
      bool committed = cluster.Result(id).has_value();
      cluster.Crash(leader);
      INFO("seed " << seed << ", delay " << delay.count() << " ms");
      REQUIRE(cluster.RunUntil([&] { return cluster.Leader().has_value(); }, kElectionLimit));
      REQUIRE(cluster.CommitOne(milliseconds(1000)));
      const std::string& state = cluster.Machine(*cluster.Leader()).State();
      if (committed) CHECK(state.starts_with(std::to_string(id.value) + ","));
      CHECK(cluster.failure.empty());
    }
  }
}

// Guards against one sync per entry, which would limit the commit rate to the disk's sync rate.
TEST_CASE("proposals that arrive during a sync are batched into the next one") {
  raft_cluster cluster(1, 3);
  std::size_t leader = WaitForLeader(cluster);
  cluster.Run(milliseconds(200));
  std::size_t before = cluster.store_count;
  proposal_id last;
  for (int i = 0; i < 500; ++i) last = cluster.Propose(leader);
  cluster.RunUntil([&] { return cluster.Result(last).has_value(); }, milliseconds(1000));
  CHECK(cluster.Result(last)->status == proposal_status::kCommitted);
  // Two batches on each of three replicas, and a third for a vote or a delayed message.
  CHECK(cluster.store_count - before <= 9);
}

// Guards against a commit that is reported before a majority has synced the entry.
TEST_CASE("an entry is not committed if the followers fail to sync it") {
  raft_cluster cluster(2, 3);
  std::size_t leader = WaitForLeader(cluster);
  cluster.Run(milliseconds(200));
  for (std::size_t i = 0; i < 3; ++i) {
    if (i != leader) cluster.SetDiskError(i, errc::kSyncFailed);
  }
  proposal_id id = cluster.Propose(leader);
  cluster.Run(milliseconds(300));
  CHECK_FALSE(cluster.Result(id).has_value());
  cluster.Run(milliseconds(3000));
  CHECK(cluster.Result(id)->status == proposal_status::kUnknown);
  CHECK_FALSE(cluster.Leader().has_value());
  for (std::size_t i = 0; i < 3; ++i) cluster.SetDiskError(i, {});
  CHECK(cluster.CommitOne(milliseconds(3000)));
}

// Guards against a replica that votes or leads after a failed sync, for example on a full disk.
TEST_CASE("a replica neither votes nor leads after a storage failure") {
  raft_cluster cluster(3, 3);
  std::size_t leader = WaitForLeader(cluster);
  cluster.SetDiskError(leader, errc::kDiskFull);
  cluster.Propose(leader);
  REQUIRE(cluster.CommitOne(milliseconds(4000)));
  CHECK(*cluster.Leader() != leader);
  CHECK(cluster.Core(leader).Failure() == errc::kDiskFull);
  CHECK(cluster.Core(leader).Role() == raft_role::kFollower);
  cluster.Crash(*cluster.Leader());
  CHECK_FALSE(cluster.CommitOne(milliseconds(3000)));
  CHECK(cluster.Core(leader).Role() == raft_role::kFollower);
}

// Guards against a replica that stays out of the group after its disk has room again, so that two
// full disks, one after the other, leave no majority.
TEST_CASE("disks that are full one after another leave a group that commits") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (std::size_t size : {3, 5}) {
      raft_cluster cluster(seed, size);
      std::size_t first = WaitForLeader(cluster);
      for (std::size_t i = 0; i < 2 * size; ++i) {
        INFO("seed " << seed << ", size " << size << ", disk " << i);
        // The leader's disk comes first; a leader and a follower fail at other steps.
        std::size_t node = (first + i) % size;
        cluster.SetDiskError(node, seed % 2 == 0 ? errc::kDiskFull : errc::kSyncFailed);
        REQUIRE(cluster.CommitOne(milliseconds(4000)));
        cluster.Run(milliseconds(1000));
        cluster.SetDiskError(node, {});
        cluster.Run(milliseconds(1000));
        REQUIRE_FALSE(cluster.Core(node).Failure());
        REQUIRE(cluster.failure == "");
      }
      // Each replica is needed now: the smallest majority is the first half and one more.
      for (std::size_t i = size / 2 + 1; i < size; ++i) cluster.Crash((first + i) % size);
      CHECK(cluster.CommitOne(milliseconds(5000)));
      CHECK(cluster.failure == "");
    }
  }
}

// Guards against an acknowledgement that a replica gives for entries that its disk has lost: after
// the recovery it loses power and must still have all that was committed with its help.
TEST_CASE("a replica acknowledges nothing between a failed write and its recovery") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    raft_cluster cluster(seed, 3);
    std::size_t leader = WaitForLeader(cluster);
    std::size_t failed = (leader + 1) % 3;
    cluster.Crash((leader + 2) % 3);
    cluster.SetDiskError(failed, errc::kSyncFailed);
    proposal_id id = cluster.Propose(leader);
    cluster.Run(milliseconds(20 * static_cast<int>(seed)));
    INFO("seed " << seed);
    CHECK_FALSE(cluster.Result(id).has_value());
    cluster.SetDiskError(failed, {});
    REQUIRE(cluster.CommitOne(milliseconds(5000)));
    std::string state = cluster.Machine(*cluster.Leader()).State();
    // Only the replica whose write had failed and the one that was down all the while are left.
    cluster.Crash(failed);
    cluster.Crash(leader);
    cluster.Start(failed);
    cluster.Start((leader + 2) % 3);
    REQUIRE(cluster.CommitOne(milliseconds(5000)));
    CHECK(cluster.Machine(*cluster.Leader()).State().starts_with(state));
    CHECK(cluster.failure == "");
  }
}

// Guards against a paused leader that still considers its lease valid when it resumes.
TEST_CASE("a leader paused past its lease neither leads nor accepts proposals") {
  raft_cluster cluster(4, 3);
  std::size_t paused = WaitForLeader(cluster);
  cluster.SetPaused(paused, true);
  cluster.Run(milliseconds(2500));
  REQUIRE(cluster.Leader().has_value());
  CHECK(*cluster.Leader() != paused);
  CHECK_FALSE(cluster.Core(paused).LeaseHeld(cluster.Now()));
  cluster.SetPaused(paused, false);
  proposal_id id = cluster.Propose(paused);
  CHECK(cluster.Result(id)->status != proposal_status::kCommitted);
  cluster.Run(milliseconds(1000));
  CHECK(cluster.Core(paused).Role() == raft_role::kFollower);
  CHECK(cluster.failure.empty());
}

// Guards against a replica that receives nothing from the leader and repeatedly deposes it, and
// against a leader that continues to lead although it is cut off from its followers.
TEST_CASE("a one-way partition neither deposes a healthy leader nor keeps one without followers") {
  raft_cluster cluster(5, 3);
  std::size_t leader = WaitForLeader(cluster);
  std::size_t unreachable = (leader + 1) % 3;
  cluster.Block(leader, unreachable);
  std::uint64_t term = cluster.Core(leader).Term();
  cluster.Run(milliseconds(10000));
  CHECK(cluster.Leader() == leader);
  CHECK(cluster.Core(leader).Term() == term);
  cluster.UnblockAll();
  for (std::size_t i = 0; i < 3; ++i) {
    if (i != leader) cluster.Block(i, leader);
  }
  cluster.Run(milliseconds(1500));
  CHECK(cluster.Core(leader).Role() != raft_role::kLeader);
  CHECK(cluster.Propose(leader).value != 0);
  cluster.UnblockAll();
  CHECK(cluster.CommitOne(milliseconds(4000)));
  CHECK(cluster.failure.empty());
}

// Guards against a group that cannot commit, or loses entries that only the lost voters stored,
// when a second voter is lost right after the first one was replaced.
TEST_CASE("a group survives the loss of a second voter right after the first one is replaced") {
  for (std::size_t size : {3U, 5U}) {
    raft_cluster cluster(6, size);
    std::size_t leader = WaitForLeader(cluster);
    REQUIRE(cluster.CommitOne(milliseconds(1000)));
    std::size_t lost = (leader + 1) % size;
    voter_id old = cluster.Replica(lost).id;
    cluster.Crash(lost);
    cluster.LoseDisk(lost);
    cluster.Start(lost);
    CHECK(ChangeVoters(cluster, {{1000}, voter_operation::kReplace, cluster.Replica(lost), old}) ==
          proposal_status::kCommitted);
    voter_id replacement = cluster.Replica(lost).id;
    REQUIRE(cluster.RunUntil([&] { return IsVoter(cluster, replacement); }, milliseconds(3000)));
    CHECK_FALSE(IsVoter(cluster, old));
    // The change must be committed before the next voter is lost; one heartbeat is enough.
    cluster.Run(milliseconds(100));
    cluster.Crash(*cluster.Leader());
    INFO("size " << size);
    CHECK(cluster.CommitOne(milliseconds(4000)));
    CHECK(cluster.Machine(lost).State().starts_with("1,"));
  }
}

// Guards against a leader that has led for more than `learner_timeout` and removes a new replica as
// soon as it is added, so that the group never has a third voter again.
TEST_CASE("a replica that joins under a long-standing leader replaces the lost one") {
  raft_limits limits;
  limits.max_voters = 3;
  limits.learner_timeout = milliseconds(3000);
  raft_cluster cluster(7, 3, limits);
  std::size_t leader = WaitForLeader(cluster);
  cluster.Run(milliseconds(5000));
  std::size_t lost = (leader + 1) % 3;
  cluster.Crash(lost);
  cluster.LoseDisk(lost);
  cluster.Start(lost);
  replica candidate = cluster.Replica(lost);
  // The replica replies only after the leader has first checked for unresponsive learners.
  cluster.SetPaused(lost, true);
  cluster.Deliver(*cluster.Leader(), message_received{{9999}, join_request{candidate}});
  cluster.Run(milliseconds(600));
  CHECK(FindReplica(cluster.Core(*cluster.Leader()).Log().Replicas(), candidate.id) != nullptr);
  cluster.SetPaused(lost, false);
  for (int i = 0; i < 10 && !IsVoter(cluster, candidate.id); ++i) {
    cluster.Deliver(*cluster.Leader(), message_received{{9999}, join_request{candidate}});
    cluster.Run(milliseconds(400));
  }
  CHECK(IsVoter(cluster, candidate.id));
  cluster.Crash(*cluster.Leader());
  CHECK(cluster.CommitOne(milliseconds(4000)));
}

// Guards against removing a responsive voter when the remaining ones have no responsive majority.
TEST_CASE("a voter is not removed if the others could not commit") {
  raft_cluster cluster(7, 3);
  std::size_t leader = WaitForLeader(cluster);
  std::size_t crashed = (leader + 1) % 3;
  std::size_t healthy = (leader + 2) % 3;
  cluster.Crash(crashed);
  cluster.Run(milliseconds(1200));
  CHECK(ChangeVoters(cluster, {{1000}, voter_operation::kRemove, cluster.Replica(healthy), {}}) ==
        proposal_status::kInvalidChange);
  CHECK(ChangeVoters(cluster, {{1001}, voter_operation::kRemove, cluster.Replica(crashed), {}}) ==
        proposal_status::kCommitted);
}

// Guards against a replica that never catches up after a long downtime, when the leader has dropped
// the entries that it needs and messages with snapshot chunks are lost.
TEST_CASE("a replica that lags far behind receives a snapshot in chunks") {
  raft_limits limits;
  limits.snapshot_interval = 100;
  limits.retained_entries = 10;
  limits.chunk_bytes = 50;
  raft_cluster cluster(8, 3, limits);
  std::size_t leader = WaitForLeader(cluster);
  std::size_t lagging = (leader + 1) % 3;
  cluster.Crash(lagging);
  for (int i = 0; i < 350; ++i) cluster.Propose(leader);
  cluster.Run(milliseconds(500));
  cluster.network.drop_percent = 10;
  cluster.Start(lagging);
  auto same = [&] { return cluster.Machine(lagging).State() == cluster.Machine(leader).State(); };
  CHECK(cluster.RunUntil(same, milliseconds(60000)));
  CHECK(cluster.snapshots_installed >= 1);
  CHECK(cluster.Core(lagging).Log().BaseIndex() > 1);
  // The snapshot is applied before it is synced, so this waits for the sync.
  cluster.Run(milliseconds(100));
  // A restart replays only the entries after the snapshot.
  cluster.Crash(lagging);
  cluster.Start(lagging);
  CHECK(cluster.Core(lagging).AppliedIndex() >= 300);
}

// Guards against accepting a message for another log group or for a replica's earlier voter id.
TEST_CASE("messages for another group or voter id are ignored") {
  raft_cluster cluster(9, 3);
  std::size_t leader = WaitForLeader(cluster);
  voter_id self = cluster.Replica(leader).id;
  std::uint64_t term = cluster.Core(leader).Term();
  append_request m;
  m.header = {7, {99}, self, term + 5};
  cluster.Deliver(leader, message_received{{1}, m});
  m.header = {0, {99}, {98}, term + 5};
  cluster.Deliver(leader, message_received{{1}, m});
  CHECK(cluster.Core(leader).Term() == term);
  CHECK(cluster.Core(leader).Role() == raft_role::kLeader);
}

// Guards against a vote that is lost in a restart, so that the replica votes twice in a term.
TEST_CASE("a vote survives a restart") {
  raft_cluster cluster(11, 3);
  std::size_t leader = WaitForLeader(cluster);
  std::size_t voter = (leader + 1) % 3;
  cluster.Crash(leader);
  cluster.Crash((leader + 2) % 3);
  cluster.Run(milliseconds(1000));
  vote_request m;
  m.header = {0, {98}, cluster.Replica(voter).id, cluster.Core(voter).Term() + 5};
  m.last_term = m.header.term;
  cluster.Deliver(voter, message_received{{1}, m});
  cluster.Run(milliseconds(20));
  CHECK(cluster.SentVote(voter, m.header.term) == voter_id{98});
  cluster.Crash(voter);
  cluster.Start(voter);
  cluster.Run(milliseconds(600));
  m.header.from = {99};
  cluster.Deliver(voter, message_received{{1}, m});
  cluster.Run(milliseconds(20));
  CHECK(cluster.SentVote(voter, m.header.term) == voter_id{98});
  CHECK(cluster.failure.empty());
}

// Guards against a vote that a crash can undo because it was sent before it was synced.
TEST_CASE("a vote is not sent before it is synced") {
  raft_cluster cluster(12, 3);
  std::size_t leader = WaitForLeader(cluster);
  std::size_t voter = (leader + 1) % 3;
  cluster.Crash(leader);
  cluster.Crash((leader + 2) % 3);
  cluster.Run(milliseconds(1000));
  vote_request m;
  m.header = {0, {98}, cluster.Replica(voter).id, cluster.Core(voter).Term() + 5};
  m.last_term = m.header.term;
  cluster.SetDiskError(voter, errc::kSyncFailed);
  cluster.Deliver(voter, message_received{{1}, m});
  cluster.Run(milliseconds(20));
  CHECK(cluster.SentVote(voter, m.header.term) == voter_id{});
  // Nor is it sent while the disk keeps failing, and not to another candidate afterwards.
  cluster.Deliver(voter, message_received{{1}, m});
  cluster.Run(milliseconds(1000));
  CHECK(cluster.SentVote(voter, m.header.term) == voter_id{});
  cluster.SetDiskError(voter, {});
  cluster.Run(milliseconds(400));
  CHECK_FALSE(cluster.Core(voter).Failure());
  m.header.from = {99};
  cluster.Deliver(voter, message_received{{1}, m});
  cluster.Run(milliseconds(20));
  CHECK(cluster.SentVote(voter, m.header.term) == voter_id{});
  CHECK(cluster.failure == "");
}

// Guards against a restarted voter that helps to elect a leader while the old one holds its lease.
TEST_CASE("a restarted replica grants no vote until a lease that it supported has expired") {
  raft_cluster cluster(13, 3);
  std::size_t leader = WaitForLeader(cluster);
  std::size_t voter = (leader + 1) % 3;
  cluster.Crash(voter);
  cluster.Start(voter);
  vote_request m;
  m.header = {0, {98}, cluster.Replica(voter).id, cluster.Core(voter).Term() + 5};
  m.last_term = m.header.term;
  cluster.Deliver(voter, message_received{{1}, m});
  CHECK(cluster.Core(voter).Term() < m.header.term);
}

// Guards against committing an entry of an earlier term by counting replicas; a later leader could
// still overwrite it (Raft paper, figure 8).
TEST_CASE("an entry of an earlier term is committed only through an entry of the current term") {
  raft_core core(0, {});
  random_source random(1);
  effect_list effects;
  reduce_context ctx{steady_time(std::chrono::hours(1)), wall_time{}, random, effects};
  replica_change group;
  for (std::uint64_t i = 1; i <= 3; ++i) group.replicas.push_back({{i}, "", {"", 0}, true, {}});
  recovered_log disk;
  disk.self = {1};
  disk.term = 2;
  disk.entries = {{1, 1, group}, {2, 2, no_operation{}}};
  REQUIRE_FALSE(core.Load(disk));
  core.Handle(process_started{}, ctx);
  std::uint64_t sequence = 0;
  auto store = [&] {
    core.Flush(ctx);
    core.Handle(log_stored{0, ++sequence, {}}, ctx);
  };
  ctx.now += std::chrono::seconds(2);
  core.Handle(timer_expired{}, ctx);
  core.Handle(link_id{1}, vote_reply{{0, {2}, {1}, 3}, true, true}, ctx);
  store();
  core.Handle(link_id{1}, vote_reply{{0, {2}, {1}, 3}, false, true}, ctx);
  REQUIRE(core.Role() == raft_role::kLeader);
  core.Handle(link_id{1}, append_reply{{0, {2}, {1}, 3}, true, 2, ctx.now}, ctx);
  CHECK(core.CommitIndex() == 0);
  core.Handle(link_id{1}, append_reply{{0, {2}, {1}, 3}, true, 3, ctx.now}, ctx);
  store();
  CHECK(core.CommitIndex() == 3);
}

// Guards against a message of another replica that ends this one, or that changes its state
// although it contradicts the protocol. Each must be reported.
TEST_CASE("a message that contradicts the log or the protocol is reported and refused") {
  raft_cluster cluster(10, 3);
  std::size_t leader = WaitForLeader(cluster);
  std::size_t follower = (leader + 1) % 3;
  REQUIRE(cluster.CommitOne(milliseconds(2000)));
  cluster.Run(milliseconds(300));
  voter_id sender = cluster.Replica(leader).id;
  std::uint64_t term = cluster.Core(leader).Term();
  std::uint64_t last = cluster.Core(leader).Log().LastIndex();
  append_request m;
  m.header = {0, sender, cluster.Replica(follower).id, term};
  m.prev_index = last;
  m.prev_term = term;
  std::size_t receiver = follower;
  message body;
  SECTION("two leaders in a term, to the leader") {
    receiver = leader;
    m.header = {0, {99}, cluster.Replica(leader).id, term};
    body = m;
  }
  SECTION("two leaders in a term, to a follower") {
    m.header.from = {99};
    body = m;
  }
  SECTION("entries with a gap") {
    m.entries = {{term, last + 1, no_operation{}}, {term, last + 3, no_operation{}}};
    body = m;
  }
  SECTION("an entry of a later term than the message's") {
    m.entries = {{term + 1, last + 1, no_operation{}}};
    body = m;
  }
  SECTION("a committed entry with another term") {
    m.prev_term = term - 1;
    body = m;
  }
  SECTION("an entry in place of a committed one") {
    m.prev_index = 0;
    m.prev_term = 0;
    m.entries = {{term, 1, no_operation{}}};
    body = m;
  }
  SECTION("an acknowledgement of entries that the leader does not have") {
    receiver = leader;
    body = append_reply{{0, cluster.Replica(follower).id, sender, term}, true, last + 5, {}};
  }
  cluster.Deliver(receiver, message_received{{1}, body});
  CHECK(cluster.failure.starts_with("invariant: "));
  cluster.failure.clear();
  CHECK_FALSE(cluster.Core(receiver).Failure());
  CHECK(cluster.Core(receiver).Term() == term);
  CHECK(cluster.Core(receiver).Log().LastIndex() == last);
  CHECK(cluster.Core(leader).Role() == raft_role::kLeader);
  CHECK(cluster.CommitOne(milliseconds(1000)));
}

// Guards against a term so great that no replica can be elected in a later one.
TEST_CASE("a message of an unreachable term is ignored") {
  raft_cluster cluster(16, 3);
  std::size_t leader = WaitForLeader(cluster);
  append_request m;
  m.header = {0, {99}, cluster.Replica(leader).id, UINT64_MAX};
  cluster.Deliver(leader, message_received{{1}, m});
  CHECK(cluster.Core(leader).Role() == raft_role::kLeader);
  CHECK(cluster.CommitOne(milliseconds(1000)));
}

// Guards against a replica that gives up its own state, and for good, for a snapshot that it cannot
// read.
TEST_CASE("a snapshot that cannot be read is refused") {
  raft_cluster cluster(17, 3);
  std::size_t leader = WaitForLeader(cluster);
  std::size_t follower = (leader + 1) % 3;
  REQUIRE(cluster.CommitOne(milliseconds(2000)));
  cluster.Run(milliseconds(300));
  std::uint64_t applied = cluster.Core(follower).AppliedIndex();
  std::string state = cluster.Machine(follower).State();
  snapshot_chunk m;
  m.header = {0, cluster.Replica(leader).id, cluster.Replica(follower).id,
              cluster.Core(leader).Term()};
  m.index = applied + 100;
  m.snapshot_term = m.header.term;
  m.bytes = fake_state_machine::kUnreadableState;
  m.total = m.bytes.size();
  m.hash = StableHash(m.bytes);
  cluster.Deliver(follower, message_received{{1}, m});
  CHECK(cluster.snapshots_installed == 0);
  CHECK_FALSE(cluster.Core(follower).Failure());
  CHECK(cluster.Core(follower).AppliedIndex() == applied);
  CHECK(cluster.Machine(follower).State() == state);
  cluster.Crash((leader + 2) % 3);
  CHECK(cluster.CommitOne(milliseconds(1000)));
}

// Guards against a group without a leader whose logs do not tell why.
TEST_CASE("a replica that knows no leader logs its state now and then") {
  raft_cluster cluster(18, 3);
  std::size_t leader = WaitForLeader(cluster);
  std::size_t left = (leader + 1) % 3;
  cluster.Run(milliseconds(5000));
  CHECK(cluster.leader_missing.empty());
  cluster.Crash(leader);
  cluster.Crash((leader + 2) % 3);
  SECTION("voters are gone") {}
  SECTION("its disk refuses writes") { cluster.SetDiskError(left, errc::kDiskFull); }
  cluster.Run(milliseconds(9000));
  REQUIRE(cluster.leader_missing.size() >= 3);
  CHECK(cluster.leader_missing.size() <= 4);
  std::string fields;
  for (const log_field& f : cluster.leader_missing.back().fields) {
    fields += f.key + "=" + f.value + " ";
  }
  CHECK(fields.find("votes=yes voters=3 linked=0") != std::string::npos);
}

}  // namespace radishroute
